// Whether a submitted job can ever run on what the platform offers.
#pragma once
#include <cstddef>
#include <string_view>
#include <vector>

#include "config/settings.hpp"
#include "protocol/model.hpp"

namespace coralhitch::api {

enum class SubmissionCheck { runnable, unknown_team, no_fitting_machine_type, exceeds_team_limit };

// Checks the job against all machine types and the hard limit of its team, whatever is in use at present.
[[nodiscard]] SubmissionCheck check_submission(const protocol::Job& job,
                                               const std::vector<protocol::MachineType>& types,
                                               const config::Settings& settings);

// The reason that users are given; empty for `runnable`.
[[nodiscard]] std::string_view reason_of(SubmissionCheck check);

// How many dependencies a job may have, if a transaction may have `txn_ops` operations: each dependency is a
// condition of the transaction that stores the job, beside two conditions on the job itself.
[[nodiscard]] std::size_t max_dependencies(std::size_t txn_ops);

// Reduces the allowed machine types to those that exist, each once: others can't matter, and a long list of
// them must not make the stored record too large.
void normalize_allowed_types(protocol::Job& job, const std::vector<protocol::MachineType>& types);

}  // namespace coralhitch::api

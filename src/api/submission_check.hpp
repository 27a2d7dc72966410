// Checks whether a submitted job can ever run on the platform.
#pragma once
#include <cstddef>
#include <string_view>
#include <vector>

#include "config/settings.hpp"
#include "protocol/model.hpp"

namespace coralhitch::api {

// Result of the check: `runnable`, or the first reason found why the job can never run.
enum class SubmissionCheck { runnable, unknown_team, no_fitting_machine_type, exceeds_team_limit };

// Checks a job against all machine types and the hard limit of its team. The machines and the part of the
// limit that are in use at present do not matter.
[[nodiscard]] SubmissionCheck check_submission(const protocol::Job& job,
                                               const std::vector<protocol::MachineType>& types,
                                               const config::Settings& settings);

// Returns the reason as users read it in the response, empty for `runnable`.
[[nodiscard]] std::string_view reason_of(SubmissionCheck check);

// Returns the number of dependencies that a job may have if a transaction may have `txn_ops` operations and
// four conditions for each operation. Each dependency is a condition of the transaction that stores the job,
// beside two conditions on the job itself.
[[nodiscard]] std::size_t max_dependencies(std::size_t txn_ops);

// Reduces the allowed machine types of a job to those that exist, sorted and without duplicates. Other types
// have no effect, and a long list of them must not make the stored record too large.
void normalize_allowed_types(protocol::Job& job, const std::vector<protocol::MachineType>& types);

}  // namespace coralhitch::api

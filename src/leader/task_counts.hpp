// Counts the done and running tasks of live jobs, for responses to users. The functions must be called on the
// event loop's thread.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "api/user_api.hpp"
#include "leader/leader_state.hpp"
#include "protocol/peer_messages.hpp"

namespace coralhitch::leader {

// Returns the counts of one job, or nothing if the job is not live.
[[nodiscard]] std::optional<api::TaskCounts> task_counts(LeaderState& state, const std::string& id);
// Returns the counts of all live jobs that have done or running tasks. Receivers assume zero for all other
// jobs.
[[nodiscard]] std::vector<protocol::PeerTaskCounts> all_task_counts(LeaderState& state);

}  // namespace coralhitch::leader

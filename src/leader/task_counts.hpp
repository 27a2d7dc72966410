// How many tasks of live jobs are done and running, for answers to users. Functions only; for the event
// loop's thread.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "api/user_api.hpp"
#include "leader/leader_state.hpp"
#include "protocol/peer_messages.hpp"

namespace coralhitch::leader {

// Of one job; nothing if it is not live.
[[nodiscard]] std::optional<api::TaskCounts> task_counts(LeaderState& state, const std::string& id);
// Of all live jobs, but for those with neither: that is what is assumed of a job without counts.
[[nodiscard]] std::vector<protocol::PeerTaskCounts> all_task_counts(LeaderState& state);

}  // namespace coralhitch::leader

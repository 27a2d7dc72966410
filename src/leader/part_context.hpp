// The references that every part of the leader receives: the clock, the settings, the shared state, the
// authority and the callback guard.
#pragma once
#include <cstdint>
#include <functional>
#include <string>

#include "config/settings.hpp"
#include "event_loop/timers.hpp"
#include "leader/authority.hpp"
#include "leader/callback_guard.hpp"
#include "leader/leader_state.hpp"

namespace coralhitch::leader {

// Applies a job's stored record of the given version to the job table (see JobWatcher). Called with
// LeaderState::mutex locked.
using ApplyJobRecord =
    std::function<void(const std::string& job_id, std::uint64_t version, const std::string& record)>;

// References that LeaderPart stores for each part. The referenced objects must outlive all parts.
struct PartContext {
    event_loop::Timers& timers;
    const config::Settings& settings;
    LeaderState& state;
    Authority& authority;
    // Wraps every callback that a part passes to a timer, a request or another thread.
    const CallbackGuard& guarded;
};

}  // namespace coralhitch::leader

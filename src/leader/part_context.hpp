// What every part of the leader is given: the clock, the settings, the state, and whether it may act.
//
// References only; the Leader owns all of them and outlives its parts.
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

// Takes in a job's stored record, of this version (see JobWatcher). Called with LeaderState::mutex held.
using ApplyJobRecord =
    std::function<void(const std::string& job_id, std::uint64_t version, const std::string& record)>;

// The references that LeaderPart keeps for each part.
struct PartContext {
    event_loop::Timers& timers;
    const config::Settings& settings;
    LeaderState& state;
    Authority& authority;
    // Every callback that a part hands out goes through it.
    const CallbackGuard& guarded;
};

}  // namespace coralhitch::leader

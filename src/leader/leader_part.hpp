// What every part of the leader has at hand: the clock, the settings, the state, and whether it may act.
#pragma once
#include "leader/part_context.hpp"

namespace coralhitch::leader {

// Base of the leader's parts: keeps the references of the PartContext. Parts inherit it privately; it is no
// interface, and nothing refers to a part through it.
class LeaderPart {
  public:
    LeaderPart(const LeaderPart&) = delete;  // a part's callbacks refer to it
    LeaderPart& operator=(const LeaderPart&) = delete;

  protected:
    explicit LeaderPart(const PartContext& context)
        : timers_(context.timers),
          settings_(context.settings),
          state_(context.state),
          authority_(context.authority),
          guarded_(context.guarded) {}
    ~LeaderPart() = default;

    // Steady seconds.
    [[nodiscard]] double now() const { return timers_.now(); }

    event_loop::Timers& timers_;
    const config::Settings& settings_;
    LeaderState& state_;
    const Authority& authority_;  // the few parts that may end the leadership keep another reference
    const CallbackGuard& guarded_;
};

}  // namespace coralhitch::leader

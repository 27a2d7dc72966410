// Base class of the leader's parts, with access to the clock, the settings, the shared state and the
// authority.
#pragma once
#include "leader/part_context.hpp"

namespace coralhitch::leader {

// Base class of the leader's parts that stores the references of the PartContext. Parts inherit from it
// privately. It is not an interface: no code refers to a part as a LeaderPart.
class LeaderPart {
  public:
    LeaderPart(const LeaderPart&) = delete;  // callbacks hold the address of a part
    LeaderPart& operator=(const LeaderPart&) = delete;

  protected:
    explicit LeaderPart(const PartContext& context)
        : timers_(context.timers),
          settings_(context.settings),
          state_(context.state),
          authority_(context.authority),
          guarded_(context.guarded) {}
    ~LeaderPart() = default;

    // Returns the current time in steady seconds.
    [[nodiscard]] double now() const { return timers_.now(); }

    event_loop::Timers& timers_;
    const config::Settings& settings_;
    LeaderState& state_;
    const Authority& authority_;  // parts that may end the leadership keep a non-const reference
    const CallbackGuard& guarded_;
};

}  // namespace coralhitch::leader

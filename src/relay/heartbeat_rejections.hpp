// Reports that were refused on purpose, by the reason: counted, and logged at most once in a while.
#pragma once
#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "event_loop/timers.hpp"

namespace coralhitch::relay {

enum class HeartbeatRejection {
    no_lease,     // this leader does not hold its own lease any more, or is about to stop
    bound_over,   // the leader does not know of all cancellations until so late that leases may be renewed
    stop_unsent,  // the machine may hold a cancelled task that no command has reached
    older,        // not the machine's newest report, or the machine is not known or deleted
    no_leader,    // nobody leads, or the leader doesn't take what is passed on to it
    elsewhere,    // named the leader instead
    late,         // waited for its turn until its worker had gone
    sockets,      // all sockets for workers are taken
    unreached,    // nothing that this leader answers arrives there: its lease must be seen to end
};
inline constexpr std::array<std::string_view, 9> heartbeat_rejection_names = {
    "no_lease",  "bound_over", "stop_unsent", "older",    "no_leader",
    "elsewhere", "late",       "sockets",     "unreached"};

class HeartbeatRejections {
  public:
    // Logs at most once in `period_s` seconds.
    HeartbeatRejections(event_loop::Timers& timers, double period_s) : timers_(timers), period_s_(period_s) {}
    void note(HeartbeatRejection why);
    std::uint64_t count(HeartbeatRejection why) const { return counts_[static_cast<std::size_t>(why)]; }
    // What the next line would say: each reason with its number since the line before.
    std::string since_logged() const;
    std::uint64_t lines() const { return lines_; }

  private:
    event_loop::Timers& timers_;
    double period_s_, logged_ = -1;
    std::uint64_t lines_ = 0;
    std::array<std::uint64_t, heartbeat_rejection_names.size()> counts_{}, told_{};
};

}  // namespace coralhitch::relay

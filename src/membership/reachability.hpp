// Whether messages get through between the controllers and one machine, each way by itself.
//
// A machine's heartbeats may come while replies and commands don't arrive there. Only what comes from its
// side is evidence that they do: it answers a command, or its agent, which stays with the controller that
// replies and tries the next one otherwise, stays. Pure; times are seconds of the leader's clock.
#pragma once
#include <algorithm>
#include <optional>

namespace coralhitch::membership {

class Reachability {
  public:
    // The machine showed that a message reached it.
    void record_reached(double now) {
        last_reached_at_ = now;
        route_changes_ = 0;
    }
    // A new heartbeat came, by the route of the one before or by another.
    void record_heartbeat(bool same_route, double now) {
        last_heartbeat_at_ = now;
        if (same_route)
            record_reached(now);
        else
            ++route_changes_;
    }
    // A heartbeat came to a controller whose reply renews the machine's lease. The answer to a direct command
    // is none.
    void record_renewable_heartbeat(double at) {
        renewable_heartbeat_at_ = std::max(renewable_heartbeat_at_, at);
    }
    void record_unanswered_command(double now) { unanswered_command_at_ = now; }

    // No heartbeat has come within so many seconds. The machine may answer commands, but its lease goes
    // unrenewed, and all that is started there is killed when that expires.
    [[nodiscard]] bool inbound_unreachable(double now, double within_s) const {
        return now - renewable_heartbeat_at_ > within_s;
    }
    // Its heartbeats come, but nothing shows that replies and commands arrive there. One change of route may
    // be due to a controller that has ended, or to a machine that hung: then only a command that went
    // unanswered after that heartbeat counts. Without that, machines that are well got no starts for a
    // heartbeat period after each silence of some seconds.
    [[nodiscard]] bool outbound_unreachable() const {
        return route_changes_ >= 2 || (route_changes_ == 1 && unanswered_command_at_ &&
                                       *unanswered_command_at_ > last_heartbeat_at_);
    }
    [[nodiscard]] double last_reached_at() const { return last_reached_at_; }

  private:
    double last_reached_at_ = 0, last_heartbeat_at_ = 0, renewable_heartbeat_at_ = 0;
    std::optional<double> unanswered_command_at_;
    int route_changes_ = 0;  // since it was last reached
};

}  // namespace coralhitch::membership

// Tracks for one machine whether messages arrive from it and whether messages arrive at it.
//
// A machine's heartbeats may arrive while replies and commands do not reach the machine. There are two kinds
// of evidence that they do. The machine answers a command, or its agent sends its next heartbeat by the same
// route: an agent stays with a controller that replies, and tries the next one otherwise. No I/O; times are
// seconds of the leader's clock. Not thread safe.
#pragma once
#include <algorithm>
#include <optional>

namespace coralhitch::membership {

// The evidence about one machine's connection, in both directions.
class Reachability {
  public:
    // Records evidence that a message reached the machine.
    void record_reached(double now) {
        last_reached_at_ = now;
        route_changes_ = 0;
    }
    // Records a new heartbeat. `same_route` is true if the previous one came through the same controller.
    void record_heartbeat(bool same_route, double now) {
        last_heartbeat_at_ = now;
        if (same_route)
            record_reached(now);
        else
            ++route_changes_;
    }
    // Records a heartbeat received by a controller whose reply renews the machine's lease. The answer to a
    // direct command does not count as such a heartbeat.
    void record_renewable_heartbeat(double at) {
        renewable_heartbeat_at_ = std::max(renewable_heartbeat_at_, at);
    }
    void record_unanswered_command(double now) { unanswered_command_at_ = now; }

    // Returns true if no heartbeat has arrived within the last `within_s` seconds. The machine may answer
    // commands, but its lease is not renewed, and every task started there is killed when the lease expires.
    [[nodiscard]] bool inbound_unreachable(double now, double within_s) const {
        return now - renewable_heartbeat_at_ > within_s;
    }
    // Returns true if heartbeats arrive, but there is no evidence that replies and commands reach the
    // machine. A single change of route is not enough, since a controller may have ended or the machine may
    // have been paused. In that case a command must also have gone unanswered after that heartbeat. Without
    // this rule, healthy machines got no starts for a heartbeat period after each silence of some seconds.
    [[nodiscard]] bool outbound_unreachable() const {
        return route_changes_ >= 2 || (route_changes_ == 1 && unanswered_command_at_ &&
                                       *unanswered_command_at_ > last_heartbeat_at_);
    }
    [[nodiscard]] double last_reached_at() const { return last_reached_at_; }

  private:
    double last_reached_at_ = 0, last_heartbeat_at_ = 0, renewable_heartbeat_at_ = 0;
    std::optional<double> unanswered_command_at_;
    int route_changes_ = 0;  // since the last evidence that a message reached the machine
};

}  // namespace coralhitch::membership

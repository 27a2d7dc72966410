// To be heard is not to be reached: a machine's reports may come while answers and commands don't arrive
// there. Only what comes from its side is evidence that they do: it answers a command, or its worker, which
// stays where it is answered and goes round otherwise, stays. Pure; times are seconds of the leader's clock.
#pragma once
#include <algorithm>

namespace coralhitch::membership {

class Reachability {
  public:
    // It showed that something reached it.
    void shown(double now) {
        shown_at_ = now;
        wanders_ = 0;
    }
    // A new report came, by the way of the one before or by another.
    void came(bool same_way, double now) {
        came_at_ = now;
        if (same_way)
            shown(now);
        else
            ++wanders_;
    }
    // Its report came to a controller that passes on its lease: a direct answer does not.
    void reported(double at) { reported_at_ = std::max(reported_at_, at); }
    // It answers commands, perhaps, but its worker's lease goes unrenewed, and everything that is started
    // there is killed when that is out.
    bool mute(double now, double within_s) const { return now - reported_at_ > within_s; }
    void ignored(double now) { ignored_at_ = now; }  // a command

    // Once it may be its controller that has ended, or the machine that hung; what it ignored before it came
    // is no sign then. After each silence of some seconds machines that were well used to get nothing for a
    // period more.
    bool lost() const { return wanders_ >= 2 || (wanders_ == 1 && ignored_at_ > came_at_); }
    double shown_at() const { return shown_at_; }

  private:
    double shown_at_ = 0, came_at_ = 0, ignored_at_ = -1, reported_at_ = 0;
    int wanders_ = 0;
};

}  // namespace coralhitch::membership

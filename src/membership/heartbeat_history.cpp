#include "membership/heartbeat_history.hpp"

#include <algorithm>

namespace coralhitch::membership {
namespace {
// So many silences that never ended are added to what was seen: two or three returns prove nothing yet.
constexpr double self_suspicion = 3;
}  // namespace

void HeartbeatHistory::add(Silence s) {
    all_.push_back(s);
    auto& sorted = lengths(s.ended);
    sorted.insert(std::ranges::upper_bound(sorted, s.length), s.length);
    if (all_.size() > most_silences) drop_oldest();
    forget_old(s.at);
}
void HeartbeatHistory::forget_old(double now) {
    while (!all_.empty() && now - all_.front().at > memory_s_) drop_oldest();
}
void HeartbeatHistory::drop_oldest() {
    auto& oldest = all_.front();
    auto& sorted = lengths(oldest.ended);
    sorted.erase(std::ranges::lower_bound(sorted, oldest.length));
    all_.pop_front();
}

// Asked for each machine that is silent, so it must not walk all silences: of thousands lost at once, each
// would walk the thousands before it.
double HeartbeatHistory::speaks_within(double silent_s, double more_s) const {
    auto from = std::ranges::lower_bound(ended_, silent_s);
    auto spoke = std::ranges::upper_bound(ended_, silent_s + more_s) - from;
    // What one that was cut short sooner would have done is not known.
    auto stayed_silent = cut_short_.end() - std::ranges::lower_bound(cut_short_, silent_s + more_s);
    auto longer = (ended_.end() - from) + stayed_silent;
    return static_cast<double>(spoke) / (self_suspicion + static_cast<double>(longer));
}

}  // namespace coralhitch::membership

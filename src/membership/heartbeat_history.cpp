#include "membership/heartbeat_history.hpp"

namespace coralhitch::membership {
namespace {
// So many silences that never ended are added to what was seen: two or three returns prove nothing yet.
constexpr double doubt = 3;
constexpr std::size_t most = 2048;
}  // namespace

void HeartbeatHistory::add(Silence s) {
    all_.push_back(s);
    while (all_.size() > most || s.at - all_.front().at > memory_s_) all_.pop_front();
}
double HeartbeatHistory::speaks_within(double silent_s, double more_s, double now) const {
    double longer = doubt, spoke = 0;
    for (auto& s : all_) {
        if (now - s.at > memory_s_ || s.length < silent_s) continue;
        if (!s.ended && s.length < silent_s + more_s) continue;  // what it would have done is not known
        ++longer;
        spoke += s.ended && s.length <= silent_s + more_s;
    }
    return spoke / longer;
}

}  // namespace coralhitch::membership

#include "membership/heartbeat_history.hpp"

#include <algorithm>

namespace coralhitch::membership {
namespace {
// The number of silences without a return that is added to the observed ones. Without it, two or three
// returns would already give a high probability.
constexpr double assumed_losses = 3;
}  // namespace

void HeartbeatHistory::add(Silence silence) {
    silences_.push_back(silence);
    auto& sorted = lengths(silence.outcome);
    sorted.insert(std::ranges::upper_bound(sorted, silence.length_s), silence.length_s);
    if (silences_.size() > max_silences) drop_oldest();
    drop_expired(silence.at);
}

void HeartbeatHistory::drop_expired(double now) {
    while (!silences_.empty() && now - silences_.front().at > retention_s_) drop_oldest();
}

void HeartbeatHistory::drop_oldest() {
    auto& oldest = silences_.front();
    auto& sorted = lengths(oldest.outcome);
    sorted.erase(std::ranges::lower_bound(sorted, oldest.length_s));
    silences_.pop_front();
}

// Called for each silent machine, so it must not iterate over all silences. If thousands of machines were
// lost at once, the time would grow with the square of their number.
double HeartbeatHistory::return_probability(double silence_s, double within_s) const {
    auto from = std::ranges::lower_bound(returned_, silence_s);
    auto returned = std::ranges::upper_bound(returned_, silence_s + within_s) - from;
    // A machine that was evicted earlier is not counted: it is unknown whether it would have returned.
    auto stayed_silent = evicted_.end() - std::ranges::lower_bound(evicted_, silence_s + within_s);
    auto observed = (returned_.end() - from) + stayed_silent;
    return static_cast<double>(returned) / (assumed_losses + static_cast<double>(observed));
}

}  // namespace coralhitch::membership

// A token bucket: at most `rate` tokens a second, in bursts of at most `burst`.
#pragma once
#include <algorithm>
#include <optional>

namespace coralhitch::event_loop {

// `now` is in seconds of a steady clock and never smaller than in the call before. Counts may be fractions.
class TokenBucket {
  public:
    // Starts full. `rate`: tokens a second, above 0; `burst`: tokens.
    TokenBucket(double rate, double burst) : rate_(rate), burst_(burst), tokens_(burst) {}

    // Whether `count` tokens are there; for more than the burst, whether the bucket is full.
    [[nodiscard]] bool has(double now, double count = 1) {
        refill(now);
        return tokens_ >= std::min(count, burst_);
    }
    // Takes tokens even when there are too few: what must not wait still counts against what comes after it.
    // A negative count gives tokens back.
    void take(double now, double count = 1) {
        refill(now);
        tokens_ -= count;
    }
    // Seconds until has() is true for this count, if nothing else takes any.
    [[nodiscard]] double seconds_until_available(double now, double count = 1) {
        refill(now);
        return std::max(0.0, (std::min(count, burst_) - tokens_) / rate_);
    }
    // Seconds in which `count` tokens come, one taken after the other: also more than the burst.
    [[nodiscard]] double seconds_to_drain(double now, double count) {
        refill(now);
        return std::max(0.0, (count - tokens_) / rate_);
    }
    // From now on; tokens beyond the new burst are lost.
    void set_rate(double rate, double burst) {
        rate_ = rate;
        burst_ = burst;
        tokens_ = std::min(tokens_, burst_);
    }

  private:
    void refill(double now) {
        if (refilled_at_) tokens_ = std::min(burst_, tokens_ + (now - *refilled_at_) * rate_);
        refilled_at_ = now;
    }
    double rate_, burst_, tokens_;
    std::optional<double> refilled_at_;
};

}  // namespace coralhitch::event_loop

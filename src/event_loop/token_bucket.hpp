// A token bucket that limits a rate.
#pragma once
#include <algorithm>
#include <optional>

namespace coralhitch::event_loop {

// Provides at most `rate` tokens a second, in bursts of at most `burst` tokens. `now` is steady time in
// seconds and must not decrease from call to call. Counts of tokens may be fractions.
class TokenBucket {
  public:
    // Starts with a full bucket. `rate` is in tokens a second and must be above 0.
    TokenBucket(double rate, double burst) : rate_(rate), burst_(burst), tokens_(burst) {}

    // Returns true if `count` tokens are available, or if the bucket is full and `count` is above the burst.
    [[nodiscard]] bool has(double now, double count = 1) {
        refill(now);
        return tokens_ >= std::min(count, burst_);
    }
    // Takes tokens even if there are too few, so that requests that must not wait delay later ones. A
    // negative count gives tokens back.
    void take(double now, double count = 1) {
        refill(now);
        tokens_ -= count;
    }
    // Returns the seconds until has() is true for this count, provided that no tokens are taken until then.
    [[nodiscard]] double seconds_until_available(double now, double count = 1) {
        refill(now);
        return std::max(0.0, (std::min(count, burst_) - tokens_) / rate_);
    }
    // Returns the seconds until `count` tokens could have been taken one after the other. The count may
    // exceed the burst.
    [[nodiscard]] double seconds_to_drain(double now, double count) {
        refill(now);
        return std::max(0.0, (count - tokens_) / rate_);
    }
    // Changes rate and burst. Tokens beyond the new burst are dropped.
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

// A token bucket: at most `rate` per second with bursts of `burst`.
#pragma once
#include <algorithm>

namespace coralhitch::event_loop {

class TokenBucket {
  public:
    TokenBucket(double rate, double burst) : rate_(rate), burst_(burst), level_(burst) {}
    bool has(double now, double n = 1) {
        fill(now);
        return level_ >= std::min(n, burst_);
    }
    // Takes even when short: what must not wait still counts against what comes after it.
    void take(double now, double n = 1) {
        fill(now);
        level_ -= n;
    }
    double wait(double now, double n = 1) {
        fill(now);
        return std::max(0.0, (std::min(n, burst_) - level_) / rate_);
    }
    // Until `n` could be taken, also where that is more than the burst: by one after the other.
    double time_for(double now, double n) {
        fill(now);
        return std::max(0.0, (n - level_) / rate_);
    }
    void set_rate(double rate, double burst) {
        rate_ = rate;
        burst_ = burst;
        level_ = std::min(level_, burst_);
    }

  private:
    void fill(double now) {
        if (last_ >= 0) level_ = std::min(burst_, level_ + (now - last_) * rate_);
        last_ = now;
    }
    double rate_, burst_, level_, last_ = -1;
};

}  // namespace coralhitch::event_loop

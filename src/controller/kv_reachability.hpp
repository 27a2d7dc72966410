// Whether this controller reaches the key-value store: its last request was answered, and that not long ago.
// Reads the client's figures only; sends nothing.
#pragma once
#include "config/settings.hpp"
#include "event_loop/timers.hpp"
#include "kv/kv_client.hpp"

namespace coralhitch::controller {

class KvReachability {
  public:
    KvReachability(const event_loop::Timers& timers, const kv::KvClient& kv, const config::Settings& settings)
        : timers_(timers), kv_(kv), settings_(settings) {}
    [[nodiscard]] bool reachable() const { return kv_.answered_within(settings_.heartbeat_interval_s); }

  private:
    const event_loop::Timers& timers_;
    const kv::KvClient& kv_;
    const config::Settings& settings_;
};

}  // namespace coralhitch::controller

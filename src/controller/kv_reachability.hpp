// Whether this controller reaches the key-value store: its last request was answered, and that not long ago.
// Reads the client's figures only; sends nothing.
#pragma once
#include "config/settings.hpp"
#include "kv/kv_client.hpp"

namespace coralhitch::controller {

// Tells whether the key-value store has answered lately.
class KvReachability {
  public:
    // Both must outlive this.
    KvReachability(const kv::KvClient& kv, const config::Settings& settings) : kv_(kv), settings_(settings) {}
    // True if a request was answered within the last heartbeat period.
    [[nodiscard]] bool reachable() const { return kv_.answered_within(settings_.heartbeat_interval_s); }

  private:
    const kv::KvClient& kv_;
    const config::Settings& settings_;
};

}  // namespace coralhitch::controller

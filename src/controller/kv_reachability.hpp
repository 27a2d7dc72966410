// Determines if this controller reaches the key-value store: the last request was answered, and recently.
// Reads only the client's statistics and sends no requests.
#pragma once
#include "config/settings.hpp"
#include "kv/kv_client.hpp"

namespace coralhitch::controller {

// The reachability of the key-value store, derived from the client's recent requests.
class KvReachability {
  public:
    // Both must outlive this.
    KvReachability(const kv::KvClient& kv, const config::Settings& settings) : kv_(kv), settings_(settings) {}
    // Returns true if the last request was answered and an answer arrived within the last heartbeat period.
    [[nodiscard]] bool reachable() const { return kv_.answered_within(settings_.heartbeat_interval_s); }

  private:
    const kv::KvClient& kv_;
    const config::Settings& settings_;
};

}  // namespace coralhitch::controller

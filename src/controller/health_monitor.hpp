// Decides for the load balancer's health check if this controller should receive users' requests.
//
// Users are better served by a controller that reaches the key-value store. If no controller reaches it,
// becoming unhealthy would only prolong the outage: the load balancer sends no users to a removed controller
// for some time, which doubles with each removal, up to one minute. For the same reason, a single lost answer
// of the key-value store does not make a controller unhealthy.
//
// Side effects: one read of the key-value store for each check. Uses the last pings of the peers.
#pragma once
#include <optional>

#include "config/settings.hpp"
#include "controller/kv_reachability.hpp"
#include "controller/machine_type_catalog.hpp"
#include "controller/peer_monitor.hpp"
#include "event_loop/timers.hpp"
#include "kv/kv_client.hpp"

namespace coralhitch::controller {

// The state that determines the answer to the load balancer's health check. Not thread safe.
class HealthMonitor {
  public:
    HealthMonitor(const event_loop::Timers& timers, kv::KvClient& kv, const config::Settings& settings,
                  const KvReachability& kv_reachability, const PeerMonitor& peers,
                  const MachineTypeCatalog& machine_types)
        : timers_(timers),
          kv_(kv),
          settings_(settings),
          kv_reachability_(kv_reachability),
          peers_(peers),
          machine_types_(machine_types) {}
    HealthMonitor(const HealthMonitor&) = delete;  // callbacks refer to it
    HealthMonitor& operator=(const HealthMonitor&) = delete;

    // Updates the state and reads a key, so that reachability does not depend on other requests. Must be
    // called several times in each heartbeat period.
    void check();
    // Returns false until the key-value store has answered once and the machine types are known. Later
    // returns false if for the last half heartbeat period this controller did not reach the key-value store
    // and either a peer did, or no peer pinged this controller.
    [[nodiscard]] bool healthy() const;

  private:
    [[nodiscard]] bool peers_may_serve() const;

    const event_loop::Timers& timers_;
    kv::KvClient& kv_;
    const config::Settings& settings_;
    const KvReachability& kv_reachability_;
    const PeerMonitor& peers_;
    const MachineTypeCatalog& machine_types_;
    bool kv_has_answered_ = false;
    // Since when peers may serve users and this controller cannot; seconds of the steady clock.
    std::optional<double> only_peers_can_serve_since_;
};

}  // namespace coralhitch::controller

// Whether the load balancer should send users to this controller.
//
// Users are better served by a controller that reaches the key-value store. If none does, going away and
// coming back slowly would only add to the outage. Each removal makes the balancer's next pause twice as
// long, up to a minute: so a lost answer is no reason for one.
// May touch: the key-value store (one read for each check); reads what peers said.
#pragma once
#include <optional>

#include "config/settings.hpp"
#include "controller/kv_reachability.hpp"
#include "controller/machine_type_catalog.hpp"
#include "controller/peer_monitor.hpp"
#include "event_loop/timers.hpp"
#include "kv/kv_client.hpp"

namespace coralhitch::controller {

// Answers the load balancer's question whether this controller is healthy.
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

    // To be called several times in a heartbeat period. Reads a key, so that there is an answer to go by.
    void check();
    // False until the key-value store has answered once and the machine types are known; later while only
    // other controllers can serve users, and have been able to for some time.
    [[nodiscard]] bool healthy() const;

  private:
    [[nodiscard]] bool others_may_serve() const;

    const event_loop::Timers& timers_;
    kv::KvClient& kv_;
    const config::Settings& settings_;
    const KvReachability& kv_reachability_;
    const PeerMonitor& peers_;
    const MachineTypeCatalog& machine_types_;
    bool kv_has_answered_ = false;
    std::optional<double> unable_since_;  // steady seconds; that others may serve users and this one can't
};

}  // namespace coralhitch::controller

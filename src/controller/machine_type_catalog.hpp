// Which machine types the cloud offers.
//
// Asks the cloud now and then. A controller that starts while the cloud does not answer takes the list that a
// leader stored last. A leader stores the list whenever the cloud's differs from what it stored.
// May touch: the cloud client, the key `types` of the key-value store; tells the local leader of changes.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "cloud/cloud_client.hpp"
#include "config/settings.hpp"
#include "controller/local_leader.hpp"
#include "election/election.hpp"
#include "event_loop/timers.hpp"
#include "kv/kv_client.hpp"
#include "protocol/model.hpp"

namespace coralhitch::controller {

class MachineTypeCatalog {
  public:
    MachineTypeCatalog(event_loop::Timers& timers, cloud::CloudClient& cloud, kv::KvClient& kv,
                       const election::Election& election, const config::Settings& settings,
                       const LocalLeader& leader)
        : timers_(timers),
          cloud_(cloud),
          kv_(kv),
          election_(election),
          settings_(settings),
          leader_(leader) {}
    MachineTypeCatalog(const MachineTypeCatalog&) = delete;  // callbacks refer to it
    MachineTypeCatalog& operator=(const MachineTypeCatalog&) = delete;

    // Asks the cloud, and from then on again and again. Once.
    void start() { refresh(); }
    // Empty: not known yet.
    [[nodiscard]] const std::vector<protocol::MachineType>& types() const { return types_; }
    // Stores the list if this controller leads and what it stored last differs.
    void store();

  private:
    void refresh();
    void take_from_cloud(std::optional<std::vector<protocol::MachineType>> types);
    void load_stored();
    void set(std::vector<protocol::MachineType> types);

    event_loop::Timers& timers_;
    cloud::CloudClient& cloud_;
    kv::KvClient& kv_;
    const election::Election& election_;
    const config::Settings& settings_;
    const LocalLeader& leader_;
    std::vector<protocol::MachineType> types_;
    std::string stored_value_;  // as this process stored it last
};

}  // namespace coralhitch::controller

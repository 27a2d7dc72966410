// Keeps the list of machine types that the cloud offers.
//
// Requests the list from the cloud periodically. A controller that starts while the cloud does not answer
// uses the list that a leader stored last. A leader stores the list whenever the cloud's list differs from
// the one that it stored before.
//
// Side effects: sends requests to the cloud, reads and writes the key `types` of the key-value store, and
// notifies the local leader of changes.
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

// The machine types of the cloud, refreshed periodically and stored for other controllers. Not thread safe.
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

    // Requests the list from the cloud, now and periodically from then on. Call once.
    void start() { refresh(); }
    // Returns the machine types; empty while they are not known.
    [[nodiscard]] const std::vector<protocol::MachineType>& types() const { return types_; }
    // Stores the list in the key-value store if this controller leads and the list differs from the one that
    // it stored last. Does nothing if the list exceeds the store's limit for values.
    void store();

  private:
    void refresh();
    void handle_cloud_response(std::optional<std::vector<protocol::MachineType>> types);
    void load_stored();
    void set(std::vector<protocol::MachineType> types);

    event_loop::Timers& timers_;
    cloud::CloudClient& cloud_;
    kv::KvClient& kv_;
    const election::Election& election_;
    const config::Settings& settings_;
    const LocalLeader& leader_;
    std::vector<protocol::MachineType> types_;
    std::string stored_value_;  // the list as this process stored it last
};

}  // namespace coralhitch::controller

// Scale-out: requests machines from the cloud. Each request is retried under the same name until the cloud
// responds, so that no machine is created twice.
//
// The FleetScaler owns the pending requests and the list of pools that recently lacked capacity. It adds the
// machines of a response to the cluster state as booting, and changes nothing else. Scale-in deletes machines
// in the same way as all other deletions; see MachineDeletion.
//
// All functions must be called on the event loop's thread.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "autoscaler/autoscaler.hpp"
#include "cloud/cloud_client.hpp"
#include "leader/leader_part.hpp"
#include "protocol/model.hpp"

namespace coralhitch::leader {

// Requests machines from the cloud, and retries each request until the cloud responds.
class FleetScaler : private LeaderPart {
  public:
    // Returns true if no heartbeats come any more from the zone with this index. A zone counts as unreachable
    // only for a limited time (see membership::FailureDetector::zone_silent).
    using ZoneUnreachable = std::function<bool(std::size_t zone)>;

    FleetScaler(const PartContext& context, cloud::CloudClient& cloud,
                const std::vector<protocol::MachineType>& types, ZoneUnreachable zone_unreachable);

    // Returns the autoscaler's input except for the machines of the cluster state and the demand. It contains
    // the machine types, the pools, the zones, the pools without capacity, and one booting machine for each
    // machine in a pending request.
    [[nodiscard]] autoscaler::Input autoscaler_input() const;
    // Returns true once the cloud has sent the machine types. Without them the fleet cannot be planned.
    [[nodiscard]] bool knows_machine_types() const { return !types_.empty(); }
    // Requests these machines, in calls of at most cloud::CloudClient::max_machines_per_create machines each.
    void scale_out(std::span<const autoscaler::ScaleOutRequest> requests);
    // Retries every pending request that is not in flight. Must be called at each tick.
    void retry_unanswered();

  private:
    // A request for machines to which the cloud has not responded.
    struct PendingRequest {
        std::size_t pool = 0;  // index of the pool in the cluster state
        int count = 0;         // number of machines
        bool in_flight = false;
    };
    void request(const autoscaler::ScaleOutRequest& request);
    void send(const std::string& name);
    void handle_response(const std::string& name, const cloud::CreateMachinesResult& result);

    cloud::CloudClient& cloud_;
    const std::vector<protocol::MachineType>& types_;
    ZoneUnreachable zone_unreachable_;
    std::map<std::string, PendingRequest> pending_;         // by request name
    std::map<std::size_t, double> pools_without_capacity_;  // end of the wait (steady seconds), by pool index
    std::uint64_t requests_made_ = 0;
};

}  // namespace coralhitch::leader

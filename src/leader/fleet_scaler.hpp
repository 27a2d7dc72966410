// Scale out: asks the cloud for machines, each request again under the same name until it is handle_response,
// so that nothing is created twice.
//
// Owns the requests without an answer and the pools that lately had no capacity. Adds the machines of an
// answer to the cluster state, as booting; touches nothing else. Scale in is a deletion like any other: see
// MachineSupervisor. Used by the event loop's thread alone.
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

// Carries out scale out: requests for machines until they are handle_response.
class FleetScaler : private LeaderPart {
  public:
    // Whether nothing has lately been received from any machine of the zone, by its index.
    using ZoneUnreachable = std::function<bool(std::size_t zone)>;

    FleetScaler(const PartContext& context, cloud::CloudClient& cloud,
                const std::vector<protocol::MachineType>& types, ZoneUnreachable zone_unreachable);

    // What the autoscaler needs beside the machines of the cluster state: types, pools and zones, pools
    // without capacity, and as booting machines those that were asked for without an answer so far.
    [[nodiscard]] autoscaler::Input autoscaler_input() const;
    // Machine types come from the cloud; without them nothing can be planned.
    [[nodiscard]] bool knows_machine_types() const { return !types_.empty(); }
    // Asks for these machines, in calls of at most cloud::CloudClient::max_machines_per_create each.
    void scale_out(std::span<const autoscaler::ScaleOutRequest> requests);
    // Sends every request again that has no answer and is not under way. To be called each tick.
    void retry_unanswered();

  private:
    struct PendingRequest {
        std::size_t pool = 0;  // its index in the cluster state
        int count = 0;         // machines
        bool in_flight = false;
    };
    void request(const autoscaler::ScaleOutRequest& request);
    void send(const std::string& name);
    void handle_response(const std::string& name, const cloud::CreateMachinesResult& result);

    cloud::CloudClient& cloud_;
    const std::vector<protocol::MachineType>& types_;
    ZoneUnreachable zone_unreachable_;
    std::map<std::string, PendingRequest> pending_;         // by their names
    std::map<std::size_t, double> pools_without_capacity_;  // by index: until when (steady seconds)
    std::uint64_t requests_made_ = 0;
};

}  // namespace coralhitch::leader

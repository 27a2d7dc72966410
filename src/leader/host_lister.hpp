// Reads the cloud's list of hosts. The list contains machines that have not sent a heartbeat yet, shows which
// machines have failed, and has the addresses of those that are running.
//
// HostLister owns the list call in flight. It adds unknown machines to the cluster state as booting. The list
// lags behind the cloud's state, so a machine that is known to be deleted is never added again.
//
// Runs on the event loop's thread. The caller must not hold LeaderState::mutex.
#pragma once
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "cloud/cloud_client.hpp"
#include "leader/command_sender.hpp"
#include "leader/leader_part.hpp"
#include "leader/machine_deletion.hpp"
#include "protocol/model.hpp"

namespace coralhitch::leader {

// Periodically lists the cloud's hosts and applies the list to the cluster state.
class HostLister : private LeaderPart {
  public:
    HostLister(const PartContext& context, cloud::CloudClient& cloud, CommandSender& commands,
               MachineDeletion& deletion);
    // Requests the list if the last request is longer ago than lists lag behind, none is in flight, and the
    // leader has the authority to act. Called each tick.
    void list_if_due();
    // Returns whether a list has been received. Before that, machines that an earlier leader created last may
    // be unknown, since they may not have sent a heartbeat yet.
    [[nodiscard]] bool has_listed() const { return has_listed_; }

  private:
    void apply_list(const std::vector<protocol::Host>& hosts);
    void apply_host(const protocol::Host& host, std::vector<std::string>& running);

    cloud::CloudClient& cloud_;
    CommandSender& commands_;
    MachineDeletion& deletion_;
    std::optional<double> last_list_at_;  // steady seconds
    bool in_flight_ = false, has_listed_ = false;
};

}  // namespace coralhitch::leader

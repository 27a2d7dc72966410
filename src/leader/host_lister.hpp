// The cloud's list of hosts: shows machines that no heartbeat has shown yet, those that have failed, and the
// addresses of those that are running.
//
// Owns the list call under way. Adds machines to the cluster state as booting. The list lags behind: it never
// brings back what is known to be deleted.
//
// On the event loop's thread; the caller must not hold LeaderState::mutex.
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

// Asks the cloud for its list of hosts now and then, and takes it in.
class HostLister : private LeaderPart {
  public:
    HostLister(const PartContext& context, cloud::CloudClient& cloud, CommandSender& commands,
               MachineDeletion& deletion);
    // Asks for the list if the last one is older than the time by which lists lag. Each tick.
    void list_if_due();
    // Whether a list has come: what an earlier leader created last may be in no heartbeat yet.
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

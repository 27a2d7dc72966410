// Deletes machines: marks them, stores the mark, asks the cloud, and takes out of the cluster state what the
// cloud's answer proves to be gone.
//
// Owns the deletion calls under way. Writes Machine::life and Machine::deletion, and removes machines from
// the cluster state and the store.
//
// On the event loop's thread. The caller holds LeaderState::mutex during `mark`, and not during
// `delete_marked`.
#pragma once
#include <functional>
#include <string>
#include <vector>

#include "cloud/cloud_client.hpp"
#include "leader/delegations.hpp"
#include "leader/instance_tracker.hpp"
#include "leader/leader_part.hpp"
#include "leader/machine_store.hpp"
#include "metrics/metrics.hpp"

namespace coralhitch::leader {

// Takes machines that are marked from their mark to their proven deletion.
class MachineDeletion : private LeaderPart {
  public:
    struct Hooks {
        // The machine is being taken out of the cluster state; the mutex is held.
        std::function<void(const std::string& machine_id)> machine_removed;
        // The answer to a call was taken in; the mutex is not held.
        std::function<void()> call_done;
    };
    MachineDeletion(const PartContext& context, cloud::CloudClient& cloud, metrics::Metrics& metrics,
                    Delegations& delegations, MachineStore& store, InstanceTracker& instances, Hooks hooks);

    // The machine is never used again, and deleted once that is stored, so that a later leader keeps to it.
    // The reason completes the sentence "machine m-1 ...", for the log.
    void mark(cluster::Machine& machine, const char* reason);
    // Asks for the deletion of what is marked and may be deleted.
    void delete_marked();

  private:
    void handle_answer(const std::vector<std::string>& machine_ids, bool ok);

    cloud::CloudClient& cloud_;
    metrics::Metrics& metrics_;
    Delegations& delegations_;
    MachineStore& store_;
    InstanceTracker& instances_;
    Hooks hooks_;
    int calls_in_flight_ = 0;
    double retry_at_ = 0;  // steady seconds: no call before then
};

}  // namespace coralhitch::leader

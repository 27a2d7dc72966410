// Deletes machines: marks them, has the mark stored, asks the cloud to delete them, and removes them from the
// cluster state once the cloud has confirmed the deletion.
//
// MachineDeletion owns the deletion calls in flight. It writes Machine::lifecycle and Machine::deletion, and
// removes machines from the cluster state and from the MachineStore.
//
// Runs on the event loop's thread. The caller holds LeaderState::mutex during `mark`, and must not hold it
// during `delete_marked`.
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

// Marks machines for deletion and deletes them at the cloud.
class MachineDeletion : private LeaderPart {
  public:
    // Callbacks to other parts of the leader.
    struct Hooks {
        // Called just before a deleted machine is removed from the cluster state, with LeaderState::mutex
        // held.
        std::function<void(const std::string& machine_id)> machine_removed;
        // Called after the machines of a successful call have been removed, without the mutex.
        std::function<void()> call_done;
    };
    MachineDeletion(const PartContext& context, cloud::CloudClient& cloud, metrics::Metrics& metrics,
                    Delegations& delegations, MachineStore& store, InstanceTracker& instances, Hooks hooks);

    // Marks the machine for deletion: it is never used again. It is deleted only after the mark has been
    // stored, so that a later leader does not use it either, or at once if the machine itself was never
    // stored. `reason` completes the sentence "machine m-1 ..." in the log.
    void mark(cluster::Machine& machine, const char* reason);
    // Asks the cloud to delete the marked machines that may be deleted. Does nothing without authority,
    // during the delay after a failed call, or while the maximum number of calls is in flight.
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
    double retry_at_ = 0;  // steady seconds; no call is made before this time
};

}  // namespace coralhitch::leader

// Applies one report that is newer than all before to its machine: what it shows there, and the proofs of
// exit that it gives. "Is this task surely terminated?" is the question that matters: resources are freed
// only on proof, and every branch that takes an instance away names its proof.
#pragma once
#include <set>
#include <string>
#include <unordered_map>

#include "cluster/fencing_tokens.hpp"
#include "cluster/heartbeat_outcome.hpp"
#include "cluster/image_cache.hpp"
#include "cluster/machine.hpp"
#include "cluster/machine_pools.hpp"
#include "protocol/model.hpp"

namespace coralhitch::cluster {

// By job: ids of machines that hold, or held, exited tasks of it whose outcome is not stored yet.
using UnstoredExitIndex = std::unordered_map<std::string, std::set<std::string>>;

// The parts of the cluster state that a report may change besides its machine. All outlive the application.
struct HeartbeatTargets {
    FencingTokens& tokens;
    ImageNumbers& images;
    const MachinePools& pools;
    UnstoredExitIndex& machines_with_unstored_exits;
};

// For one report, used once. Holds references to all it is given.
class HeartbeatApplication {
  public:
    HeartbeatApplication(const HeartbeatTargets& targets, Machine& machine,
                         const protocol::Heartbeat& heartbeat, HeartbeatChannel channel, double now,
                         const JobLookup& lookup)
        : targets_(targets),
          machine_(machine),
          heartbeat_(heartbeat),
          channel_(channel),
          now_(now),
          lookup_(lookup) {}

    HeartbeatOutcome apply();
    // After `apply`: something has changed that the replicas must know.
    bool must_be_replicated() const { return must_be_replicated_; }

  private:
    void begin_agent_epoch();
    void apply_header();
    void apply_preemption_notice();
    void apply_tasks();
    void apply_exited(const protocol::TaskStatus& status);
    void apply_active(const protocol::TaskStatus& status);
    void record_progress(Instance& instance, const protocol::TaskStatus& status);
    void terminate_unreported(const std::set<protocol::TaskId>& reported);
    void drop_forgotten_attempts(const std::set<AttemptId>& reported);

    HeartbeatTargets targets_;
    Machine& machine_;
    const protocol::Heartbeat& heartbeat_;
    HeartbeatChannel channel_;
    double now_;
    const JobLookup& lookup_;
    HeartbeatOutcome outcome_;
    bool must_be_replicated_ = false;
};

}  // namespace coralhitch::cluster

// Applies one heartbeat, which must be newer than all before, to the record of its machine. An instance is
// removed, and its resources are freed, only on evidence that the task has terminated. Each branch that
// removes an instance names its evidence in a comment.
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

// Maps a job id to the ids of the machines whose exited attempts of that job may not have their outcome
// stored yet.
using UnstoredExitIndex = std::unordered_map<std::string, std::set<std::string>>;

// The parts of the cluster state, besides the machine, that applying a heartbeat reads or changes. All must
// outlive the HeartbeatApplication.
struct HeartbeatTargets {
    FencingTokens& tokens;
    ImageNumbers& images;
    const MachinePools& pools;
    UnstoredExitIndex& machines_with_unstored_exits;
};

// The application of one heartbeat to one machine, used once. Keeps references to the constructor's
// arguments, except for copies of `targets`, `channel` and `now`. `now`: seconds of the leader's steady
// clock.
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

    // Applies the heartbeat. Call once.
    HeartbeatOutcome apply();
    // Returns true if `apply` changed something that must be replicated.
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

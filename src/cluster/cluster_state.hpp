// The cluster state: the leader's record of its machines and of the instances on each, built from the agents'
// heartbeats and from the commands sent since. Does no I/O and has no clock: callers pass the time, in
// seconds of the leader's steady clock.
//
// The invariant of this module: an instance is removed, and its resources are freed, only on evidence that
// the task has terminated on that machine. Each branch that removes an instance names its evidence in a
// comment.
//
// Composes MachinePools, ImageNumbers, FencingTokens, MachineCommands and HeartbeatApplication. Not
// thread-safe: a caller that shares the cluster state between threads guards it with a lock. References to
// machines stay valid until `remove_deleted`.
#pragma once
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "cluster/fencing_tokens.hpp"
#include "cluster/heartbeat_application.hpp"
#include "cluster/heartbeat_outcome.hpp"
#include "cluster/image_cache.hpp"
#include "cluster/instance.hpp"
#include "cluster/instance_end.hpp"
#include "cluster/machine.hpp"
#include "cluster/machine_commands.hpp"
#include "cluster/machine_pools.hpp"
#include "protocol/model.hpp"
#include "protocol/numbers.hpp"

namespace coralhitch::cluster {

// All machines of the cluster during one leadership. A new leader begins with an empty cluster state.
class ClusterState {
  public:
    static constexpr int token_bits = FencingTokens::token_bits;

    // `leadership_version`: version of the leader key in the key-value store; it grows with each leadership.
    ClusterState(protocol::LeaderVersion leadership_version, const std::vector<protocol::MachineType>& types);
    ClusterState(const ClusterState&) = delete;  // members refer to each other
    ClusterState& operator=(const ClusterState&) = delete;

    // --- Machines ---
    // Adds or replaces machine types, and updates the total resources of the machines.
    void set_types(const std::vector<protocol::MachineType>& types);
    // Returns the machine, or null if the id is unknown.
    Machine* find(std::string_view id);
    // Adds a machine and returns it. If the id is known already, returns that machine unchanged.
    Machine& add(const std::string& id, const std::string& addr, const std::string& type,
                 const std::string& zone, bool spot, Machine::Lifecycle lifecycle, double now);
    // Removes a machine and returns the ends of its instances. Call it once the cloud has confirmed the
    // deletion, which is the evidence that all tasks on the machine have terminated. Heartbeats of this id
    // are ignored from then on. Returns nothing if the id is unknown.
    std::vector<InstanceEnd> remove_deleted(const std::string& id);
    bool is_deleted(const std::string& id) const { return deleted_machines_.contains(id); }
    // Removes all instances from a machine and returns their ends. Call it once the agent's lease must have
    // expired, which is the evidence that the agent has killed its tasks. The machine itself stays, and its
    // agent may return with a new agent epoch.
    std::vector<InstanceEnd> expire_lease(Machine& machine);
    std::map<std::string, Machine>& machines() { return machines_; }
    const std::map<std::string, Machine>& machines() const { return machines_; }
    // Returns true once any machine has sent a heartbeat under this leader's token.
    bool any_reconciled() const { return any_reconciled_; }

    // --- Heartbeats ---
    // Applies a heartbeat if it is newer than all before from that machine, and adds the machine if it is
    // unknown. `lookup` finds the spec of a job. Returns what became of the heartbeat, with the instances
    // that ended or were found.
    HeartbeatOutcome apply_heartbeat(const protocol::Heartbeat& heartbeat, HeartbeatChannel channel,
                                     double now, const JobLookup& lookup);

    // --- Instances ---
    // Records that an attempt of a task is to run on the machine, and schedules its `run` command. Replaces
    // any earlier instance of the task on that machine.
    Instance& place(Machine& machine, const protocol::TaskId& task, JobSpec spec,
                    protocol::AttemptNumber attempt, double now);
    // Records an instance from the replica of the previous leader, which replicated every start: the task may
    // be on the machine. Only a heartbeat under this leader's token shows if it is, because a `run` of the
    // previous leader, whose tokens were all lower, may still arrive until then.
    Instance& place_from_replica(Machine& machine, const protocol::TaskId& task, JobSpec spec,
                                 protocol::AttemptNumber attempt, double now);
    // Schedules a `stop` command with `grace_s` seconds for a checkpoint. Has no effect if the task is not on
    // the machine. A pending stop can only be made shorter.
    void stop(Machine& machine, const protocol::TaskId& task, double grace_s);
    // Stops a task of a cancelled job without grace. After `lease_renewal_deadline`, the machine's lease is
    // not renewed while the agent's heartbeats do not show the task; see `may_renew_lease`.
    void cancel(Machine& machine, const protocol::TaskId& task, double lease_renewal_deadline);
    // Notes that the outcome of these exited tasks is in the key-value store, so their agents may forget
    // them. An empty `tasks` means all tasks of the job.
    void record_outcome_stored(const std::string& job, const std::set<std::uint32_t>& tasks = {});
    // Notes the same for the exits of one task on one machine.
    void record_outcome_stored(const std::string& machine_id, const protocol::TaskId& task);

    // --- Commands; see MachineCommands ---
    std::vector<protocol::Command> reply_commands(Machine& machine, double now, bool authority);
    std::vector<protocol::Command> take_direct_commands(Machine& machine, double now, bool authority);
    void complete_direct_commands(Machine& machine, const std::vector<protocol::Command>& commands,
                                  protocol::FencingToken token, bool answered);
    bool nothing_pending(const Machine& machine) const { return cluster::nothing_pending(machine); }
    bool may_renew_lease(const Machine& machine, double now) const {
        return cluster::may_renew_lease(machine, now);
    }
    // Queues the machine as one for which direct commands may be due. Scanning all machines after every
    // heartbeat instead took longer than processing the heartbeats themselves.
    void schedule_flush(Machine& machine);
    // Returns the ids of the queued machines and empties the queue.
    std::vector<std::string> take_machines_to_flush() { return std::exchange(machines_to_flush_, {}); }

    // --- Replication ---
    // Returns the ids of machines with changes to be replicated, including deleted machines, and empties the
    // list.
    std::vector<std::string> take_machines_to_replicate();
    // Makes each new start wait until `Instance::replicated` is set for it.
    void hold_starts_until_replicated() { hold_starts_until_replicated_ = true; }

    // --- Tokens, pools, images ---
    protocol::FencingToken base_token() const { return tokens_.base(); }
    bool tokens_nearly_exhausted() const { return tokens_.nearly_exhausted(); }
    const std::vector<protocol::Pool>& pools() const { return pools_.pools(); }
    std::size_t zone_count() const { return pools_.zone_count(); }
    std::uint32_t image_number(const std::string& name) { return images_.number(name); }
    const std::map<std::string, std::uint32_t>& image_numbers() const { return images_.by_name(); }
    // Fills the machine's image cache with what an earlier leader knew; see ImageCache::restore.
    void restore_image_cache(Machine& machine, std::vector<CachedImage> images);

  private:
    void schedule_replication(Machine& machine);

    FencingTokens tokens_;
    MachineCommands commands_{tokens_};
    MachinePools pools_;
    ImageNumbers images_;
    std::map<std::string, Machine> machines_;
    // Index of `machines_` for faster lookup. Its keys are views of the keys of `machines_`.
    std::unordered_map<std::string_view, Machine*> machines_by_id_;
    std::unordered_set<std::string> deleted_machines_;
    // Scanning all machines for each stored outcome instead took as long as processing the heartbeats.
    UnstoredExitIndex machines_with_unstored_exits_;
    std::vector<std::string> machines_to_flush_, machines_to_replicate_;
    bool hold_starts_until_replicated_ = false, any_reconciled_ = false;
};

}  // namespace coralhitch::cluster

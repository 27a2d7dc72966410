// The leader's record of its machines: what is on each, as proven by their reports, plus what was sent since.
// Bookkeeping only: no I/O, no clock of its own; times are steady seconds of the leader's clock.
//
// The one question that matters here is "is this task surely terminated on this machine?". Resources are
// freed only on proof; every branch that takes an instance away names its proof.
//
// Composes MachinePools, ImageNumbers, FencingTokens, MachineCommands and HeartbeatApplication. Not
// thread-safe: whoever shares it guards it. References to machines stay valid until `remove_deleted`.
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

class ClusterState {
  public:
    static constexpr int token_bits = FencingTokens::token_bits;

    // `leadership_version`: of the leader's key; each leadership has a higher one.
    ClusterState(protocol::LeaderVersion leadership_version, const std::vector<protocol::MachineType>& types);
    ClusterState(const ClusterState&) = delete;  // parts refer to each other
    ClusterState& operator=(const ClusterState&) = delete;

    // --- Machines ---
    void set_types(const std::vector<protocol::MachineType>& types);
    Machine* find(std::string_view id);
    // The machine as it is, if there is one of this id.
    Machine& add(const std::string& id, const std::string& addr, const std::string& type,
                 const std::string& zone, bool spot, Machine::Lifecycle lifecycle, double now);
    // Proof: the cloud has answered the deletion, so all on the machine is terminated. Reports of this id are
    // ignored from now on.
    std::vector<InstanceEnd> remove_deleted(const std::string& id);
    bool is_deleted(const std::string& id) const { return deleted_machines_.contains(id); }
    // Proof by time: the agent's lease has surely expired, so it has killed all its tasks. The machine itself
    // may come back with a new agent epoch.
    std::vector<InstanceEnd> expire_lease(Machine& machine);
    std::map<std::string, Machine>& machines() { return machines_; }
    const std::map<std::string, Machine>& machines() const { return machines_; }
    // A machine has reported under this leader's token.
    bool any_reconciled() const { return any_reconciled_; }

    // --- Reports ---
    HeartbeatOutcome apply_heartbeat(const protocol::Heartbeat& heartbeat, HeartbeatChannel channel,
                                     double now, const JobLookup& lookup);

    // --- Instances ---
    // Replaces whatever was known of the task there.
    Instance& place(Machine& machine, const protocol::TaskId& task, JobSpec spec,
                    protocol::AttemptNumber attempt, double now);
    // What the previous leader, which replicated all it started, knew to be on the machine: it may be there.
    // A report under this leader's token proves what is; the previous leader's tokens were all lower.
    Instance& place_from_replica(Machine& machine, const protocol::TaskId& task, JobSpec spec,
                                 protocol::AttemptNumber attempt, double now);
    void stop(Machine& machine, const protocol::TaskId& task, double grace_s);
    // Stops it for good, at once; for the deadline see `may_renew_lease`.
    void cancel(Machine& machine, const protocol::TaskId& task, double lease_renewal_deadline);
    // What the exits of these tasks mean is stored; all tasks of the job if none are named.
    void record_outcome_stored(const std::string& job, const std::set<std::uint32_t>& tasks = {});

    // --- Commands; see MachineCommands ---
    std::vector<protocol::Command> reply_commands(Machine& machine, double now, bool authority);
    std::vector<protocol::Command> take_direct_commands(Machine& machine, double now, bool authority);
    void complete_direct_commands(Machine& machine, const std::vector<protocol::Command>& commands,
                                  protocol::FencingToken token, bool answered);
    bool nothing_pending(const Machine& machine) const { return cluster::nothing_pending(machine); }
    bool may_renew_lease(const Machine& machine, double now) const {
        return cluster::may_renew_lease(machine, now);
    }
    // Machines for which direct commands may be due; walking all of them after every report took longer than
    // the reports themselves.
    void schedule_flush(Machine& machine);
    std::vector<std::string> take_machines_to_flush() { return std::exchange(machines_to_flush_, {}); }

    // --- Replication ---
    // Machines of which something has changed that the replicas must know, deleted ones included.
    std::vector<std::string> take_machines_to_replicate();
    // New starts are held back until `Instance::replicated` is set.
    void hold_starts_until_replicated() { hold_starts_until_replicated_ = true; }

    // --- Tokens, pools, images ---
    protocol::FencingToken base_token() const { return tokens_.base(); }
    bool tokens_nearly_exhausted() const { return tokens_.nearly_exhausted(); }
    const std::vector<protocol::Pool>& pools() const { return pools_.pools(); }
    std::size_t zone_count() const { return pools_.zone_count(); }
    std::uint32_t image_number(const std::string& name) { return images_.number(name); }
    const std::map<std::string, std::uint32_t>& image_numbers() const { return images_.by_name(); }
    void restore_image_cache(Machine& machine, std::vector<CachedImage> images);

  private:
    void schedule_replication(Machine& machine);

    FencingTokens tokens_;
    MachineCommands commands_{tokens_};
    MachinePools pools_;
    ImageNumbers images_;
    std::map<std::string, Machine> machines_;
    // The same, found faster; the keys refer to those of the map.
    std::unordered_map<std::string_view, Machine*> machines_by_id_;
    std::unordered_set<std::string> deleted_machines_;
    // Walking all machines for each outcome that was stored took as long as the reports.
    UnstoredExitIndex machines_with_unstored_exits_;
    std::vector<std::string> machines_to_flush_, machines_to_replicate_;
    bool hold_starts_until_replicated_ = false, any_reconciled_ = false;
};

}  // namespace coralhitch::cluster

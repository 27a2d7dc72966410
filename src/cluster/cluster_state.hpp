// The leader's cluster state of the machines: what is on each, as proven by reports, plus what was sent
// since. Bookkeeping only: no I/O, no clock of its own.
//
// The one question that matters here is "is this task surely gone from this machine?". A place is given
// free only on proof; every branch that takes an instance away names its proof.
#pragma once
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "membership/reachability.hpp"
#include "protocol/model.hpp"

namespace coralhitch::cluster {

using JobSpec = std::shared_ptr<const protocol::Job>;
using Lookup = std::function<JobSpec(const std::string& job)>;

struct Instance {
    JobSpec spec;  // null: a job nobody knows (any more); it is stopped, and its machine gets nothing new
    std::uint64_t attempt = 0;
    protocol::TaskState state = protocol::TaskState::fetching;
    bool seen = false;   // a report showed it
    bool shown = false;  // the last report did
    // False: only a report from before this leader began showed it. It takes its place, and is stopped if it
    // must not be, but is no evidence of where the task is.
    bool confirmed = true;
    // Steady time, of a task that must be gone: until then its machine's lease may be renewed though it is
    // not known whether a `run` has reached it.
    double lease_renewal_deadline = std::numeric_limits<double>::infinity();
    bool ready = true;  // its machine is stored, so `run` may be sent
    bool told = true;   // and so may it, since those who follow this leader know of it
    bool stop = false;
    bool image_noted = false;
    bool orphaned = false;  // a second instance of a task: never wanted, still counted
    double grace_s = 0, placed = 0, running_since = -1, stop_sent = -1;
    std::uint64_t run_token = 0;                 // highest token a `run` went out under
    std::uint64_t unacknowledged_run_token = 0;  // highest token of a direct `run` that got no answer
    std::uint64_t answer_sequence = 0;           // the report whose answer carried the last `run`
    int direct = 0;                              // direct `run`s under way
};

// An exited task that the worker still reports.
struct ExitedTask {
    std::uint64_t attempt = 0, unacknowledged_run_token = 0, run_token = 0, answer_sequence = 0;
    int direct = 0;
    bool stored = false;  // what it means for the job is stored, so the worker may forget it
};

struct Machine {
    std::string id, addr, type, zone;
    bool spot = false;
    std::size_t pool = 0;
    protocol::Resources total;
    enum class Life { booting, up, marked_for_deletion } life = Life::booting;
    bool stored = false, storing = false;  // its key at the key-value store
    bool stored_before = false;  // when this leader began, so that tasks of earlier leaders may be on it
    bool confirmed = false;      // its newest report was sent since this leader began
    bool reconciled = false;     // what is on it is known to this leader
    bool known =
        false;  // by the leader before: `tasks` holds all that may be on it, though it has not reconciled
    bool deletable = false;  // marked_for_deletion, and stored as such: the deletion may be asked for
    bool deleting = false;
    std::uint64_t agent_epoch = 0, sequence = 0, heartbeat_sequence = 0;
    std::uint64_t token_seen = 0;  // the highest fencing token that its worker has shown
    std::uint64_t token = 0;       // the fencing token that commands and answers to it carry
    double created = 0, last_heard = 0, last_probe = -1, idle_since = 0;
    double renewed = 0;  // last moment at which a controller may have renewed the worker's lease
    double delegation_expiry =
        -1;                // last moment at which a relay that gave it back may have renewed its lease
    std::string route;     // the controller through which its last report came; empty: the leader itself
    double moved = -1;     // when it was last sent to another controller
    double asked = -1;     // when this leader first asked it for a report
    double answered = -1;  // when this leader last answered its report, before it had reconciled
    double preemption_notice_until = -1;
    bool probing = false;
    std::map<protocol::TaskId, Instance> tasks;
    std::map<std::pair<protocol::TaskId, std::uint64_t>, ExitedTask> ended;
    std::vector<std::pair<std::uint32_t, double>> cache;  // images and their sizes, the last used last
    std::shared_ptr<const protocol::Images>
        images;             // of `cache`; replaced, never changed: plans hold on to it
    bool draining = false;  // surplus, by the last plan of what to rent and return
    bool unsent = false;    // among those that `to_flush` names
    bool dirty = false;     // among those that `dirty_machines` names
    std::set<std::string> error_jobs;
    double quarantined_until = 0;
    bool suspected = false;  // it should have been heard by now: nothing new goes there
    bool mute = false;       // no report comes, though it may answer commands: nothing new goes there either
    double silent_before = 0;  // seconds for which the leader before had not heard it; a hint
    // All that was in agent epochs up to this one is proven gone by time. What shows it still came late.
    std::uint64_t over = 0;
    bool unproven =
        false;  // the same, though its agent epoch was never heard: only its own answer counts now
    membership::Reachability reachability;
    bool heartbeat_route_known = false;   // a report, so that `route` says by which way
    bool has_reported_instances() const;  // shown by the machine itself

    bool is_suspect() const { return suspected || mute; }
    bool usable(double now) const { return fit(now) && !is_suspect(); }
    // But for a doubt, which may end any moment.
    bool fit(double now) const {
        return life == Life::up && reconciled && agent_epoch > 0 && preemption_notice_until < 0 &&
               now >= quarantined_until;
    }
    protocol::Resources free() const;
    bool has_orphaned_instance() const;
};

// A task that is proven gone from a machine.
struct InstanceEnd {
    std::string machine;
    protocol::TaskId task;
    std::uint64_t attempt = 0;
    bool reported = false;  // false: the machine, the agent epoch or the command is proven gone
    bool orphaned = false;
    protocol::ExitCause cause = protocol::ExitCause::none;
    bool saved = false;
    bool started = false;  // it had its image
};

enum class Via { heartbeat, direct };

struct HeartbeatOutcome {
    bool fresh = false;    // newer than what was known
    bool current = false;  // of the machine's present agent epoch, so that it may be answered
    bool deposed = false;  // the worker has seen the token of a later leader
    bool again = false;    // the newest report once more
    bool gone = false;     // what it shows is gone: a late report
    std::vector<InstanceEnd> ends;
    std::vector<std::pair<protocol::TaskId, std::string>>
        found;  // instances not known before, with their machine
};

class ClusterState {
  public:
    // Tokens of a leadership: its key's version above, a counter per machine below.
    static constexpr int token_bits = 20;
    static constexpr std::uint64_t tokens_per_leadership = 1ull << token_bits;
    static constexpr std::uint64_t spare_tokens = tokens_per_leadership / 16;  // for the time of a hand-over
    ClusterState(std::uint64_t version, const std::vector<protocol::MachineType>& types);

    void set_types(const std::vector<protocol::MachineType>& types);
    Machine* find(std::string_view id);
    Machine& add(const std::string& id, const std::string& addr, const std::string& type,
                 const std::string& zone, bool spot, Machine::Life life, double now);
    HeartbeatOutcome apply_heartbeat(const protocol::Heartbeat& r, Via via, double now, const Lookup& lookup);
    // Commands for the answer to a report. Without authority only stops that were decided with it.
    std::vector<protocol::Command> answer(Machine& m, double now, bool authority);

    // Direct commands: what to send now; mark them as under way; what became of them.
    std::vector<protocol::Command> direct_now(Machine& m, double now, bool authority);
    // Nothing is to be said to the machine, and its last report showed all that is known to be on it: a
    // report that says the same tells nothing, and its answer holds nothing.
    bool quiet(const Machine& m) const;
    void direct_done(Machine& m, const std::vector<protocol::Command>& commands, std::uint64_t token,
                     bool answered);

    Instance& place(Machine& m, const protocol::TaskId& task, JobSpec spec, std::uint64_t attempt,
                    double now);
    void stop(Machine& m, const protocol::TaskId& task, double grace_s);
    // The same for good, at once; see `renewable`.
    void cancel(Machine& m, const protocol::TaskId& task, double lease_renewal_deadline);
    // Whether an answer to the last report may renew the lease. Its answer stops what it shows; what it does
    // not show may have started since, by a `run` that was held up, and would live for a lease more without a
    // command. Direct commands fence that and renew nothing.
    bool renewable(const Machine& m, double now) const;
    // What the ends of these tasks mean is stored; all tasks of the job if none are named.
    void stored(const std::string& job, const std::set<std::uint32_t>& tasks = {});
    // The deletion of the machine was answered: all on it is gone.
    std::vector<InstanceEnd> removed(const std::string& id);
    // The worker's lease is surely out: all on it is gone, the machine itself may come back with a new
    // agent epoch.
    std::vector<InstanceEnd> expire_lease(Machine& m);
    bool is_deleted(const std::string& id) const { return deleted_machines_.contains(id); }

    std::map<std::string, Machine>& machines() { return machines_; }
    const std::map<std::string, Machine>& machines() const { return machines_; }
    std::uint64_t base_token() const { return base_; }
    // A machine's token comes near to where a later leadership's may begin: this one must end before that.
    bool tokens_run_out() const { return highest_token_ - base_ >= tokens_per_leadership - spare_tokens; }
    bool any_reconciled() const { return any_reconciled_; }
    const std::vector<protocol::Pool>& pools() const { return pools_; }
    std::size_t zones() const { return zones_.size(); }
    std::uint32_t image(const std::string& name);
    const std::map<std::string, std::uint32_t>& images() const { return images_; }
    // What an earlier leader knew of the machine's cache, if nothing newer is known.
    void recall_cache(Machine& m, std::vector<std::pair<std::uint32_t, double>> cache);
    // Machines for which direct commands may be due; walking all of them after every report took longer than
    // the reports themselves.
    std::vector<std::string> to_flush() { return std::exchange(to_flush_, {}); }
    void schedule_flush(Machine& m);
    // Machines of which something has changed that a follower must know.
    std::vector<std::string> dirty_machines();
    // New starts are held back until they are `told`.
    void hold_starts() { hold_starts_ = true; }
    // What a leader before this one, which told all it started, knew to be on the machine: it may be there. A
    // report under this leader's token proves what is; the predecessor's tokens were all lower.
    Instance& inherit(Machine& m, const protocol::TaskId& task, JobSpec spec, std::uint64_t attempt,
                      double now);

  private:
    // The steps of `apply_report`; those that find something out add it to the outcome.
    bool sent_since_begin(const protocol::Heartbeat& r, Via via) const;
    bool is_newer(const Machine& m, const protocol::Heartbeat& r, Via via) const;
    bool is_from_terminated_epoch(const protocol::Heartbeat& r, Via via);
    void apply_older(Machine& m, const protocol::Heartbeat& r, Via via, HeartbeatOutcome& outcome) const;
    void apply_header(Machine& m, const protocol::Heartbeat& r, Via via, double now);
    void apply_exited(Machine& m, const protocol::TaskStatus& t, HeartbeatOutcome& outcome);
    bool apply_reported(Machine& m, const protocol::TaskStatus& t, double now, const Lookup& lookup,
                        HeartbeatOutcome& outcome);
    void terminate_unreported(Machine& m, const std::set<protocol::TaskId>& shown, std::uint64_t token,
                              HeartbeatOutcome& outcome);
    void mark_dirty(Machine& m);
    void know_type(protocol::Pool& p) const;
    std::size_t pool_of(const std::string& type, const std::string& zone, bool spot);
    void used_image(Machine& m, const protocol::Job& job);
    void trim_cache(Machine& m);
    std::vector<InstanceEnd> terminate_all(Machine& m);
    void fence_unacknowledged_runs(Machine& m);
    void raise_token(Machine& m, std::uint64_t above);
    std::uint64_t base_, highest_token_;
    std::map<std::string, protocol::MachineType> types_;
    std::vector<protocol::Pool> pools_;
    std::vector<std::string> zones_;
    std::map<std::string, std::uint32_t> images_;
    std::vector<std::string> to_flush_, dirty_machines_;
    bool hold_starts_ = false, any_reconciled_ = false;
    // By job: machines that hold, or held, ends of its tasks. Walking all machines for each end that was
    // stored took as long as the reports.
    std::unordered_map<std::string, std::set<std::string>> exited_by_job_;
    std::map<std::string, Machine> machines_;
    std::unordered_map<std::string_view, Machine*>
        by_id_;  // the same, found faster; names are those of the map
    std::unordered_set<std::string> deleted_machines_;
};

}  // namespace coralhitch::cluster

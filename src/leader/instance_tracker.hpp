// Updates the job table when an instance is found on a machine or has ended: where a job's tasks are, which
// of them are done, and when the others may be started again.
//
// InstanceTracker changes the job table (locations, done tasks, failures, orphaned instances). In the cluster
// state it changes what follows from that: stops, quarantines, and which ends agents no longer need to
// report. It owns no state and sends nothing. Commands that it causes are sent when the caller flushes them.
//
// Runs on the event loop's thread. The caller holds LeaderState::mutex during every call.
#pragma once
#include <cstdint>
#include <functional>
#include <string>

#include "cluster/cluster_state.hpp"
#include "cluster/team_activity.hpp"
#include "cluster/team_usage.hpp"
#include "jobs/job_table.hpp"
#include "leader/leader_part.hpp"
#include "metrics/metrics.hpp"
#include "protocol/model.hpp"
#include "protocol/numbers.hpp"

namespace coralhitch::leader {

// Records in the job table which instances are on machines and which have ended.
class InstanceTracker : private LeaderPart {
  public:
    // Marks the machine for deletion. For `reason` see MachineDeletion::mark.
    using MarkForDeletion = std::function<void(cluster::Machine& machine, const char* reason)>;

    InstanceTracker(const PartContext& context, metrics::Metrics& metrics,
                    cluster::TeamActivity& team_activity, MarkForDeletion mark_for_deletion);

    // Applies the end of an instance, of which there is evidence that it has terminated. A task that is done
    // is recorded as done. Otherwise the task may be started again, after a delay that depends on the cause.
    void instance_ended(const cluster::InstanceEnd& end);
    // Records an instance that was not known on this machine, or not confirmed. Stops it if its job is
    // cancelled or its task is done. The machine must be in the cluster state.
    void instance_found(const protocol::TaskId& task, const std::string& machine_id);
    // Stops all active tasks of the job. They get `grace_s` seconds to save a checkpoint.
    void stop_active(const std::string& job_id, jobs::JobEntry& job, double grace_s);
    // Stops all active tasks of a cancelled job, without time to save a checkpoint.
    void cancel_active(const std::string& job_id, jobs::JobEntry& job);
    // Returns how many tasks of jobs were gone through so far, beside those that the calls named.
    [[nodiscard]] std::uint64_t tasks_examined() const { return tasks_examined_; }

  private:
    void record_location(jobs::JobEntry& job, const protocol::TaskId& task, cluster::Machine& machine,
                         protocol::AttemptNumber attempt);
    bool clear_location(jobs::JobEntry& job, const cluster::InstanceEnd& end);
    void handle_task_done(jobs::JobEntry& job, const cluster::InstanceEnd& end);
    void mark_gang_done(jobs::JobEntry& job);
    void handle_task_lost(jobs::JobEntry& job, const cluster::InstanceEnd& end);
    void stop_rest_of_gang(const std::string& job_id, jobs::JobEntry& job);
    void handle_task_failed(jobs::JobEntry& job, const cluster::InstanceEnd& end);
    void quarantine(cluster::Machine& machine, const std::string& job_id);

    metrics::Metrics& metrics_;
    cluster::TeamActivity& team_activity_;
    MarkForDeletion mark_for_deletion_;
    std::uint64_t tasks_examined_ = 0;
};

}  // namespace coralhitch::leader

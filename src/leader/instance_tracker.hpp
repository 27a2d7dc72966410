// What an instance that was found on a machine, or has left one, means for its job: where its tasks are,
// which of them are done, and when the rest may be tried again.
//
// Changes the job table (locations, done tasks, failures, orphans), and of the cluster state what follows
// from it: stops, quarantine, ends that need not be reported any more. Owns nothing of its own and sends
// nothing; commands that it brings about are sent when the caller flushes them.
//
// On the event loop's thread. The caller holds LeaderState::mutex during every call.
#pragma once
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

// Enters in the job table what is found on machines or has ended there.
class InstanceTracker : private LeaderPart {
  public:
    // The machine is to be deleted, for this reason.
    using MarkForDeletion = std::function<void(cluster::Machine& machine, const char* reason)>;

    InstanceTracker(const PartContext& context, metrics::Metrics& metrics,
                    cluster::TeamActivity& team_activity, MarkForDeletion mark_for_deletion);

    // An instance was proven terminated.
    void instance_ended(const cluster::InstanceEnd& end);
    // The machine, which must be in the cluster state, holds an instance that was not known there.
    void instance_found(const protocol::TaskId& task, const std::string& machine_id);
    // Stops all active tasks of the job; they get so many seconds to save.
    void stop_active(const std::string& job_id, jobs::JobEntry& job, double grace_s);
    // Stops all active tasks of the job at once and for good.
    void cancel_active(const std::string& job_id, jobs::JobEntry& job);

  private:
    void record_location(jobs::JobEntry& job, const protocol::TaskId& task, cluster::Machine& machine,
                         protocol::AttemptNumber attempt);
    bool clear_location(jobs::JobEntry& job, const cluster::InstanceEnd& end);
    void handle_task_done(jobs::JobEntry& job, const cluster::InstanceEnd& end);
    void handle_task_lost(jobs::JobEntry& job, const cluster::InstanceEnd& end);
    void handle_task_failed(jobs::JobEntry& job, const cluster::InstanceEnd& end);
    void quarantine(cluster::Machine& machine, const std::string& job_id);

    metrics::Metrics& metrics_;
    cluster::TeamActivity& team_activity_;
    MarkForDeletion mark_for_deletion_;
};

}  // namespace coralhitch::leader

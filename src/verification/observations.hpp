// The observations so far: the answers that users received about jobs, and the tasks on each machine. Checks
// no rules itself; the checker reads it.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "protocol/model.hpp"

namespace coralhitch::verification {

// The properties of a machine that decide which tasks may be placed on it.
struct MachinePlace {
    std::string type, zone;
    bool spot = false;
    protocol::Resources capacity;
};

// A submitted job with all observations about it. Times are in seconds.
struct ObservedJob {
    protocol::Job job;
    bool must_be_refused = false;   // the job cannot run, and no answer may accept it
    bool fails_everywhere = false;  // its tasks always fail, so the cluster may delay it without limit
    bool cancel_requested = false;
    // Times at which a user first received an answer of this kind.
    std::optional<double> accepted_at, cancelled_at, done_at;
    double answered_at = 0;  // time of the most recent successful answer about the job
    bool unanswered_too_long = false;
    std::optional<double> waiting_since;  // since then there were room and quota, but no task started
    bool waited_too_long = false;
    std::set<std::uint32_t> tasks_done;
    // Machines by task index. A task has more than one machine only if a rule is violated.
    std::multimap<std::uint32_t, std::string> machines_of_task;
    std::map<std::string, std::uint32_t> tasks_per_zone;

    // Returns whether all tasks are done. One task is enough for a gang, whose tasks complete together.
    bool is_done() const;
};

// The observed jobs, machines, and tasks on machines.
class Observations {
  public:
    using Jobs = std::map<std::string, ObservedJob>;

    ObservedJob& add_job(const protocol::Job& job);
    ObservedJob* find(const std::string& job);
    const ObservedJob* find(const std::string& job) const;
    Jobs& jobs() { return jobs_; }
    const Jobs& jobs() const { return jobs_; }
    bool is_done(const std::string& job) const;
    // Returns the known jobs that the job depends on, directly or indirectly, each of them once: the number
    // of paths to them may be exponential in the length of a pipeline.
    std::vector<const ObservedJob*> dependencies_of(const std::string& job) const;
    // Returns whether a user has requested the cancellation of the job or of a job that it depends on,
    // directly or indirectly.
    bool cancel_wanted(const std::string& job) const;
    // Returns the time at which a user first received confirmation that a dependency of the job, direct or
    // indirect, is cancelled after a request to cancel it.
    std::optional<double> dependency_cancelled_at(const std::string& job) const;

    void add_machine(const std::string& machine, MachinePlace place) {
        machines_[machine] = std::move(place);
    }
    const MachinePlace& place_of(const std::string& machine) { return machines_[machine]; }
    void add_task(ObservedJob& job, std::uint32_t index, const std::string& machine);
    // Does nothing if the task is not on the machine.
    void remove_task(ObservedJob& job, std::uint32_t index, const std::string& machine);
    void remove_tasks_of(const std::string& machine);

    // Returns the number of further tasks of the job that fit on the machine.
    std::size_t free_slots_for(const protocol::Job& job, const std::string& machine) const;
    // Returns the resources that all tasks of a team occupy on machines.
    protocol::Resources used_by(const std::string& team) const;
    std::size_t tasks_on_machines() const { return tasks_on_machines_; }

  private:
    Jobs jobs_;
    std::map<std::string, MachinePlace> machines_;
    std::map<std::string, std::set<protocol::TaskId>> tasks_of_machine_;
    std::map<std::string, protocol::Resources> used_by_team_;
    std::size_t tasks_on_machines_ = 0;
};

}  // namespace coralhitch::verification

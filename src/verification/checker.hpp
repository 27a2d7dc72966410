// The rules of the protocol, checked on events in the order of their times. Pure: no clock, no network, no
// decision of the scheduler. Whoever observes workers and users feeds it.
//
// Owns what was observed so far, and the violations that were found. Used by one thread.
#pragma once
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "protocol/model.hpp"

namespace coralhitch::verification {

struct TeamLimit {
    double cpus_max = 0;  // 0: no limit
    double gpus_max = 0;  // 0: no limit
};

struct Rules {
    double cancel_s = 0;  // how long a task may stay on its machine after users were told of its cancellation
    std::map<std::string, TeamLimit> teams;
};

struct MachinePlace {
    std::string type;
    std::string zone;
    bool spot = false;
    protocol::Resources room;
};

// All times are seconds of one clock; each call's time is at least that of the call before.
class Checker {
  public:
    explicit Checker(Rules rules) : rules_(std::move(rules)) {}

    // --- What users do and are told ---
    void submitted(const protocol::Job& job);
    // The jobs of these two must have been submitted.
    void accepted(const std::string& id);
    void cancel_requested(const std::string& id);
    // An answer about a job. Answers overtake each other: one that says neither done nor cancelled counts
    // only if the user had been told that the job has ended before asking, which the caller sees to.
    void status_answered(double now, const std::string& id, protocol::JobState state);
    // A status query that got 404.
    void not_found_answered(double now, const std::string& id);

    // --- What happens on machines. A task takes its place when its worker carries out the command to start
    // it
    void machine_added(const std::string& id, MachinePlace place) { machines_[id] = std::move(place); }
    void task_started(double now, const std::string& machine, const protocol::TaskId& task);
    void task_ended(const std::string& machine, const protocol::TaskId& task, protocol::ExitCause cause);
    void machine_terminated(const std::string& machine);

    // Finds tasks of cancelled jobs that are still on a machine. To be called from time to time.
    void check_cancelled_jobs(double now);

    // Each with its time, the broken rule's name, and whom it concerns.
    [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }
    [[nodiscard]] std::size_t started_tasks() const { return started_tasks_; }
    [[nodiscard]] std::size_t tasks_on_machines() const { return tasks_on_machines_; }
    // Whether its tasks have done what the job needs. The job must have been submitted.
    [[nodiscard]] bool is_done(const std::string& id) const;

  private:
    struct ObservedJob {
        protocol::Job job;
        bool accepted = false;
        bool cancel_requested = false;
        bool answered_done = false;
        std::optional<double> answered_cancelled_at;  // the first such answer
        std::set<std::uint32_t> tasks_done;
        std::map<std::uint32_t, std::string> machine_by_task;
        std::map<std::string, std::uint32_t> tasks_by_zone;
    };
    void add_violation(double now, const std::string& what);
    void check_quota(double now, const protocol::Job& job, const std::string& task);
    void check_place(double now, const ObservedJob& observed, const MachinePlace& place,
                     const std::string& task);
    void check_dependencies(double now, const ObservedJob& observed, const std::string& task);
    [[nodiscard]] bool is_overdue(double now, const ObservedJob& observed) const;
    void add_task(ObservedJob& observed, std::uint32_t task, const std::string& machine);
    void remove_task(ObservedJob& observed, std::uint32_t task);

    Rules rules_;
    std::map<std::string, MachinePlace> machines_;
    std::map<std::string, ObservedJob> jobs_;
    std::map<std::string, std::set<protocol::TaskId>> tasks_by_machine_;
    std::map<std::string, protocol::Resources> used_by_team_;
    std::set<std::string> cancelled_jobs_;  // that may have tasks on machines
    std::size_t started_tasks_ = 0;
    std::size_t tasks_on_machines_ = 0;
    std::vector<std::string> violations_;
};

}  // namespace coralhitch::verification

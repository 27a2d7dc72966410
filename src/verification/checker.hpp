// Checks the rules that the cluster promises to users, on a sequence of observed events in order of time. Has
// no clock, network access or scheduling decisions of its own. The events come from the simulated cluster of
// the tests and from the load tool in `scale/`. docs/testing.md lists the rules.
#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "protocol/model.hpp"
#include "verification/observations.hpp"

namespace coralhitch::verification {

// The hard limits of a team.
struct TeamLimit {
    double cpus_max = 0, gpus_max = 0;  // 0: no limit
};
// The parameters of the rules. Times are in seconds.
struct Rules {
    double cancel_s = 0;  // longest time that a task may stay after its job's cancellation was confirmed
    std::map<std::string, TeamLimit> teams;
    double rounding = 1e-6;  // tolerance when sums of decimal amounts are compared with a limit
    // Longest time that a job that could start may wait, and that a job's queries may stay unanswered. Only
    // used by `check_waiting` and `check_unanswered`.
    double max_waiting_s = 90, max_unanswered_s = 45;
};

// An answer about a job that a user received.
struct Answer {
    enum class Request { submission, query, cancellation };
    std::string job;
    Request request = Request::query;
    double sent = 0, received = 0;  // times of sending the request and of receiving the answer
    int status = 200;               // HTTP status code
    std::optional<protocol::JobState> state;

    bool success() const { return status == 200 || status == 201; }
};

// The response of an agent to a command to start a task.
enum class StartOutcome { placed, no_room };

// Checks every rule. All times are in seconds of one clock and must not decrease from one call to the next.
class Checker {
  public:
    explicit Checker(Rules rules) : rules_(std::move(rules)) {}

    // The calls below report what users do and which answers they receive.
    void submitted(const protocol::Job& job);
    // Declares that the job cannot run, so that no answer may accept it.
    void must_be_refused(const std::string& id) { known_job(id).must_be_refused = true; }
    // Declares that the job's tasks always fail, so that the job may wait without limit.
    void fails_everywhere(const std::string& id) { known_job(id).fails_everywhere = true; }
    // Records that the job was accepted before any later call.
    void accepted(const std::string& id);
    void cancel_requested(const std::string& id) { known_job(id).cancel_requested = true; }
    // Checks an answer. Answers may overtake each other, so an answer is only compared with those that any
    // user had received before its request was sent: it must not be older than those.
    void answered(const Answer& answer);
    // Checks an answer against every answer received so far. The caller ensures the order: it must not pass a
    // state other than done and cancelled if a user learned that the job had ended only after the request was
    // sent.
    void status_answered(double now, const std::string& id, protocol::JobState state);
    // Checks an answer with status 404 to a status query.
    void not_found_answered(double now, const std::string& id);

    // The calls below report what happens on machines. A task occupies resources of a machine from the moment
    // its agent executes the start command.
    void machine_added(const std::string& id, MachinePlace place) {
        observations_.add_machine(id, std::move(place));
    }
    void task_started(double now, const std::string& machine, const protocol::TaskId& task,
                      StartOutcome outcome = StartOutcome::placed);
    void task_ended(const std::string& machine, const protocol::TaskId& task, protocol::ExitCause cause);
    // Reports that a machine runs no tasks any longer: it has crashed or was deleted, or its agent's lease
    // has expired.
    void machine_terminated(const std::string& machine) { observations_.remove_tasks_of(machine); }

    // Reports tasks of cancelled jobs that are still on a machine after `cancel_s`.
    void check_cancelled_jobs(double now);
    // Reports jobs that have waited too long although the usable machines and their team's limit have room
    // for them.
    void check_waiting(double now, const std::set<std::string>& usable_machines);
    // Reports accepted jobs without an answer for longer than `max_unanswered_s`. Time before `since` does
    // not count.
    void check_unanswered(double now, double since);
    // Records a violation of a rule; also called by observers that check rules of their own.
    void report(double now, const std::string& what);

    const std::vector<std::string>& violations() const { return violations_; }
    std::size_t started_tasks() const { return starts_; }
    // Returns the number of starts after the cancellation of their job was confirmed to a user. They are not
    // violations within `cancel_s`.
    std::size_t starts_after_cancellation() const { return starts_after_cancellation_; }
    std::size_t tasks_on_machines() const { return observations_.tasks_on_machines(); }
    bool is_done(const std::string& id) const { return observations_.jobs().at(id).is_done(); }
    bool cancel_wanted(const std::string& id) const { return observations_.cancel_wanted(id); }

  private:
    ObservedJob& known_job(const std::string& id) { return observations_.jobs().at(id); }
    void check_refusal(const ObservedJob& job, const Answer& answer);
    void check_against_earlier_answers(const ObservedJob& job, const Answer& answer);
    void check_state(const ObservedJob& job, const Answer& answer);
    void check_cancelled_dependencies(const Answer& answer);
    void record_answer(ObservedJob& job, const Answer& answer);
    void check_runs_once(double now, ObservedJob& job, const std::string& machine,
                         const protocol::TaskId& task);
    void check_dependencies_done(double now, const protocol::Job& job, const std::string& task);
    void check_quota(double now, const protocol::Job& job, const std::string& task);
    void check_not_cancelled(double now, const ObservedJob& job, const std::string& task);
    void check_place(double now, const ObservedJob& job, const MachinePlace& place, const std::string& task);
    bool may_start(const ObservedJob& job, const std::set<std::string>& usable_machines);

    Rules rules_;
    Observations observations_;
    std::set<std::string> cancelled_;  // jobs that may still have tasks on machines
    std::size_t starts_ = 0, starts_after_cancellation_ = 0;
    std::vector<std::string> violations_;
};

}  // namespace coralhitch::verification

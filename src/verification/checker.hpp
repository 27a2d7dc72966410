// The rules of the protocol, checked on events in the order of their times. Pure: no clock, no network, no
// decision of the scheduler. Whoever observes workers and users feeds it: the simulated cluster of the tests,
// and the users of `scale/`. docs/testing.md lists the rules.
#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "protocol/model.hpp"
#include "verification/observations.hpp"

namespace coralhitch::verification {

struct TeamLimit {
    double cpus_max = 0, gpus_max = 0;  // 0: no limit
};
struct Rules {
    double cancel_s = 0;
    std::map<std::string, TeamLimit> teams;
    double rounding = 1e-6;  // of sums of decimal amounts that are held against a limit
    // For the rules about what waits and what is not answered, which are checked by `check_waiting` and
    // `check_unanswered` only.
    double max_waiting_s = 90, max_unanswered_s = 45;
};

// An answer that a user got about a job.
struct Answer {
    enum class Request { submission, query, cancellation };
    std::string job;
    Request request = Request::query;
    double sent = 0, received = 0;  // the request, the answer
    int status = 200;               // of HTTP
    std::optional<protocol::JobState> state;

    bool success() const { return status == 200 || status == 201; }
};

// What the machine does with a command to start a task.
enum class StartOutcome { placed, no_room };

// All times are seconds of one clock; each call's time is at least that of the call before.
class Checker {
  public:
    explicit Checker(Rules rules) : rules_(std::move(rules)) {}

    // What users do, and what they are answered.
    void submitted(const protocol::Job& job);
    void must_be_refused(const std::string& id) { known_job(id).must_be_refused = true; }
    void fails_everywhere(const std::string& id) { known_job(id).fails_everywhere = true; }
    void accepted(const std::string& id);
    void cancel_requested(const std::string& id) { known_job(id).cancel_requested = true; }
    // Answers overtake each other. Each is held against what anyone had received before its request was sent:
    // from then on nothing older is right.
    void answered(const Answer& answer);
    // An answer for which the caller has seen to the order: one that says neither done nor cancelled counts
    // only if the user had been told that the job is over before asking.
    void status_answered(double now, const std::string& id, protocol::JobState state);
    // A status query that got 404.
    void not_found_answered(double now, const std::string& id);

    // What happens on machines. A task takes its place when its worker carries out the command to start it.
    void machine_added(const std::string& id, MachinePlace place) {
        observations_.add_machine(id, std::move(place));
    }
    void task_started(double now, const std::string& machine, const protocol::TaskId& task,
                      StartOutcome outcome = StartOutcome::placed);
    void task_ended(const std::string& machine, const protocol::TaskId& task, protocol::ExitCause cause);
    // Its tasks run no more: it has crashed or was deleted, or its worker's lease has expired.
    void machine_terminated(const std::string& machine) { observations_.remove_tasks_of(machine); }

    // Looks for tasks of cancelled jobs that are still on a machine.
    void check_cancelled_jobs(double now);
    // Looks for jobs that have waited too long although these machines and their team's limit would take
    // them.
    void check_waiting(double now, const std::set<std::string>& usable_machines);
    // Looks for accepted jobs about which nothing has been answered for too long, and for as long since then.
    void check_unanswered(double now, double since);
    // A rule that the observer checks itself is broken.
    void report(double now, const std::string& what);

    const std::vector<std::string>& violations() const { return violations_; }
    std::size_t started_tasks() const { return starts_; }
    // Starts that came after the user had been told that the job is cancelled: no rule forbids them within
    // `cancel_s`.
    std::size_t starts_after_cancellation() const { return starts_after_cancellation_; }
    std::size_t tasks_on_machines() const { return observations_.tasks_on_machines(); }
    bool is_done(const std::string& id) const { return observations_.jobs().at(id).is_done(); }
    bool cancel_wanted(const std::string& id) const { return observations_.cancel_wanted(id); }

  private:
    ObservedJob& known_job(const std::string& id) { return observations_.jobs().at(id); }
    void check_refusal(const ObservedJob& job, const Answer& answer);
    void check_against_earlier_answers(const ObservedJob& job, const Answer& answer);
    void check_state(const ObservedJob& job, const Answer& answer);
    void check_awaited(const Answer& answer);
    void take_in(ObservedJob& job, const Answer& answer);
    void check_runs_once(double now, ObservedJob& job, const std::string& machine,
                         const protocol::TaskId& task);
    void check_awaits(double now, const protocol::Job& job, const std::string& task);
    void check_quota(double now, const protocol::Job& job, const std::string& task);
    void check_not_cancelled(double now, const ObservedJob& job, const std::string& task);
    void check_place(double now, const ObservedJob& job, const MachinePlace& place, const std::string& task);
    bool may_start(const ObservedJob& job, const std::set<std::string>& usable_machines);

    Rules rules_;
    Observations observations_;
    std::set<std::string> cancelled_;  // with tasks on machines, perhaps
    std::size_t starts_ = 0, starts_after_cancellation_ = 0;
    std::vector<std::string> violations_;
};

}  // namespace coralhitch::verification

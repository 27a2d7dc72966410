// The rules about the answers that users receive.
#include <limits>
#include <optional>
#include <string>

#include "protocol/model.hpp"
#include "protocol/names.hpp"
#include "verification/checker.hpp"

namespace coralhitch::verification {
namespace {

constexpr double infinity = std::numeric_limits<double>::infinity();
// Returns whether something was received before the request of this answer was sent.
bool received_before(std::optional<double> received, const Answer& answer) {
    return received && *received < answer.sent;
}
// Returns whether the answer says that the job does not exist or is invalid.
bool denies_job(const Answer& answer) {
    return answer.status == 404 || answer.status == 400 || answer.status == 422;
}
// Returns the violation of an answer that contradicts an earlier answer with a final state.
std::string final_state_left(const Answer& answer, protocol::JobState from) {
    using protocol::job_state_names;
    using protocol::name_of;
    auto to = answer.state ? name_of(job_state_names, *answer.state) : "no state";
    std::string text = "went_back " + answer.job + " from ";
    return text.append(name_of(job_state_names, from)).append(" to ").append(to);
}
}  // namespace

void Checker::accepted(const std::string& id) {
    auto& accepted = known_job(id);
    if (!accepted.accepted_at) accepted.accepted_at = -infinity;
}
void Checker::status_answered(double now, const std::string& id, protocol::JobState state) {
    answered({.job = id, .sent = infinity, .received = now, .state = state});
}
void Checker::not_found_answered(double now, const std::string& id) {
    constexpr int not_found = 404;
    answered({.job = id, .sent = infinity, .received = now, .status = not_found, .state = {}});
}

void Checker::answered(const Answer& answer) {
    auto* job = observations_.find(answer.job);
    if (!job) {
        if (answer.success()) report(answer.received, "invented " + answer.job);
        return;
    }
    if (job->must_be_refused) return check_refusal(*job, answer);
    if (denies_job(answer) && received_before(job->accepted_at, answer))
        report(answer.received, "forgotten " + answer.job + " got " + std::to_string(answer.status));
    if (!answer.success()) return;
    check_against_earlier_answers(*job, answer);
    check_cancelled_dependencies(answer);
    check_state(*job, answer);
    record_answer(*job, answer);
}
void Checker::check_refusal(const ObservedJob& job, const Answer& answer) {
    if (answer.success())
        report(answer.received,
               "accepted_impossible " + job.job.id + " got " + std::to_string(answer.status));
}
void Checker::check_against_earlier_answers(const ObservedJob& job, const Answer& answer) {
    constexpr int created = 201;
    if (answer.status == created && received_before(job.accepted_at, answer))
        report(answer.received, "accepted_twice " + answer.job);
    if (received_before(job.done_at, answer) && answer.state != protocol::JobState::done)
        report(answer.received, final_state_left(answer, protocol::JobState::done));
    if (received_before(job.cancelled_at, answer) && answer.state != protocol::JobState::cancelled)
        report(answer.received, final_state_left(answer, protocol::JobState::cancelled));
}
// An answer must not say that a job is queued or running once `cancel_s` has passed since a user received
// confirmation that a dependency of the job is cancelled.
void Checker::check_cancelled_dependencies(const Answer& answer) {
    if (answer.state != protocol::JobState::queued && answer.state != protocol::JobState::running) return;
    auto cancelled_at = observations_.dependency_cancelled_at(answer.job);
    if (cancelled_at && answer.received > *cancelled_at + rules_.cancel_s)
        report(answer.received, "orphaned " + answer.job);
}
void Checker::check_state(const ObservedJob& job, const Answer& answer) {
    bool done = answer.state == protocol::JobState::done;
    bool cancelled = answer.state == protocol::JobState::cancelled;
    if (cancelled && !cancel_wanted(answer.job))
        report(answer.received, "went_back " + answer.job + ": nobody cancelled it");
    if (done && !job.is_done()) report(answer.received, "not_done " + answer.job);
    // A job has one final state, so two different ones are a violation regardless of the order of the
    // requests.
    if ((done && !job.done_at && job.cancelled_at) || (cancelled && !job.cancelled_at && job.done_at))
        report(answer.received, "went_back " + answer.job + ": done and withdrawn");
}
void Checker::record_answer(ObservedJob& job, const Answer& answer) {
    job.answered_at = answer.received;
    if (!job.accepted_at) job.accepted_at = answer.received;
    if (answer.state == protocol::JobState::done && !job.done_at) job.done_at = answer.received;
    if (answer.state == protocol::JobState::cancelled && !job.cancelled_at) {
        job.cancelled_at = answer.received;
        cancelled_.insert(answer.job);
    }
}

}  // namespace coralhitch::verification

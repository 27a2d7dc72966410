#include "api/submission_handler.hpp"

#include <optional>
#include <utility>
#include <variant>

#include "api/responses.hpp"
#include "api/submission_check.hpp"
#include "kv/keys.hpp"
#include "protocol/malformed.hpp"
#include "protocol/records.hpp"
#include "protocol/user_api.hpp"

namespace coralhitch::api {
namespace keys = kv::keys;
using protocol::JobState;

namespace {
constexpr int max_store_attempts = 4;
constexpr const char* too_long = "the job's texts and awaited jobs are too long to be stored";
}  // namespace

SubmissionHandler::SubmissionHandler(event_loop::Timers& timers, kv::KvClient& kv,
                                     const config::Settings& settings, ClusterQueries& cluster,
                                     JobReader& reader, JobStatusResponder& responder)
    : timers_(timers),
      kv_(kv),
      settings_(settings),
      cluster_(cluster),
      reader_(reader),
      responder_(responder),
      admission_(settings) {}

void SubmissionHandler::submit(const std::string& body, http::Reply reply) {
    protocol::Job job;
    try {
        job = protocol::parse_job(body);
    } catch (const protocol::Malformed& error) {
        return responder_.refuse_unless_accepted(protocol::job_id_of(body),
                                                 malformed_submission(error.what()), reply);
    }
    auto& types = cluster_.machine_types();
    if (types.empty()) return responder_.refuse_unless_accepted(job.id, retry_later(), reply);
    auto check = check_submission(job, types, settings_);
    if (check != SubmissionCheck::runnable)
        return responder_.refuse_unless_accepted(job.id, invalid_submission(reason_of(check)), reply);
    normalize_allowed_types(job, types);
    auto submission = std::make_shared<Submission>();
    submission->job = std::move(job);
    submission->reply = std::move(reply);
    if (submission->job.dependencies.empty()) return accept(submission);
    accept_with_dependencies(submission);
}

// Accepts or refuses a job without dependencies.
void SubmissionHandler::accept(const SubmissionPtr& submission) {
    auto& id = submission->job.id;
    if (auto storing = held_replies_.find(id); storing != held_replies_.end())
        return storing->second.push_back(submission->reply);
    bool known = reader_.is_known_accepted(id);
    bool can_admit = admission_.can_admit(submission->job.team, timers_.now());
    if (!known && can_admit && !kv_.short_of_changes()) return admit(submission);
    if (known || can_admit) return accept_if_unknown(submission);
    // Admission has no room for the job, so it is rejected unless it is a repeated submission, which a shared
    // read of the live jobs shows. Reading the final record as well for each rejected submission took most of
    // the reads that queries waited for.
    reader_.live_jobs().read(id, [this, id, submission](const LiveJobs::ReadResult& result) {
        if (!result.ok) return submission->reply(retry_later());
        if (result.live || reader_.cached_final_record(id)) return accept_if_unknown(submission);
        admit(submission);
    });
}

void SubmissionHandler::accept_if_unknown(const SubmissionPtr& submission) {
    auto& id = submission->job.id;
    reader_.read(
        id,
        [this, id, submission](const JobReadResult& result) {
            if (!std::holds_alternative<UnknownJob>(result))
                return responder_.reply_state(id, result, submission->reply);
            if (auto storing = held_replies_.find(id); storing != held_replies_.end())
                return storing->second.push_back(submission->reply);
            admit(submission);
        },
        kv::RequestPriority::submission);
}

// Accepts or refuses a job with dependencies. The job itself is read first, so that a repeated submission is
// answered before its dependencies are checked.
void SubmissionHandler::accept_with_dependencies(const SubmissionPtr& submission) {
    auto& id = submission->job.id;
    auto limit = max_dependencies(kv_.limits().txn_ops());
    if (submission->job.dependencies.size() > limit)
        return responder_.refuse_unless_accepted(
            id, invalid_submission("awaits more than " + std::to_string(limit) + " jobs"), submission->reply);
    reader_.read(
        id,
        [this, id, submission](const JobReadResult& result) {
            if (!std::holds_alternative<UnknownJob>(result))
                return responder_.reply_state(id, result, submission->reply);
            if (admission_.admit(submission->job.team, timers_.now())) return read_dependencies(submission);
            reject_overload(submission);
        },
        kv::RequestPriority::submission);
}

void SubmissionHandler::admit(const SubmissionPtr& submission) {
    if (admission_.admit(submission->job.team, timers_.now())) return store(submission);
    reject_overload(submission);
}

void SubmissionHandler::reject_overload(const SubmissionPtr& submission) {
    submission->reply(too_many_submissions(admission_.retry_after_s(submission->job.team, timers_.now())));
}

// Reads all dependencies of a job. The versions of the live ones become conditions of the transaction that
// stores the job: if one of them is cancelled or ends before that, nothing is stored and all dependencies are
// read again.
void SubmissionHandler::read_dependencies(const SubmissionPtr& submission) {
    submission->outstanding_reads = submission->job.dependencies.size();
    submission->read_failed = submission->cancelled = false;
    submission->unknown_dependency.clear();
    submission->unfinished_dependencies.clear();
    submission->conditions.clear();
    for (auto& dependency : submission->job.dependencies)
        reader_.read(
            dependency,
            [this, submission, dependency](const JobReadResult& result) {
                add_dependency(*submission, dependency, result);
                if (--submission->outstanding_reads == 0) check_dependencies(submission);
            },
            kv::RequestPriority::submission);
}

void SubmissionHandler::add_dependency(Submission& submission, const std::string& id,
                                       const JobReadResult& result) {
    if (std::holds_alternative<ReadFailed>(result)) submission.read_failed = true;
    if (std::holds_alternative<UnknownJob>(result)) submission.unknown_dependency = id;
    if (auto* record = std::get_if<protocol::FinalRecord>(&result))
        submission.cancelled = submission.cancelled || record->state == JobState::cancelled;
    if (auto* live = std::get_if<LiveJob>(&result)) {
        submission.cancelled = submission.cancelled || live->cancelled;
        submission.unfinished_dependencies.push_back(id);
        submission.conditions.push_back({keys::job(id), live->version});
    }
}

void SubmissionHandler::check_dependencies(const SubmissionPtr& submission) {
    if (!submission->unknown_dependency.empty())
        return responder_.refuse_unless_accepted(
            submission->job.id,
            invalid_submission("awaits " + submission->unknown_dependency + ", which was never accepted"),
            submission->reply);
    if (submission->read_failed) return submission->reply(retry_later());
    // One cancelled dependency cancels the job permanently, so the other dependencies need not stay
    // unchanged.
    if (submission->cancelled) submission->conditions.clear();
    store(submission);
}

void SubmissionHandler::store(const SubmissionPtr& submission) {
    auto& id = submission->job.id;
    protocol::JobRecord record{submission->job, timers_.unix_time(), submission->cancelled};
    // Only unfinished dependencies are stored, and none if the job is cancelled.
    record.job.dependencies =
        submission->cancelled ? std::vector<std::string>{} : submission->unfinished_dependencies;
    auto value = protocol::stored(record);
    if (value.size() > kv_.limits().value_bytes())
        return responder_.refuse_unless_accepted(id, invalid_submission(too_long), submission->reply);
    protocol::Txn txn;
    txn.conditions = submission->conditions;
    txn.conditions.push_back({keys::job(id), 0});
    txn.conditions.push_back({keys::final(id), 0});
    txn.changes = {{keys::job(id), std::move(value), 0}};
    hold_repeated_submissions(*submission);
    kv_.txn(std::move(txn), kv::RequestPriority::submission,
            [this, submission](const kv::TxnResult& result) { handle_store_result(submission, result); });
}

// Holds the replies to repeated submissions of the job in `held_replies_` until this submission is answered.
// Its answer may be older than a repeated submission, so the job is then read again to answer those.
void SubmissionHandler::hold_repeated_submissions(Submission& submission) {
    auto& id = submission.job.id;
    held_replies_.try_emplace(id);
    // A further attempt to store the job wraps the reply once more. The outermost wrapper takes out all
    // held replies, and the inner ones find none.
    submission.reply = [this, id, reply = std::move(submission.reply)](http::Response response) {
        auto held = held_replies_.extract(id);
        reply(std::move(response));
        if (!held) return;
        for (auto& repeated : held.mapped()) responder_.refuse_unless_accepted(id, retry_later(), repeated);
    };
}

void SubmissionHandler::handle_store_result(const SubmissionPtr& submission, const kv::TxnResult& result) {
    using Status = kv::TxnResult::Status;
    auto& id = submission->job.id;
    auto& team = submission->job.team;
    if (result.status == Status::committed) {
        auto state = submission->cancelled ? JobState::cancelled : JobState::queued;
        return submission->reply(job_status(201, {id, state, {}, {}}));
    }
    if (result.status != Status::unknown) admission_.refund(team, timers_.now());
    if (result.status == Status::refused) return submission->reply(retry_later());
    if (result.status == Status::rejected)
        return responder_.refuse_unless_accepted(id, invalid_submission(too_long), submission->reply);
    bool dependency_changed = result.status == Status::conflict && !result.failed_on(keys::job(id)) &&
                              !result.failed_on(keys::final(id));
    if (dependency_changed && ++submission->store_attempts < max_store_attempts &&
        admission_.admit(team, timers_.now()))
        return read_dependencies(submission);
    // The job exists already, the attempts are used up, or the answer was lost: the job is read again. If it
    // is not found, a transaction whose answer was lost may still be executed, so the user is told to retry.
    responder_.refuse_unless_accepted(id, retry_later(), submission->reply);
}

}  // namespace coralhitch::api

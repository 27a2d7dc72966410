#include "api/job_status_responder.hpp"

#include <utility>
#include <variant>

#include "api/responses.hpp"
#include "protocol/user_api.hpp"

namespace coralhitch::api {
using protocol::JobState;

void JobStatusResponder::query(const std::string& id, const http::Reply& reply) {
    if (!protocol::valid_job_id(id)) return reply(no_such_job());
    reader_.read(id, [this, id, reply](const JobReadResult& result) {
        respond(id, result, TaskCountsField::include, no_such_job(), reply);
    });
}

void JobStatusResponder::reply_state(const std::string& id, const JobReadResult& result,
                                     const http::Reply& reply) {
    respond(id, result, TaskCountsField::omit, no_such_job(), reply);
}

void JobStatusResponder::refuse_unless_accepted(const std::optional<std::string>& id,
                                                const http::Response& refusal, const http::Reply& reply) {
    if (!id) return reply(refusal);
    reader_.read(
        *id,
        [this, id = *id, refusal, reply](const JobReadResult& result) {
            respond(id, result, TaskCountsField::omit, refusal, reply);
        },
        kv::RequestPriority::submission);
}

void JobStatusResponder::respond(const std::string& id, const JobReadResult& result,
                                 TaskCountsField counts_field, const http::Response& if_unknown,
                                 const http::Reply& reply) {
    if (auto* record = std::get_if<protocol::FinalRecord>(&result))
        return respond_final(id, *record, counts_field, reply);
    if (auto* live = std::get_if<LiveJob>(&result)) return respond_live(id, *live, counts_field, reply);
    if (std::holds_alternative<UnknownJob>(result)) return reply(if_unknown);
    reply(retry_later());
}

void JobStatusResponder::respond_final(const std::string& id, const protocol::FinalRecord& record,
                                       TaskCountsField counts_field, const http::Reply& reply) {
    protocol::JobStatus status{id, record.state, {}, {}};
    if (counts_field == TaskCountsField::include) {
        status.done = record.state == JobState::done ? record.tasks : 0;
        status.running = 0;
    }
    reply(job_status(200, status));
}

void JobStatusResponder::respond_live(const std::string& id, const LiveJob& job, TaskCountsField counts_field,
                                      const http::Reply& reply) {
    if (job.cancelled) return reply(cancelled_job(id));
    // The counts may be out of date and are for display only. The job itself was found live by a read of the
    // key-value store for this request.
    cluster_.task_counts(id, [id, counts_field, reply](std::optional<TaskCounts> counts) {
        auto state = counts && counts->running > 0 ? JobState::running : JobState::queued;
        protocol::JobStatus status{id, state, {}, {}};
        if (counts_field == TaskCountsField::include) {
            status.done = counts ? counts->done : 0;
            status.running = counts ? counts->running : 0;
        }
        reply(job_status(200, status));
    });
}

}  // namespace coralhitch::api

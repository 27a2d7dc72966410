#include "api/cancellation_handler.hpp"

#include <spdlog/spdlog.h>

#include <utility>

#include "api/responses.hpp"
#include "kv/keys.hpp"
#include "protocol/malformed.hpp"
#include "protocol/records.hpp"
#include "protocol/user_api.hpp"

namespace coralhitch::api {
namespace keys = kv::keys;

namespace {
// Attempts to read the live record of a job and store it as cancelled. An attempt fails if the record was
// changed in between or if the answer of the key-value store was lost.
constexpr int max_attempts = 4;
}  // namespace

// Requests that arrive while a cancellation of the same job is in progress share its answer. They may,
// because the state of a cancelled or ended job never changes.
void CancellationHandler::cancel(const std::string& id, http::Reply reply) {
    if (!protocol::valid_job_id(id)) return reply(no_such_job());
    if (auto* record = reader_.cached_final_record(id)) return responder_.reply_state(id, *record, reply);
    if (auto* live = reader_.live_jobs().cached(id); live && live->cancelled) return reply(cancelled_job(id));
    auto [waiting, first] = replies_by_job_.try_emplace(id);
    waiting->second.push_back(std::move(reply));
    if (!first) return;
    read_record(
        id, [this, id](const http::Response& response) { answer_all(id, response); }, 0);
}

// Only the first request gets the answer "no such job", since it arrived before the job was read. The job may
// have been accepted between that read and a later request, so later requests are told to retry.
void CancellationHandler::answer_all(const std::string& id, const http::Response& response) {
    auto replies = std::move(replies_by_job_.extract(id).mapped());
    for (std::size_t i = 0; i < replies.size(); ++i)
        replies[i](i > 0 && response.status == 404 ? retry_later() : response);
}

void CancellationHandler::read_record(const std::string& id, const http::Reply& reply, int attempt) {
    if (attempt >= max_attempts) return reply(retry_later());
    // Reads the record from the store, because it is written again as a whole. LiveJobs keeps only parts of
    // it.
    kv_.get(keys::job(id), kv::RequestPriority::cancellation,
            [this, id, reply, attempt](const kv::GetResult& result) {
                if (!result.ok()) return reply(retry_later());
                if (result.entry) return store_cancelled(id, *result.entry, reply, attempt);
                reader_.read_final(id, [this, id, reply](const JobReadResult& ended) {
                    responder_.reply_state(id, ended, reply);
                });
            });
}

void CancellationHandler::store_cancelled(const std::string& id, const protocol::Entry& entry,
                                          const http::Reply& reply, int attempt) {
    protocol::JobRecord record;
    try {
        record = protocol::parse_job_record(entry.value);
    } catch (const protocol::Malformed& error) {
        spdlog::error("component=api event=unreadable_job_record job={} error=\"{}\"", id, error.what());
        return reply(retry_later());
    }
    if (record.cancelled) {
        // A previous attempt of this request may have stored the cancellation although its answer was lost.
        // The leader was not notified in that case.
        if (attempt > 0) cluster_.notify_cancelled(id, entry.version);
        return reply(cancelled_job(id));
    }
    kv_.txn(cancellation_txn(id, entry, std::move(record)), kv::RequestPriority::cancellation,
            [this, id, reply, attempt](const kv::TxnResult& result) {
                using Status = kv::TxnResult::Status;
                if (result.status == Status::committed) {
                    cluster_.notify_cancelled(id, result.revision);
                    return reply(cancelled_job(id));
                }
                if (result.status == Status::refused) return reply(retry_later());
                read_record(id, reply, attempt + 1);
            });
}

protocol::Txn CancellationHandler::cancellation_txn(const std::string& id, const protocol::Entry& entry,
                                                    protocol::JobRecord record) const {
    record.cancelled = true;
    // Controllers of a version without support for dependencies can't read a record that has any.
    record.job.dependencies.clear();
    auto value = protocol::stored(record);
    // A record that was stored when larger values were allowed may exceed the present limit.
    if (value.size() > kv_.limits().value_bytes())
        value = protocol::stored(protocol::compact_cancelled_record(std::move(record)));
    protocol::Txn txn;
    txn.conditions = {{keys::job(id), entry.version}};
    txn.changes = {{keys::job(id), std::move(value), 0}};
    return txn;
}

}  // namespace coralhitch::api

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
constexpr int max_attempts = 4;
}  // namespace

// The state of a cancelled or ended job never changes, so all who ask for the same cancellation meanwhile may
// have the answer.
void CancellationHandler::cancel(const std::string& id, http::Reply reply) {
    if (!protocol::valid_job_id(id)) return reply(no_such_job());
    if (auto* record = reader_.cached_final(id)) return responder_.reply_state(id, *record, reply);
    if (auto* live = reader_.live_jobs().cached(id); live && live->cancelled) return reply(cancelled_job(id));
    auto [waiting, first] = in_progress_.try_emplace(id);
    waiting->second.push_back(std::move(reply));
    if (!first) return;
    read_record(
        id, [this, id](const http::Response& response) { answer_all(id, response); }, 0);
}

// That there is no such job is an answer only to the first, who asked before it was read: the others are to
// repeat their request.
void CancellationHandler::answer_all(const std::string& id, const http::Response& response) {
    auto replies = std::move(in_progress_.extract(id).mapped());
    for (std::size_t i = 0; i < replies.size(); ++i)
        replies[i](i > 0 && response.status == 404 ? retry_later() : response);
}

void CancellationHandler::read_record(const std::string& id, const http::Reply& reply, int attempt) {
    if (attempt >= max_attempts) return reply(retry_later());
    // The copy of the live jobs does not do: the record itself is needed, to be written again.
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
        // Perhaps by the previous attempt, whose answer was lost: then the leader was not notified yet.
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
    record.job.dependencies.clear();  // versions that know no dependencies can't read a record with any
    auto value = protocol::stored(record);
    // The record was stored when larger values were allowed.
    if (value.size() > kv_.limits().value_bytes())
        value = protocol::stored(protocol::compact_cancelled_record(std::move(record)));
    protocol::Txn txn;
    txn.conditions = {{keys::job(id), entry.version}};
    txn.changes = {{keys::job(id), std::move(value), 0}};
    return txn;
}

}  // namespace coralhitch::api

#include "kv/kv_client.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "protocol/malformed.hpp"

namespace coralhitch::kv {
namespace {
using protocol::Malformed;
using Response = std::optional<http::Response>;

constexpr int list_page_size = 500;  // keys

// Returns the status of a read that failed: `response` is absent or holds an error status.
ReadStatus failure_of(const Response& response) {
    if (!response) return ReadStatus::no_response;
    return response->status == 429 ? ReadStatus::refused : ReadStatus::unavailable;
}

GetResult parse_get(const Response& response) try {
    if (response && response->status == 200) return {ReadStatus::ok, protocol::parse_entry(response->body)};
    if (response && response->status == 404) {
        // Throws for a 404 that does not come from the store, such as that of a wrong path: it has no
        // revision.
        protocol::parse_revision(response->body);
        return {ReadStatus::ok, std::nullopt};
    }
    return {failure_of(response), std::nullopt};
} catch (const Malformed&) {
    return {ReadStatus::malformed, std::nullopt};
}

WatchResult parse_watch(const Response& response) try {
    if (response && response->status == 200) return {ReadStatus::ok, protocol::parse_events(response->body)};
    if (response && response->status == 410) return {ReadStatus::compacted, {}};
    return {failure_of(response), {}};
} catch (const Malformed&) {
    return {ReadStatus::malformed, {}};
}

bool uses_lease(const protocol::Txn& transaction) {
    return std::any_of(transaction.changes.begin(), transaction.changes.end(),
                       [](const auto& change) { return change.lease != 0; });
}

TxnResult parse_txn(const protocol::Txn& transaction, const Response& response) try {
    using Status = TxnResult::Status;
    if (!response) return {Status::unknown, 0, {}};
    if (response->status == 200) return {Status::committed, protocol::parse_revision(response->body), {}};
    if (response->status == 409)
        return {Status::conflict, 0, protocol::parse_conflict(response->body).failed};
    // The store also answers 400 to a put under an expired lease. Such a transaction is not too large.
    if (response->status == 400 && !uses_lease(transaction)) return {Status::rejected, 0, {}};
    return {Status::refused, 0, {}};
} catch (const Malformed&) {
    return {TxnResult::Status::unknown, 0, {}};  // the transaction may have been committed
}
}  // namespace

// A list whose pages are still being read.
struct KvClient::ListInProgress {
    std::string prefix;
    RequestPriority priority;
    OnList on_list;
    ListResult result = {};

    [[nodiscard]] std::string last_key() const {
        return result.entries.empty() ? std::string() : result.entries.back().key;
    }
    // Appends one page. Returns true if another page follows.
    bool append(protocol::EntryPage page) {
        if (result.revision == 0) result.revision = page.revision;
        for (auto& entry : page.entries) result.entries.push_back(std::move(entry));
        return page.more && !result.entries.empty();
    }
};

KvClient::KvClient(event_loop::Timers& timers, http::Requester& http, const config::Settings& settings)
    : timers_(timers),
      http_(http),
      settings_(settings),
      budget_(settings),
      queue_(timers, settings, budget_, [this](PendingRequest request) { send(std::move(request)); }),
      limits_(settings) {}

double KvClient::default_timeout_s() const {
    return settings_.heartbeat_interval_s / 2;
}

bool KvClient::answered_within(double seconds) const {
    return latest_was_answered_ && last_answer_at_ && timers_.now() - *last_answer_at_ < seconds;
}

void KvClient::send(PendingRequest request) {
    http_.send(settings_.kv_addr, std::move(request.request), request.timeout_s,
               [this, on_response = std::move(request.on_response)](Response response) {
                   latest_was_answered_ = response && response->status < 500;
                   if (latest_was_answered_) last_answer_at_ = timers_.now();
                   on_response(std::move(response));
               });
}

void KvClient::get(const std::string& key, RequestPriority priority, OnGet on_get) {
    queue_.submit({.priority = priority,
                   .request = {"GET", protocol::paths::kv(key), {}},
                   .timeout_s = default_timeout_s(),
                   .on_response = [on_get = std::move(on_get)](const Response& response) {
                       on_get(parse_get(response));
                   }});
}

void KvClient::list(const std::string& prefix, RequestPriority priority, OnList on_list) {
    list_page(std::make_shared<ListInProgress>(ListInProgress{prefix, priority, std::move(on_list)}));
}

void KvClient::list_page(const std::shared_ptr<ListInProgress>& list) {
    auto target = protocol::paths::kv_list(list->prefix, list->last_key(), list_page_size);
    queue_.submit({.priority = list->priority,
                   .request = {"GET", std::move(target), {}},
                   .timeout_s = default_timeout_s() * 2,
                   .on_response = [this, list](Response response) {
                       if (!response || response->status != 200)
                           return list->on_list({failure_of(response), {}, 0});
                       bool more = false;
                       try {
                           more = list->append(protocol::parse_entries(response->body));
                       } catch (const Malformed&) {
                           return list->on_list({ReadStatus::malformed, {}, 0});
                       }
                       if (more) return list_page(list);
                       list->result.status = ReadStatus::ok;
                       list->on_list(std::move(list->result));
                   }});
}

void KvClient::txn(protocol::Txn transaction, RequestPriority priority, OnTxn on_txn) {
    auto changes = static_cast<double>(transaction.changes.size());
    auto body = protocol::txn_request(transaction);
    queue_.submit({.priority = priority,
                   .request = {"POST", std::string(protocol::paths::txn), std::move(body)},
                   .timeout_s = default_timeout_s(),
                   .changes = changes,
                   .on_response = [this, on_txn = std::move(on_txn),
                                   transaction = std::move(transaction)](Response response) {
                       // The queue also answers 429, for a request that it never sent.
                       if (!response || response->status != 429) count_changes(transaction);
                       auto result = parse_txn(transaction, response);
                       if (result.status == TxnResult::Status::rejected) handle_rejection(transaction);
                       on_txn(std::move(result));
                   }});
}

void KvClient::count_changes(const protocol::Txn& transaction) {
    for (const auto& change : transaction.changes)
        ++changes_by_kind_[change.key.substr(0, change.key.find('/'))];
}

void KvClient::handle_rejection(const protocol::Txn& transaction) {
    ++rejections_;
    limits_.shrink_after_rejection(transaction);
    spdlog::error(
        "component=kv event=txn_rejected changes={} first_key={} max_txn_changes={} max_value_bytes={}",
        transaction.changes.size(), transaction.changes.empty() ? "none" : transaction.changes[0].key,
        limits_.txn_ops(), limits_.value_bytes());
}

void KvClient::watch(const std::string& prefix, std::uint64_t since_revision, double wait_s, OnWatch on_watch,
                     std::optional<double> timeout_s) {
    auto wait_ms = static_cast<std::uint64_t>(wait_s * 1000);
    queue_.submit({.priority = RequestPriority::lease,
                   .request = {"GET", protocol::paths::watch(prefix, since_revision, wait_ms), {}},
                   .timeout_s = wait_s > 0 ? wait_s + default_timeout_s() * 2
                                           : timeout_s.value_or(default_timeout_s() / 2),
                   .on_response = [on_watch = std::move(on_watch)](const Response& response) {
                       on_watch(parse_watch(response));
                   }});
}

void KvClient::create_lease(double ttl_s, OnLease on_lease) {
    auto body = protocol::lease_request(static_cast<std::uint64_t>(ttl_s * 1000));
    queue_.submit(
        {.priority = RequestPriority::lease,
         .request = {"POST", std::string(protocol::paths::leases), std::move(body)},
         .timeout_s = default_timeout_s(),
         .on_response = [on_lease = std::move(on_lease), sent_at = timers_.now()](Response response) {
             LeaseResult result{LeaseResult::Status::failed, 0, sent_at};
             try {
                 if (response && response->status == 200)
                     result = {LeaseResult::Status::ok, protocol::parse_lease(response->body), sent_at};
             } catch (const Malformed&) {
                 // Without its id the lease cannot be used, so the store lets it expire.
             }
             on_lease(result);
         }});
}

void KvClient::renew_lease(std::uint64_t lease_id, double timeout_s, OnLease on_lease) {
    queue_.submit({.priority = RequestPriority::lease,
                   .request = {"POST", protocol::paths::lease_renew(lease_id), {}},
                   .timeout_s = timeout_s,
                   .on_response = [on_lease = std::move(on_lease), lease_id,
                                   sent_at = timers_.now()](Response response) {
                       LeaseResult result{LeaseResult::Status::failed, lease_id, sent_at};
                       if (response && response->status == 200) result.status = LeaseResult::Status::ok;
                       if (response && response->status == 404) result.status = LeaseResult::Status::expired;
                       on_lease(result);
                   }});
}

void KvClient::end_lease(std::uint64_t lease_id, OnLeaseEnded on_ended) {
    queue_.submit({.priority = RequestPriority::lease,
                   .request = {"DELETE", protocol::paths::lease(lease_id), {}},
                   .timeout_s = default_timeout_s(),
                   .on_response = [on_ended = std::move(on_ended)](Response response) {
                       on_ended(response && (response->status < 300 || response->status == 404));
                   }});
}

}  // namespace coralhitch::kv

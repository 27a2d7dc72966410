// Client of the consensus-backed key-value store, the only place where controllers keep state.
//
// All requests of this controller pass through one queue by priority and keep to this controller's share of
// the store's request budget (request_queue.hpp, request_budget.hpp).
//
// Consistency: the store is strongly consistent. A key's version is the store's revision at which it was last
// put, so versions only grow; a condition names the version that a key must have, 0 for "no such key". A
// request without an answer may have been executed, or may be executed later.
//
// Everything runs on the event loop's thread. Each callback is called exactly once, and never from within the
// call that it was given to unless the transport answers at once. The client doesn't guard its callers'
// lifetime: whoever may be gone by the time of the answer wraps its callback in an event_loop::LifetimeGuard.
// No call throws for what the store does; see results.hpp for what can go wrong.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "config/settings.hpp"
#include "event_loop/timers.hpp"
#include "http/message.hpp"
#include "kv/request_budget.hpp"
#include "kv/request_queue.hpp"
#include "kv/results.hpp"
#include "kv/size_limits.hpp"
#include "protocol/kv_api.hpp"

namespace coralhitch::kv {

class KvClient {
  public:
    using OnGet = std::function<void(GetResult)>;
    using OnList = std::function<void(ListResult)>;
    using OnWatch = std::function<void(WatchResult)>;
    using OnTxn = std::function<void(TxnResult)>;
    using OnLease = std::function<void(LeaseResult)>;
    using OnLeaseEnded = std::function<void(bool ended)>;

    // Starts with a follower's share of the budget. The references must outlive the client, and the client
    // its timers and requests.
    KvClient(event_loop::Timers& timers, http::Requester& http, const config::Settings& settings);

    // Reads one key.
    void get(const std::string& key, RequestPriority priority, OnGet on_get);
    // Reads all keys with a prefix, page by page: not a snapshot, see ListResult::revision.
    void list(const std::string& prefix, RequestPriority priority, OnList on_list);
    // Executes a compare-and-swap transaction.
    void txn(protocol::Txn transaction, RequestPriority priority, OnTxn on_txn);

    // Reads the changes to keys with a prefix since a store revision. The store waits up to `wait_s` seconds
    // for the first one; with 0 it answers at once, and the answer proves that nothing else was committed
    // before the request was sent. `timeout_s` is for an answer at once only; a quarter of the report period
    // if absent.
    void watch(const std::string& prefix, std::uint64_t since_revision, double wait_s, OnWatch on_watch,
               std::optional<double> timeout_s = {});

    // Leases: the store deletes a lease's keys when it was not renewed for its time to live, never earlier.
    void create_lease(double ttl_s, OnLease on_lease);
    void renew_lease(std::uint64_t lease_id, double timeout_s, OnLease on_lease);
    // Ends a lease before its time. `ended` is false if the store did not confirm it: it runs out by itself.
    void end_lease(std::uint64_t lease_id, OnLeaseEnded on_ended);

    // Takes the leader's share of the budget, or a follower's.
    void set_leading(bool leading) { budget_.set_leading(leading); }
    // Whether less than half of the changes allowed at once are left: a transaction that would only fail on a
    // condition is then worth a read before.
    [[nodiscard]] bool short_of_changes() { return budget_.short_of_changes(timers_.now()); }
    // How large transactions and values may be now; to be asked for each transaction.
    [[nodiscard]] const SizeLimits& limits() const { return limits_; }

    // Whether the latest answer or failure was an answer, and not longer than that many seconds ago.
    [[nodiscard]] bool answered_within(double seconds) const;

    // For metrics, since the process began.
    [[nodiscard]] const QueueCounts& queue_counts(RequestPriority priority) const {
        return queue_.counts(priority);
    }
    // Changes sent, by kind: the first part of the key.
    [[nodiscard]] const std::map<std::string, double>& changes_by_kind() const { return changes_by_kind_; }
    // Transactions that the store rejected as too large or malformed.
    [[nodiscard]] std::uint64_t rejections() const { return rejections_; }

  private:
    struct ListInProgress;
    void send(PendingRequest request);
    void list_page(std::shared_ptr<ListInProgress> list);
    void count_changes(const protocol::Txn& transaction);
    void handle_rejection(const protocol::Txn& transaction);
    [[nodiscard]] double default_timeout_s() const;

    event_loop::Timers& timers_;
    http::Requester& http_;
    const config::Settings& settings_;
    RequestBudget budget_;
    RequestQueue queue_;
    SizeLimits limits_;
    std::map<std::string, double> changes_by_kind_;
    std::uint64_t rejections_ = 0;
    bool latest_was_answered_ = false;
    std::optional<double> last_answer_at_;  // steady time
};

}  // namespace coralhitch::kv

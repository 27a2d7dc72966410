// Client of the consensus-backed key-value store, the only place where controllers keep durable state.
//
// All requests of this controller pass through one priority queue, which keeps them within this controller's
// share of the store's request budget (request_queue.hpp, request_budget.hpp).
//
// Consistency: the store is strongly consistent. A key's version is the store's revision at which it was last
// put, so versions only grow. A condition names the version that a key must have, where 0 means that the key
// must not exist. A request without an answer may have been executed, or may be executed later.
//
// Everything runs on the event loop's thread. Each callback is called exactly once, and never from within the
// call that it was given to unless the transport answers at once. The client does not guard its callers'
// lifetime: a caller that may be destroyed before the answer wraps its callback in an
// event_loop::LifetimeGuard. Errors of the store are returned as results (results.hpp), never thrown.
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

// Sends reads, transactions and lease requests to the key-value store.
class KvClient {
  public:
    using OnGet = std::function<void(GetResult)>;
    using OnList = std::function<void(ListResult)>;
    using OnWatch = std::function<void(WatchResult)>;
    using OnTxn = std::function<void(TxnResult)>;
    using OnLease = std::function<void(LeaseResult)>;
    using OnLeaseEnded = std::function<void(bool ended)>;

    // Starts with a follower's share of the budget. The referenced objects must outlive the client, and the
    // client must outlive its pending timers and requests.
    KvClient(event_loop::Timers& timers, http::Requester& http, const config::Settings& settings);

    // Reads one key.
    void get(const std::string& key, RequestPriority priority, OnGet on_get);
    // Reads all keys with a prefix, page by page. The result is not a snapshot, see ListResult::revision.
    void list(const std::string& prefix, RequestPriority priority, OnList on_list);
    // Executes a compare-and-swap transaction.
    void txn(protocol::Txn transaction, RequestPriority priority, OnTxn on_txn);

    // Reads the changes to keys with a prefix since a store revision. The store waits up to `wait_s` seconds
    // for the first change. With `wait_s` 0 the store answers at once, and the answer holds every change that
    // was committed before the request was sent. `timeout_s` is used only with `wait_s` 0. Its default is a
    // quarter of the heartbeat period.
    void watch(const std::string& prefix, std::uint64_t since_revision, double wait_s, OnWatch on_watch,
               std::optional<double> timeout_s = {});

    // Creates a lease. The store deletes the lease's keys once it has not been renewed for its time to live,
    // never earlier.
    void create_lease(double ttl_s, OnLease on_lease);
    // Renews a lease for its time to live.
    void renew_lease(std::uint64_t lease_id, double timeout_s, OnLease on_lease);
    // Ends a lease early. `ended` is false if the store did not confirm this: the lease then expires after
    // its time to live.
    void end_lease(std::uint64_t lease_id, OnLeaseEnded on_ended);

    // Sets this controller's share of the budget to the leader's or to a follower's.
    void set_leading(bool leading) { budget_.set_leading(leading); }
    // Returns true if less than half of the burst of changes is left. A caller should then read first to
    // avoid sending a transaction whose condition would fail.
    [[nodiscard]] bool short_of_changes() { return budget_.short_of_changes(timers_.now()); }
    // Returns the current size limits of transactions and values. They may shrink, so they must be read anew
    // for each transaction.
    [[nodiscard]] const SizeLimits& limits() const { return limits_; }

    // Returns true if the request that finished last was answered with a status below 500, less than
    // `seconds` ago.
    [[nodiscard]] bool answered_within(double seconds) const;

    // Returns the counts of requests of one priority since the process started, for metrics.
    [[nodiscard]] const QueueCounts& queue_counts(RequestPriority priority) const {
        return queue_.counts(priority);
    }
    // Returns the number of changes sent, by the first part of their key.
    [[nodiscard]] const std::map<std::string, double>& changes_by_kind() const { return changes_by_kind_; }
    // Returns the number of transactions that the store rejected as too large or malformed.
    [[nodiscard]] std::uint64_t rejections() const { return rejections_; }

  private:
    struct ListInProgress;
    void send(PendingRequest request);
    void list_page(const std::shared_ptr<ListInProgress>& list);
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
    bool latest_was_answered_ = false;      // with a status below 500
    std::optional<double> last_answer_at_;  // steady time
};

}  // namespace coralhitch::kv

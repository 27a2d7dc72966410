// A key-value store in memory that follows the protocol: versions, transactions, watches, leases, limits of
// rate and size. It simulates latency and outages.
#pragma once
#include <map>
#include <random>
#include <string>
#include <vector>

#include "event_loop/lifetime_guard.hpp"
#include "event_loop/timers.hpp"
#include "event_loop/token_bucket.hpp"
#include "http/message.hpp"
#include "protocol/kv_api.hpp"
#include "scale/config/experiment.hpp"
#include "scale/kv/watch_list.hpp"

namespace coralhitch::scale {

// Serves HTTP requests for keys, transactions, leases and watches. Stored data is lost with the object.
class InMemoryKvStore {
  public:
    // Counters since the store was created. `refused` counts answers with status 429 or 503, `conflicts`
    // transactions whose conditions failed, `bytes_in` targets and bodies of requests, `bytes_out` bodies of
    // answers.
    struct Counts {
        std::uint64_t requests = 0, reads = 0, watches = 0, renewals = 0, transactions = 0, conflicts = 0,
                      changes = 0, refused = 0, bytes_in = 0, bytes_out = 0;
    };
    // Counts by key space, the part of a key before the first slash.
    using CountByKeySpace = std::map<std::string, std::uint64_t>;

    // `timers` must outlive this.
    InMemoryKvStore(event_loop::Timers& timers, const KvStoreSettings& settings, std::uint64_t seed);

    // Executes the request now and answers after a randomly drawn latency. A watch is answered when it has
    // events or its hold time ends.
    void handle(const http::Request& request, const http::Reply& reply);
    // Refuses all requests for this many seconds. All leases have their full time to live again after the
    // outage.
    void begin_outage(double seconds);

    [[nodiscard]] const Counts& counts() const { return counts_; }
    [[nodiscard]] const CountByKeySpace& changes_by_key_space() const { return changes_by_key_space_; }
    // Returns the bytes of keys and values.
    [[nodiscard]] CountByKeySpace bytes_by_key_space() const;
    [[nodiscard]] CountByKeySpace keys_by_key_space() const;
    // Returns a key's value, or "" if there is no such key.
    [[nodiscard]] std::string value(const std::string& key) const;

  private:
    struct Item {
        std::string value;
        std::uint64_t version = 0, lease = 0;
    };
    struct Lease {
        double ttl_s = 0, expiry = 0;
        event_loop::TimerId timer = 0;
    };

    [[nodiscard]] bool is_down() const;
    double draw_latency_s();
    void answer(const http::Reply& reply, http::Response response);

    http::Response execute(const http::Request& request);
    http::Response read(const std::string& key) const;
    http::Response list(const std::string& target) const;

    http::Response execute_transaction(const protocol::Txn& transaction, std::size_t bytes);
    [[nodiscard]] bool within_size_limits(const protocol::Txn& transaction, std::size_t bytes) const;
    [[nodiscard]] std::vector<std::string> failed_conditions(const protocol::Txn& transaction) const;
    // Applies one change under the current revision.
    void apply(const protocol::Change& change);

    http::Response handle_lease(const http::Request& request);
    http::Response grant_lease(double ttl_s);
    void schedule_expiry(std::uint64_t lease);
    void expire(std::uint64_t lease);

    void open_watch(const std::string& target, const http::Reply& reply);
    void answer_watches();

    event_loop::Timers& timers_;
    KvStoreSettings settings_;
    std::mt19937_64 random_;
    event_loop::TokenBucket request_budget_, write_budget_;
    std::map<std::string, Item> items_;
    std::map<std::uint64_t, Lease> leases_;
    WatchList watches_;
    std::uint64_t revision_ = 0, next_lease_ = 1;
    double outage_end_ = -1;
    Counts counts_;
    CountByKeySpace changes_by_key_space_;
    event_loop::LifetimeGuard guard_;
};

}  // namespace coralhitch::scale

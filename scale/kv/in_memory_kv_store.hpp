// The key-value store as the protocol describes it, held in memory: versions, transactions, watches, leases,
// limits of rate and size, latency, outages.
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

class InMemoryKvStore {
  public:
    struct Counts {
        std::uint64_t requests = 0, reads = 0, watches = 0, renewals = 0, transactions = 0, conflicts = 0,
                      changes = 0, refused = 0, bytes_in = 0, bytes_out = 0;
    };
    using CountByKeySpace = std::map<std::string, std::uint64_t>;  // by the key's part before the first slash

    // `timers` must outlive this.
    InMemoryKvStore(event_loop::Timers& timers, const KvStoreSettings& settings, std::uint64_t seed);

    // Answers later, after a latency that is drawn.
    void handle(const http::Request& request, const http::Reply& reply);
    // Refuses all requests for so long. Then leases have their full time again.
    void begin_outage(double seconds);

    [[nodiscard]] const Counts& counts() const { return counts_; }
    [[nodiscard]] const CountByKeySpace& changes_by_key_space() const { return changes_by_key_space_; }
    // Of keys and values.
    [[nodiscard]] CountByKeySpace bytes_by_key_space() const;
    [[nodiscard]] CountByKeySpace keys_by_key_space() const;
    // A key's value, or "".
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
    // One change, under the present revision.
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

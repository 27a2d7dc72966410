// The key-value store as the protocol describes it, held in memory: versions, transactions, watches, leases,
// limits.
#pragma once
#include <deque>
#include <list>
#include <map>
#include <random>

#include "event_loop/lifetime_guard.hpp"
#include "event_loop/timers.hpp"
#include "event_loop/token_bucket.hpp"
#include "http/message.hpp"
#include "protocol/kv_api.hpp"
#include "scale/experiment.hpp"

namespace coralhitch::scale {

class StateService {
  public:
    StateService(event_loop::Timers& timers, StateSettings settings, std::uint64_t seed);
    void handle(http::Request request, http::Reply reply);
    void outage(double seconds);

    struct Counts {
        std::uint64_t requests = 0, reads = 0, watches = 0, renewals = 0, txns = 0, conflicts = 0,
                      changes = 0, refused = 0, bytes_in = 0, bytes_out = 0;
    };
    const Counts& counts() const { return counts_; }
    // Bytes of keys and values by the part of the key before the first slash.
    std::map<std::string, std::uint64_t> bytes_by_kind() const;
    std::map<std::string, std::uint64_t> keys_by_kind() const;
    // A key's value, or "".
    std::string value(const std::string& key) const {
        auto it = items_.find(key);
        return it == items_.end() ? "" : it->second.value;
    }
    std::map<std::string, std::uint64_t> changes_by_kind() const { return changes_by_kind_; }

  private:
    struct Item {
        std::string value;
        std::uint64_t version = 0, lease = 0;
    };
    struct Lease {
        double ttl = 0, until = 0;
        event_loop::TimerId timer = 0;
    };
    struct Watch {
        std::string prefix;
        std::uint64_t since = 0;
        double until = 0;
        http::Reply reply;
    };
    bool down() const;
    double latency();
    void answer(const http::Reply& reply, http::Response response);
    http::Response execute(const http::Request& request);
    http::Response list(const std::string& target) const;
    http::Response transaction(const protocol::Txn& txn, std::size_t bytes);
    http::Response lease_call(const http::Request& request);
    void open_watch(const std::string& target, http::Reply reply);
    void changed();
    void apply(const protocol::Change& change);
    void arm(std::uint64_t lease);
    void expire(std::uint64_t lease);
    std::vector<const protocol::Event*> events(const Watch& watch) const;

    event_loop::Timers& timers_;
    StateSettings settings_;
    std::mt19937_64 random_;
    event_loop::TokenBucket requests_, writes_;
    std::map<std::string, Item> items_;
    std::deque<protocol::Event> history_;
    std::map<std::uint64_t, Lease> leases_;
    std::list<Watch> watches_;
    std::uint64_t revision_ = 0, next_lease_ = 1;
    double down_until_ = -1;
    Counts counts_;
    std::map<std::string, std::uint64_t> changes_by_kind_;
    event_loop::LifetimeGuard guard_;
};

}  // namespace coralhitch::scale

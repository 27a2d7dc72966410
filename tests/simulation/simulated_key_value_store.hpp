// The key-value store: it speaks the protocol, and fails as a scenario says.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "event_loop/token_bucket.hpp"
#include "http/message.hpp"
#include "simulation/event_queue.hpp"

namespace coralhitch::simulation {
using nlohmann::json;

struct KeyValueStoreLimits {
    double value_kb = 16;
    std::uint32_t txn_ops = 8;
};

class SimulatedKeyValueStore {
  public:
    struct Options {
        // The limits, and what they fall to without notice, if they do.
        KeyValueStoreLimits limits, reduced_limits;
        double limits_reduced_at = 1e9;
        // Changes a second; beyond them, and a second's worth more, it refuses.
        double write_rps = 80;
    };
    SimulatedKeyValueStore(EventQueue& events, std::mt19937_64& random, Options options)
        : events_(events),
          random_(random),
          options_(options),
          changes_left_(options.write_rps, options.write_rps) {}

    void receive(const std::string& from, const http::Request& request, http::Reply reply);
    // To be called often.
    void expire_leases();

    // Faults
    void start_outage(double for_s) { outage_until_ = now() + for_s; }
    // Each answer takes so much longer, or half as much at the least.
    void slow_down(double for_s, double by_s) {
        slow_until_ = now() + for_s;
        slow_by_s_ = by_s;
    }
    // Transactions take so much longer until they are carried out.
    void slow_writes(double for_s, double by_s) {
        slow_writes_until_ = now() + for_s;
        slow_writes_by_s_ = by_s;
    }
    void refuse(const std::string& client, double for_s) { refused_until_[client] = now() + for_s; }
    // Than the settings announce.
    void reduce_limits_further(KeyValueStoreLimits limits) { options_.reduced_limits = limits; }
    // Watches that wait are never told of this job's record; those of one client not even if they don't.
    void hide_job_from_watches(const std::string& job) { hidden_keys_.insert("job/" + job); }
    void hide_job_from(const std::string& client, const std::string& job) {
        hide_job_from_watches(job);
        hidden_from_client_ = client;
    }
    // Seconds for which a transaction stays without an answer before it is carried out, after newer ones;
    // 0: it is answered at once; less: it is carried out at once, and only its answer is lost. Empty: all are
    // answered at once.
    std::function<double(const json& transaction)> transaction_delay;
    // Writes what no controller has written.
    void tamper_with(const std::string& key, std::optional<std::string> value);

    // Called with each key as a transaction on it is carried out.
    std::function<void(const std::string& key)> on_change;
    // Throws std::out_of_range if there is none.
    std::string record(const std::string& key) const { return items_.at(key).value; }
    std::optional<std::string> stored(const std::string& key) const {
        auto found = items_.find(key);
        return found == items_.end() ? std::nullopt : std::optional(found->second.value);
    }
    std::map<std::string, std::size_t> reads;    // of each key
    std::map<std::string, std::size_t> changes;  // by the first part of the key
    std::size_t changes_refused = 0;             // calls, for too many changes a second

  private:
    struct Item {
        std::string value;
        std::uint64_t version = 0, lease = 0;
    };
    struct Lease {
        double ttl = 0, until = 0;
    };
    struct Watch {
        std::string prefix;
        std::uint64_t since;
        double until;
        http::Reply reply;
        std::string from;
        bool waits;
    };
    struct Change {
        std::uint64_t revision;
        json event;
    };

    double now() const { return events_.now(); }
    bool refuses(const std::string& client) {
        return outage_until_ > now() || refused_until_[client] > now();
    }
    void serve(const std::string& from, const http::Request& request, const http::Reply& reply);
    http::Response read(const std::string& target);
    http::Response list(const std::string& target) const;
    void open_watch(const std::string& from, const std::string& target, const http::Reply& reply);
    void receive_transaction(const json& transaction, const http::Reply& reply);
    void carry_out_later(const json& transaction, double delay_s, const http::Reply& reply);
    http::Response carry_out(const json& transaction);
    std::optional<http::Response> reject(const json& transaction) const;
    void apply(const json& change);
    http::Response grant_lease(const http::Request& request);
    void renew_or_end_lease(const http::Request& request, const http::Reply& reply);
    void drop_items_of(std::uint64_t lease);
    json events_for(const Watch& watch) const;
    void answer_watches();

    EventQueue& events_;
    std::mt19937_64& random_;
    Options options_;
    event_loop::TokenBucket changes_left_;
    std::map<std::string, Item> items_;
    std::vector<Change> history_;
    std::map<std::uint64_t, Lease> leases_;
    std::vector<Watch> watches_;
    std::uint64_t revision_ = 0, next_lease_ = 1;
    double outage_until_ = 0;
    double slow_until_ = 0, slow_by_s_ = 0, slow_writes_until_ = 0, slow_writes_by_s_ = 0;
    std::map<std::string, double> refused_until_;  // by client
    std::set<std::string> hidden_keys_;
    std::string hidden_from_client_;
};

}  // namespace coralhitch::simulation

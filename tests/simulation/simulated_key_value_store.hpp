// A simulated consensus-backed key-value store, which speaks the protocol and has the faults that a scenario
// sets.
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

// Limits of a transaction: size of a value, and number of changes. Larger ones are rejected with 400.
struct KeyValueStoreLimits {
    double value_kb = 16;
    std::uint32_t txn_ops = 8;
};

// Keys with values, leases, watches, and transactions with conditions on versions. Times are simulated
// seconds.
class SimulatedKeyValueStore {
  public:
    struct Options {
        // The reduced limits apply from `limits_reduced_at` without notice.
        KeyValueStoreLimits limits, reduced_limits;
        double limits_reduced_at = 1e9;
        // Changes a second that are accepted on average; a burst may have one second's worth. More get 429.
        double write_rps = 80;
    };
    SimulatedKeyValueStore(EventQueue& events, std::mt19937_64& random, Options options)
        : events_(events),
          random_(random),
          options_(options),
          changes_left_(options.write_rps, options.write_rps) {}

    // Processes a request of the host `from`, late if `slow_down` applies. `reply` is called when there is an
    // answer.
    void receive(const std::string& from, const http::Request& request, http::Reply reply);
    // Removes expired leases with their keys, and answers watches that are due. Must be called periodically.
    void expire_leases();

    // Faults
    void start_outage(double for_s) { outage_until_ = now() + for_s; }
    // Delays the processing of each request by 0.5 to 1 times `by_s` seconds.
    void slow_down(double for_s, double by_s) {
        slow_until_ = now() + for_s;
        slow_by_s_ = by_s;
    }
    // Delays the execution of each transaction by 0.5 to 1 times `by_s` seconds.
    void slow_writes(double for_s, double by_s) {
        slow_writes_until_ = now() + for_s;
        slow_writes_by_s_ = by_s;
    }
    // Answers all requests of one client with 503.
    void refuse(const std::string& client, double for_s) { refused_until_[client] = now() + for_s; }
    // Replaces the reduced limits by other ones, which the controllers' settings do not announce.
    void reduce_limits_further(KeyValueStoreLimits limits) { options_.reduced_limits = limits; }
    // Hides this job's record from watches that wait for changes. `hide_job_from` also hides it from the
    // watches of one client that return at once.
    void hide_job_from_watches(const std::string& job) { hidden_keys_.insert("job/" + job); }
    void hide_job_from(const std::string& client, const std::string& job) {
        hide_job_from_watches(job);
        hidden_from_client_ = client;
    }
    // Returns the delay of a transaction in seconds. Above 0: the transaction is carried out that much later,
    // after newer ones, and its answer is lost. 0: it is carried out and answered without this fault. Below
    // 0: it is carried out at once, and only its answer is lost. Not set: as 0.
    std::function<double(const json& transaction)> transaction_delay;
    // Writes a value that no controller has written, or removes the key if there is none.
    void tamper_with(const std::string& key, std::optional<std::string> value);

    // Called for each change of a transaction, with its key, while the transaction is carried out.
    std::function<void(const std::string& key)> on_change;
    // Returns the value of the key. Throws std::out_of_range if the key does not exist.
    std::string record(const std::string& key) const { return items_.at(key).value; }
    // Returns the value of the key, or nothing if the key does not exist.
    std::optional<std::string> stored(const std::string& key) const {
        auto found = items_.find(key);
        return found == items_.end() ? std::nullopt : std::optional(found->second.value);
    }
    std::map<std::string, std::size_t> reads;    // number of reads, by request target `/kv/KEY`
    std::map<std::string, std::size_t> changes;  // number of changes, by the key up to the first slash
    std::size_t changes_refused = 0;             // transactions refused for too many changes a second

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

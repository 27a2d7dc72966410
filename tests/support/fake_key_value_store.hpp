// A small consensus-backed key-value store in memory, for tests of single classes with FakeTimers.
//
// Speaks the HTTP interface that the client uses: gets, lists in one page, watches that answer at once, and
// compare-and-swap transactions. Has no leases. The simulated cluster has a store of its own
// (simulation/simulated_key_value_store.hpp).
#pragma once
#include <deque>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <vector>

#include "http/message.hpp"
#include "support/fake_timers.hpp"

namespace coralhitch {

class FakeKeyValueStore : public http::Requester {
  public:
    explicit FakeKeyValueStore(FakeTimers& t) : timers_(t) {}
    // Outcome of a transaction. Only `answered` gives an answer before the client's time-out.
    enum class TxnFate {
        answered,
        answer_lost,    // executed at once
        executed_late,  // after the client's time-out
        never_executed
    };
    struct StoredValue {
        nlohmann::json value;
        std::uint64_t version = 0;
    };
    std::deque<TxnFate> txn_fates;          // outcomes of the next transactions; `answered` if empty
    std::map<std::string, StoredValue> kv;  // all keys; a test may change it between requests
    std::uint64_t revision = 4;
    int changes = 0;                                        // number of changes executed
    std::function<double()> latency = [] { return 0.01; };  // from the execution to the answer, seconds
    std::map<std::string, double> read_latency;             // of these keys instead of `latency`, seconds
    std::map<std::string, int> requests;                    // number executed, by kind: kv, list, watch, txn
    // Answers requests to other addresses than the store's, if set.
    std::function<void(const std::string& addr, const http::Request&, double timeout, http::Result)> others;
    std::size_t value_bytes = 16 * 1024, txn_ops = 24;  // limits: what is larger is rejected with 400

    void send(const std::string& addr, http::Request r, double timeout, http::Result result) override {
        if (!addr.empty() && others) return others(addr, r, timeout, std::move(result));
        auto fate = TxnFate::answered;
        if (r.target == "/txn" && !txn_fates.empty()) {
            fate = txn_fates.front();
            txn_fates.pop_front();
        }
        std::optional<http::Response> answer;
        if (fate == TxnFate::answered || fate == TxnFate::answer_lost) answer = execute(r);
        if (fate == TxnFate::executed_late) timers_.after(timeout * 1.4, [this, r] { execute(r); });
        if (fate != TxnFate::answered) answer = std::nullopt;
        timers_.after(answer ? latency_of(r) : timeout, [answer, result] { result(answer); });
    }

  private:
    double latency_of(const http::Request& r) {
        constexpr std::size_t path_size = 4;  // of "/kv/"
        auto slow =
            r.target.starts_with("/kv/") ? read_latency.find(r.target.substr(path_size)) : read_latency.end();
        return slow == read_latency.end() ? latency() : slow->second;
    }
    http::Response watch(const std::string& target) {
        auto prefix = target.substr(target.find("starts=") + 7);
        prefix.erase(std::min(prefix.size(), prefix.find('&')));
        auto since = std::stoull(target.substr(target.find("since=") + 6));
        nlohmann::json events = nlohmann::json::array();
        for (auto& [key, event] : history_)
            if (key.starts_with(prefix) && event["stamp"].get<std::uint64_t>() > since)
                events.push_back(event);
        return {200, nlohmann::json{{"epoch", revision}, {"news", events}}.dump()};
    }
    http::Response list(const std::string& target) {
        auto prefix = target.substr(target.find("starts=") + 7);
        prefix.erase(std::min(prefix.size(), prefix.find('&')));
        nlohmann::json entries = nlohmann::json::array();
        for (auto& [key, stored] : kv)
            if (key.starts_with(prefix))
                entries.push_back({{"path", key}, {"value", stored.value}, {"stamp", stored.version}});
        return {200, nlohmann::json{{"entries", entries}, {"more", false}, {"epoch", revision}}.dump()};
    }
    http::Response execute(const http::Request& r) {
        if (r.target.starts_with("/watch")) return ++requests["watch"], watch(r.target);
        if (r.target.starts_with("/kv?")) return ++requests["list"], list(r.target);
        ++requests[r.target == "/txn" ? "txn" : "kv"];
        if (r.target.starts_with("/kv/")) {
            auto it = kv.find(r.target.substr(4));
            if (it == kv.end()) return {404, nlohmann::json{{"epoch", revision}}.dump()};
            return {200,
                    nlohmann::json{
                        {"path", it->first}, {"value", it->second.value}, {"stamp", it->second.version}}
                        .dump()};
        }
        auto j = nlohmann::json::parse(r.body);
        for (auto& c : j["if"]) {
            auto it = kv.find(c["path"]);
            if ((it == kv.end() ? 0 : it->second.version) != c["stamp"].get<std::uint64_t>())
                return {409, nlohmann::json{{"failed", {c["path"]}}, {"epoch", revision}}.dump()};
        }
        if (j["then"].size() > txn_ops) return {400, "{}"};
        for (auto& c : j["then"])
            if (c.contains("put") && c["value"].dump().size() > value_bytes) return {400, "{}"};
        ++revision;
        for (auto& c : j["then"]) {
            ++changes;
            if (c.contains("put"))
                kv[c["put"]] = {c["value"], revision};
            else
                kv.erase(c["drop"].get<std::string>());
            c["stamp"] = revision;
            history_.emplace_back((c.contains("put") ? c["put"] : c["drop"]).get<std::string>(), c);
        }
        return {200, nlohmann::json{{"epoch", revision}}.dump()};
    }
    FakeTimers& timers_;
    std::vector<std::pair<std::string, nlohmann::json>> history_;  // changes, by key
};

}  // namespace coralhitch

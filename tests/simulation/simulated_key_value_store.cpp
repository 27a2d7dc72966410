#include "simulation/simulated_key_value_store.hpp"

#include <algorithm>

namespace coralhitch::simulation {
namespace {

std::string query(const std::string& target, const std::string& name) {
    auto at = target.find(name + "=");
    if (at == std::string::npos) return "";
    at += name.size() + 1;
    return target.substr(at, target.find('&', at) - at);
}
std::string key_of(const json& change) {
    return change.value("put", change.value("drop", std::string()));
}
}  // namespace

void SimulatedKeyValueStore::receive(const std::string& from, const http::Request& request,
                                     http::Reply reply) {
    if (now() >= slow_until_) return serve(from, request, reply);
    double delay_s = std::uniform_real_distribution<double>(0.5, 1)(random_) * slow_by_s_;
    events_.at(now() + delay_s, [this, from, request, reply] { serve(from, request, reply); });
}
void SimulatedKeyValueStore::serve(const std::string& from, const http::Request& request,
                                   const http::Reply& reply) {
    auto& target = request.target;
    if (refuses(from)) return reply({503, "{}"});
    if (target.starts_with("/kv/")) return reply(read(target));
    if (target.starts_with("/kv?")) return reply(list(target));
    if (target.starts_with("/watch")) return open_watch(from, target, reply);
    if (target == "/txn") return receive_transaction(json::parse(request.body), reply);
    if (target == "/holds") return reply(grant_lease(request));
    renew_or_end_lease(request, reply);
}

// --- Reads ------------------------------------------------------------------------------------------------

http::Response SimulatedKeyValueStore::read(const std::string& target) {
    auto key = target.substr(std::string("/kv/").size());
    ++reads[target];
    auto found = items_.find(key);
    if (found == items_.end()) return {404, json{{"epoch", revision_}}.dump()};
    auto& item = found->second;
    json entry{{"path", key}, {"value", json::parse(item.value)}, {"stamp", item.version}};
    if (item.lease) entry["mooring"] = item.lease;
    return {200, entry.dump()};
}
http::Response SimulatedKeyValueStore::list(const std::string& target) const {
    constexpr std::size_t page_size = 3;  // small, so that lists need several requests
    auto prefix = query(target, "starts"), since = query(target, "since");
    json entries = json::array();
    bool more = false;
    for (auto& [key, item] : items_) {
        if (!key.starts_with(prefix) || (!since.empty() && key <= since)) continue;
        if (entries.size() == page_size) {
            more = true;
            break;
        }
        entries.push_back(json{{"path", key}, {"value", json::parse(item.value)}, {"stamp", item.version}});
    }
    return {200, json{{"entries", entries}, {"more", more}, {"epoch", revision_}}.dump()};
}
void SimulatedKeyValueStore::open_watch(const std::string& from, const std::string& target,
                                        const http::Reply& reply) {
    double hold_s = std::stod(query(target, "hold_ms")) / 1000;
    watches_.push_back({.prefix = query(target, "starts"),
                        .since = std::stoull(query(target, "since")),
                        .until = now() + hold_s,
                        .reply = reply,
                        .from = from,
                        .waits = hold_s > 0});
    answer_watches();
}
json SimulatedKeyValueStore::events_for(const Watch& watch) const {
    json events = json::array();
    auto first = std::partition_point(history_.begin(), history_.end(),
                                      [&](auto& change) { return change.revision <= watch.since; });
    for (auto change = first; change != history_.end(); ++change) {
        auto& event = change->event;
        auto key = key_of(event);
        bool hidden = hidden_keys_.contains(key) && (watch.waits || watch.from == hidden_from_client_);
        if (key.starts_with(watch.prefix) && !hidden) events.push_back(event);
    }
    return events;
}
void SimulatedKeyValueStore::answer_watches() {
    auto open = std::move(watches_);
    watches_.clear();
    for (auto& watch : open) {
        bool refused = refuses(watch.from);
        auto events = refused ? json::array() : events_for(watch);
        if (!refused && (!events.empty() || now() >= watch.until))
            watch.reply({200, json{{"epoch", revision_}, {"news", events}}.dump()});
        else
            watches_.push_back(std::move(watch));
    }
}

// --- Transactions -----------------------------------------------------------------------------------------

void SimulatedKeyValueStore::receive_transaction(const json& transaction, const http::Reply& reply) {
    // Counts the changes of transactions whose conditions fail, too.
    auto wanted = static_cast<double>(transaction["then"].size());
    if (!changes_left_.has(now(), wanted)) {
        ++changes_refused;
        return reply({429, "{}"});
    }
    changes_left_.take(now(), wanted);
    double delay_s = transaction_delay ? transaction_delay(transaction) : 0;
    bool answered = delay_s == 0;
    if (answered && now() < slow_writes_until_) {
        delay_s = std::uniform_real_distribution<double>(0.5, 1)(random_) * slow_writes_by_s_;
        return carry_out_later(transaction, delay_s, reply);
    }
    if (delay_s > 0) return carry_out_later(transaction, delay_s, [](http::Response) {});
    auto response = carry_out(transaction);
    if (answered) reply(response);
    answer_watches();
}
void SimulatedKeyValueStore::carry_out_later(const json& transaction, double delay_s,
                                             const http::Reply& reply) {
    events_.at(now() + delay_s, [this, transaction, reply] {
        if (outage_until_ > now()) return reply({503, "{}"});
        reply(carry_out(transaction));
        answer_watches();
    });
}
std::optional<http::Response> SimulatedKeyValueStore::reject(const json& transaction) const {
    auto& limits = now() >= options_.limits_reduced_at ? options_.reduced_limits : options_.limits;
    double max_value_bytes = 1024 * limits.value_kb;
    if (transaction["then"].size() > limits.txn_ops || transaction["if"].size() > 4 * limits.txn_ops)
        return http::Response{400, R"({"error":"too many"})"};
    for (auto& change : transaction["then"])
        if (change.contains("put") && static_cast<double>(change["value"].dump().size()) > max_value_bytes)
            return http::Response{400, R"({"error":"too large"})"};
    return {};
}
http::Response SimulatedKeyValueStore::carry_out(const json& transaction) {
    for (auto& change : transaction["then"])
        if (change.contains("mooring") && !leases_.contains(change["mooring"]))
            return {400, R"({"error":"no such lease"})"};
    json failed = json::array();
    for (auto& condition : transaction["if"]) {
        auto found = items_.find(condition["path"].get<std::string>());
        auto version = found == items_.end() ? 0 : found->second.version;
        if (version != condition["stamp"].get<std::uint64_t>()) failed.push_back(condition["path"]);
    }
    if (!failed.empty()) return {409, json{{"failed", failed}, {"epoch", revision_}}.dump()};
    if (auto rejection = reject(transaction)) return *rejection;
    ++revision_;
    for (auto& change : transaction["then"]) apply(change);
    return {200, json{{"epoch", revision_}}.dump()};
}
void SimulatedKeyValueStore::apply(const json& change) {
    auto key = key_of(change);
    ++changes[key.substr(0, key.find('/'))];
    if (on_change) on_change(key);
    if (change.contains("put")) {
        items_[key] = {change["value"].dump(), revision_, change.value("mooring", std::uint64_t{0})};
        history_.push_back({revision_, {{"put", key}, {"value", change["value"]}, {"stamp", revision_}}});
    } else {
        items_.erase(key);
        history_.push_back({revision_, {{"drop", key}, {"stamp", revision_}}});
    }
}
void SimulatedKeyValueStore::tamper_with(const std::string& key, std::optional<std::string> value) {
    ++revision_;
    json event{{value ? "put" : "drop", key}, {"stamp", revision_}};
    if (value) {
        items_[key] = {*value, revision_, 0};
        event["value"] = json::parse(*value);
    } else {
        items_.erase(key);
    }
    history_.push_back({revision_, event});
    answer_watches();
}

// --- Leases -----------------------------------------------------------------------------------------------

http::Response SimulatedKeyValueStore::grant_lease(const http::Request& request) {
    auto ttl = json::parse(request.body)["ttl_ms"].get<double>() / 1000;
    leases_[next_lease_] = {ttl, now() + ttl};
    return {200, json{{"mooring", next_lease_++}}.dump()};
}
void SimulatedKeyValueStore::renew_or_end_lease(const http::Request& request, const http::Reply& reply) {
    auto id = std::stoull(request.target.substr(std::string("/holds/").size()));
    auto found = leases_.find(id);
    if (found == leases_.end()) return reply({404, "{}"});
    bool ends = request.method == "DELETE";
    found->second.until = ends ? now() : now() + found->second.ttl;
    reply({200, json{{"mooring", id}}.dump()});
    if (ends) expire_leases();
}
void SimulatedKeyValueStore::expire_leases() {
    if (outage_until_ > now()) {
        for (auto& [id, lease] : leases_) lease.until = outage_until_ + lease.ttl;
        return;
    }
    for (auto lease = leases_.begin(); lease != leases_.end();) {
        if (lease->second.until > now()) {
            ++lease;
            continue;
        }
        drop_items_of(lease->first);
        lease = leases_.erase(lease);
    }
    answer_watches();
}
void SimulatedKeyValueStore::drop_items_of(std::uint64_t lease) {
    bool any = false;
    for (auto item = items_.begin(); item != items_.end();) {
        if (item->second.lease != lease) {
            ++item;
            continue;
        }
        if (!std::exchange(any, true)) ++revision_;
        history_.push_back({revision_, {{"drop", item->first}, {"stamp", revision_}}});
        item = items_.erase(item);
    }
}

}  // namespace coralhitch::simulation

// The key-value store.
#include "simulation/simulated_cluster.hpp"

namespace coralhitch::simulation {
namespace {
std::string query(const std::string& target, const std::string& name) {
    auto at = target.find(name + "=");
    if (at == std::string::npos) return "";
    at += name.size() + 1;
    return target.substr(at, target.find('&', at) - at);
}
}  // namespace

json SimulatedCluster::events(const Watch& watch) const {
    json out = json::array();
    for (auto& [revision, event] : history_) {
        auto key = event.value("put", event.value("drop", std::string()));
        bool hidden = hidden_keys_.contains(key) && (watch.waits || watch.from == hidden_from_controller_);
        if (revision > watch.since && key.rfind(watch.prefix, 0) == 0 && !hidden) out.push_back(event);
    }
    return out;
}
void SimulatedCluster::kv_changed() {
    auto open = std::move(watches_);
    watches_.clear();
    for (auto& watch : open) {
        bool out = key_value_store_outage_until_ > now_ || refused_until_[watch.from] > now_;
        auto news = out ? json::array() : events(watch);
        if (!out && (!news.empty() || now_ >= watch.until))
            watch.reply({200, json{{"epoch", revision_}, {"news", news}}.dump()});
        else
            watches_.push_back(std::move(watch));
    }
}
void SimulatedCluster::expire_leases() {
    if (key_value_store_outage_until_ > now_) {
        for (auto& [id, lease] : leases_) lease.until = key_value_store_outage_until_ + lease.ttl;
        return;
    }
    for (auto it = leases_.begin(); it != leases_.end();) {
        if (it->second.until > now_) {
            ++it;
            continue;
        }
        bool any = false;
        for (auto k = kv_.begin(); k != kv_.end();) {
            if (k->second.lease != it->first) {
                ++k;
                continue;
            }
            if (!any) ++revision_;
            any = true;
            history_.push_back({revision_, json{{"drop", k->first}, {"stamp", revision_}}});
            k = kv_.erase(k);
        }
        it = leases_.erase(it);
    }
    kv_changed();
}
http::Response SimulatedCluster::txn(const json& transaction) {
    for (auto& change : transaction["then"])
        if (change.contains("mooring") && !leases_.contains(change["mooring"]))
            return {400, R"({"error":"no such lease"})"};
    json failed = json::array();
    for (auto& condition : transaction["if"]) {
        auto it = kv_.find(condition["path"].get<std::string>());
        if ((it == kv_.end() ? 0 : it->second.version) != condition["stamp"].get<std::uint64_t>())
            failed.push_back(condition["path"]);
    }
    if (!failed.empty()) return {409, json{{"failed", failed}, {"epoch", revision_}}.dump()};
    bool fallen = now_ >= options_.limits_reduced_at;
    std::size_t ops = fallen ? options_.reduced_txn_ops : options_.txn_ops;
    double bytes = 1024 * (fallen ? options_.reduced_value_kb : options_.value_kb);
    if (transaction["then"].size() > ops || transaction["if"].size() > 4 * ops)
        return {400, R"({"error":"too many"})"};
    for (auto& change : transaction["then"])
        if (change.contains("put") && static_cast<double>(change["value"].dump().size()) > bytes)
            return {400, R"({"error":"too large"})"};
    ++revision_;
    for (auto& change : transaction["then"]) {
        std::string key = change.contains("put") ? change["put"] : change["drop"];
        ++changes[key.substr(0, key.find('/'))];
        if (auto job = jobs.find(key.substr(key.find('/') + 1));
            job != jobs.end() && key.starts_with("final/"))
            job->second.stored_at = now_;
        if (change.contains("put")) {
            kv_[change["put"]] = {change["value"].dump(), revision_,
                                  change.value("mooring", std::uint64_t{0})};
            history_.push_back(
                {revision_, json{{"put", change["put"]}, {"value", change["value"]}, {"stamp", revision_}}});
        } else {
            kv_.erase(change["drop"].get<std::string>());
            history_.push_back({revision_, json{{"drop", change["drop"]}, {"stamp", revision_}}});
        }
    }
    return {200, json{{"epoch", revision_}}.dump()};
}
void SimulatedCluster::state(const std::string& from, const http::Request& request, http::Reply reply) {
    if (key_value_store_outage_until_ > now_ || refused_until_[from] > now_) return reply({503, "{}"});
    if (request.target.rfind("/kv/", 0) == 0) {
        auto key = request.target.substr(4);
        ++reads[request.target];
        auto it = kv_.find(key);
        if (it == kv_.end()) return reply({404, json{{"epoch", revision_}}.dump()});
        json entry{{"path", key}, {"value", json::parse(it->second.value)}, {"stamp", it->second.version}};
        if (it->second.lease) entry["mooring"] = it->second.lease;
        return reply({200, entry.dump()});
    }
    if (request.target.rfind("/kv?", 0) == 0) {
        auto prefix = query(request.target, "starts"), since = query(request.target, "since");
        json entries = json::array();
        bool more = false;
        for (auto& [k, v] : kv_) {
            if (k.rfind(prefix, 0) != 0 || (!since.empty() && k <= since)) continue;
            if (entries.size() == 3) {  // small pages, so that lists are continued
                more = true;
                break;
            }
            entries.push_back(json{{"path", k}, {"value", json::parse(v.value)}, {"stamp", v.version}});
        }
        return reply({200, json{{"entries", entries}, {"more", more}, {"epoch", revision_}}.dump()});
    }
    if (request.target.rfind("/watch", 0) == 0) {
        double hold_s = std::stod(query(request.target, "hold_ms")) / 1000;
        watches_.push_back({query(request.target, "starts"), std::stoull(query(request.target, "since")),
                            now_ + hold_s, std::move(reply), from, hold_s > 0});
        return kv_changed();
    }
    if (request.target == "/txn") {
        auto transaction = json::parse(request.body);
        // Transactions with failing conditions count, too.
        auto wanted = static_cast<double>(transaction["then"].size());
        if (!changes_left_.has(now_, wanted)) {
            ++changes_refused;
            return reply({429, "{}"});
        }
        changes_left_.take(now_, wanted);
        double late = transaction_delay ? transaction_delay(transaction) : 0;
        if (late < 0) {
            txn(transaction);
            return kv_changed();
        }
        if (now_ < fast_boots_until_ && late == 0) {
            double by = std::uniform_real_distribution<double>(0.5, 1)(random_) * fast_boots_write_delay_s_;
            return at(now_ + by, [this, transaction, reply] {
                if (key_value_store_outage_until_ > now_) return reply({503, "{}"});
                reply(txn(transaction));
                kv_changed();
            });
        }
        if (late > 0)
            return at(now_ + late, [this, transaction] {
                if (key_value_store_outage_until_ > now_) return;
                txn(transaction);
                kv_changed();
            });
        reply(txn(transaction));
        return kv_changed();
    }
    if (request.target == "/holds") {
        auto ttl = json::parse(request.body)["ttl_ms"].get<double>() / 1000;
        leases_[next_lease_] = {ttl, now_ + ttl};
        return reply({200, json{{"mooring", next_lease_++}}.dump()});
    }
    auto id = std::stoull(request.target.substr(7));
    auto it = leases_.find(id);
    if (it == leases_.end()) return reply({404, "{}"});
    it->second.until = request.method == "DELETE" ? now_ : now_ + it->second.ttl;
    reply({200, json{{"mooring", id}}.dump()});
    if (request.method == "DELETE") expire_leases();
}
void SimulatedCluster::tamper_with_record(const std::string& key, std::optional<std::string> value) {
    ++revision_;
    json change{{value ? "put" : "drop", key}, {"stamp", revision_}};
    if (value) {
        kv_[key] = {*value, revision_, 0};
        change["value"] = json::parse(*value);
    } else {
        kv_.erase(key);
    }
    history_.push_back({revision_, change});
    kv_changed();
}

}  // namespace coralhitch::simulation

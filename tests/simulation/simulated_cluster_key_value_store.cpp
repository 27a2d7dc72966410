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

json SimulatedCluster::events(const Watch& w) const {
    json out = json::array();
    for (auto& [revision, e] : history_) {
        auto key = e.value("put", e.value("drop", std::string()));
        bool hidden = hidden_keys_.contains(key) && (w.waits || w.from == hidden_from_controller_);
        if (revision > w.since && key.rfind(w.prefix, 0) == 0 && !hidden) out.push_back(e);
    }
    return out;
}
void SimulatedCluster::kv_changed() {
    auto open = std::move(watches_);
    watches_.clear();
    for (auto& w : open) {
        bool out = key_value_store_outage_until_ > now_ || refused_until_[w.from] > now_;
        auto news = out ? json::array() : events(w);
        if (!out && (!news.empty() || now_ >= w.until))
            w.reply({200, json{{"epoch", revision_}, {"news", news}}.dump()});
        else
            watches_.push_back(std::move(w));
    }
}
void SimulatedCluster::expire_leases() {
    if (key_value_store_outage_until_ > now_) {
        for (auto& [id, l] : leases_) l.until = key_value_store_outage_until_ + l.ttl;
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
http::Response SimulatedCluster::txn(const json& j) {
    for (auto& c : j["then"])
        if (c.contains("mooring") && !leases_.contains(c["mooring"]))
            return {400, R"({"error":"no such lease"})"};
    json failed = json::array();
    for (auto& c : j["if"]) {
        auto it = kv_.find(c["path"].get<std::string>());
        if ((it == kv_.end() ? 0 : it->second.version) != c["stamp"].get<std::uint64_t>())
            failed.push_back(c["path"]);
    }
    if (!failed.empty()) return {409, json{{"failed", failed}, {"epoch", revision_}}.dump()};
    bool fallen = now_ >= options_.limits_reduced_at;
    std::size_t ops = fallen ? options_.reduced_txn_ops : options_.txn_ops;
    double bytes = 1024 * (fallen ? options_.reduced_value_kb : options_.value_kb);
    if (j["then"].size() > ops || j["if"].size() > 4 * ops) return {400, R"({"error":"too many"})"};
    for (auto& c : j["then"])
        if (c.contains("put") && static_cast<double>(c["value"].dump().size()) > bytes)
            return {400, R"({"error":"too large"})"};
    ++revision_;
    for (auto& c : j["then"]) {
        std::string key = c.contains("put") ? c["put"] : c["drop"];
        ++changes[key.substr(0, key.find('/'))];
        if (auto job = jobs.find(key.substr(key.find('/') + 1));
            job != jobs.end() && key.starts_with("final/"))
            job->second.stored_at = now_;
        if (c.contains("put")) {
            kv_[c["put"]] = {c["value"].dump(), revision_, c.value("mooring", std::uint64_t{0})};
            history_.push_back(
                {revision_, json{{"put", c["put"]}, {"value", c["value"]}, {"stamp", revision_}}});
        } else {
            kv_.erase(c["drop"].get<std::string>());
            history_.push_back({revision_, json{{"drop", c["drop"]}, {"stamp", revision_}}});
        }
    }
    return {200, json{{"epoch", revision_}}.dump()};
}
void SimulatedCluster::state(const std::string& from, const http::Request& r, http::Reply reply) {
    if (key_value_store_outage_until_ > now_ || refused_until_[from] > now_) return reply({503, "{}"});
    if (r.target.rfind("/kv/", 0) == 0) {
        auto key = r.target.substr(4);
        ++reads[r.target];
        auto it = kv_.find(key);
        if (it == kv_.end()) return reply({404, json{{"epoch", revision_}}.dump()});
        json e{{"path", key}, {"value", json::parse(it->second.value)}, {"stamp", it->second.version}};
        if (it->second.lease) e["mooring"] = it->second.lease;
        return reply({200, e.dump()});
    }
    if (r.target.rfind("/kv?", 0) == 0) {
        auto prefix = query(r.target, "starts"), since = query(r.target, "since");
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
    if (r.target.rfind("/watch", 0) == 0) {
        double hold_s = std::stod(query(r.target, "hold_ms")) / 1000;
        watches_.push_back({query(r.target, "starts"), std::stoull(query(r.target, "since")), now_ + hold_s,
                            std::move(reply), from, hold_s > 0});
        return kv_changed();
    }
    if (r.target == "/txn") {
        auto j = json::parse(r.body);
        // Transactions with failing conditions count, too.
        auto wanted = static_cast<double>(j["then"].size());
        if (!changes_left_.has(now_, wanted)) {
            ++changes_refused;
            return reply({429, "{}"});
        }
        changes_left_.take(now_, wanted);
        double late = transaction_delay ? transaction_delay(j) : 0;
        if (late < 0) {
            txn(j);
            return kv_changed();
        }
        if (now_ < fast_boots_until_ && late == 0) {
            double by = std::uniform_real_distribution<double>(0.5, 1)(random_) * fast_boots_write_delay_s_;
            return at(now_ + by, [this, j, reply] {
                if (key_value_store_outage_until_ > now_) return reply({503, "{}"});
                reply(txn(j));
                kv_changed();
            });
        }
        if (late > 0)
            return at(now_ + late, [this, j] {
                if (key_value_store_outage_until_ > now_) return;
                txn(j);
                kv_changed();
            });
        reply(txn(j));
        return kv_changed();
    }
    if (r.target == "/holds") {
        auto ttl = json::parse(r.body)["ttl_ms"].get<double>() / 1000;
        leases_[next_lease_] = {ttl, now_ + ttl};
        return reply({200, json{{"mooring", next_lease_++}}.dump()});
    }
    auto id = std::stoull(r.target.substr(7));
    auto it = leases_.find(id);
    if (it == leases_.end()) return reply({404, "{}"});
    it->second.until = r.method == "DELETE" ? now_ : now_ + it->second.ttl;
    reply({200, json{{"mooring", id}}.dump()});
    if (r.method == "DELETE") expire_leases();
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

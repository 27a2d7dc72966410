#include "scale/cloud.hpp"

#include <algorithm>
#include <cstdio>

#include "protocol/cloud_api.hpp"
#include "protocol/records.hpp"
#include "scale/outside.hpp"

namespace coralhitch::scale {
namespace {
// The protocol's own figures.
constexpr std::size_t most_rented = 50, most_deleted = 100, page = 500;
constexpr double dying_s = 30, burst_s = 2;
}  // namespace

Cloud::Cloud(event_loop::Timers& timers, const Experiment& e, Machines& machines)
    : timers_(timers),
      experiment_(e),
      hollow_(machines),
      random_(e.seed * 7 + 3),
      requests_(e.cloud.rps, e.cloud.rps * burst_s) {}

protocol::MachineType Cloud::type() const {
    protocol::MachineType t;
    t.name = "hollow";
    double n = experiment_.slots();
    t.capacity = {n, 0, n};
    t.cache_gb = experiment_.worker.cache_gb;
    t.fetch_gb_per_s = experiment_.worker.fetch_gb_per_s;
    t.price = 1;
    t.spot_price = 0.9;
    t.boot_s = experiment_.worker.boot_s;
    t.zones = experiment_.zones;
    return t;
}
std::size_t Cloud::alive() const {
    std::size_t n = 0;
    for (auto& [zone, count] : usable_in_zone_) n += count;
    return n;
}

void Cloud::answer(const http::Reply& reply, http::Response response) {
    counts_.bytes_out += response.body.size();
    if (response.status == 429) ++counts_.refused;
    double s = std::exponential_distribution<double>(1)(random_) * experiment_.cloud.latency_ms / 1000;
    timers_.after(s, guard_([reply, response = std::move(response)] { reply(response); }));
}
void Cloud::handle(http::Request request, http::Reply reply) {
    ++counts_.requests;
    counts_.bytes_in += request.target.size() + request.body.size();
    double now = timers_.now();
    if (!requests_.has(now)) return answer(reply, {429, "{}"});
    requests_.take(now);
    try {
        execute(request, reply);
    } catch (const std::exception&) {
        answer(reply, {400, R"({"error":"malformed"})"});
    }
}
void Cloud::execute(const http::Request& r, const http::Reply& reply) {
    if (r.target == protocol::paths::types)
        return answer(reply, {200, protocol::stored_types(std::vector{type()})});
    if (r.target == protocol::paths::hosts_delete) return remove(outside::parse_machines(r.body), reply);
    if (r.target == protocol::paths::hosts && r.method == "POST") return answer(reply, rent(r));
    if (r.target.starts_with(protocol::paths::hosts)) return answer(reply, list(r.target));
    answer(reply, {404, "{}"});
}

http::Response Cloud::rent(const http::Request& r) {
    auto want = outside::parse_rent(r.body);
    auto known = std::find(experiment_.zones.begin(), experiment_.zones.end(), want.zone);
    if (want.type != type().name || known == experiment_.zones.end() || want.count == 0 ||
        want.count > most_rented)
        return {400, R"({"error":"malformed"})"};
    if (auto it = rentals_.find(want.name); it != rentals_.end()) return {200, it->second};
    // Each zone has its share of the workers, rounded up, and all zones together no more than the workers.
    std::size_t share = (experiment_.workers + experiment_.zones.size() - 1) / experiment_.zones.size();
    std::size_t used = usable_in_zone_[want.zone], all = alive();
    bool down = zone_back_[want.zone] > timers_.now();
    if (down || used >= share || all >= experiment_.workers) {
        ++counts_.no_capacity;
        return {503, R"({"error":"no capacity"})"};
    }
    auto n = std::min<std::size_t>({want.count, share - used, experiment_.workers - all});
    std::vector<std::string> names;
    for (std::size_t k = 0; k < n; ++k) {
        create(type(), want.zone, want.spot);
        names.push_back(machines_.rbegin()->first);
    }
    counts_.rented += n;
    return {200, rentals_[want.name] = outside::machines_body(names)};
}
void Cloud::create(const protocol::MachineType& t, const std::string& zone, bool spot) {
    char name[32];
    std::snprintf(name, sizeof name, "vm-%06llu", static_cast<unsigned long long>(next_));
    Machine m;
    m.host = {name, experiment_.worker_addr(next_), t.name, zone, spot, protocol::HostState::booting, 0};
    ++next_;
    m.rack = in_zone_[zone]++ / experiment_.machines_a_rack;
    m.rented_at = timers_.now();
    m.up_at = m.rented_at + t.boot_s * std::uniform_real_distribution<double>(0.6, 1.5)(random_);
    ++usable_in_zone_[zone];
    timers_.after(m.up_at - m.rented_at, guard_([this, id = m.host.id] {
                      auto it = machines_.find(id);
                      if (it != machines_.end() && it->second.usable()) hollow_.up(it->second.host);
                  }));
    machines_[name] = std::move(m);
}
void Cloud::remove(const std::vector<std::string>& ids, const http::Reply& reply) {
    if (ids.size() > most_deleted) return answer(reply, {400, "{}"});
    std::vector<std::string> known;
    for (auto& id : ids) {
        auto it = machines_.find(id);
        if (it == machines_.end() || it->second.gone_at < 1e17) continue;
        if (it->second.usable()) --usable_in_zone_[it->second.host.zone];
        it->second.gone_at = timers_.now();
        known.push_back(id);
        ++counts_.deleted;
    }
    hollow_.remove(known, guard_([this, reply] { answer(reply, {200, "{}"}); }));
}
http::Response Cloud::list(const std::string& target) {
    ++counts_.lists;
    auto since = outside::query(target, "since"), limit_text = outside::query(target, "limit");
    std::size_t limit = limit_text.empty() ? page : std::min<std::size_t>(page, std::stoul(limit_text));
    double lag = experiment_.cloud.list_lag_s * std::uniform_real_distribution<double>(0.5, 1)(random_);
    double t = timers_.now() - lag;
    std::vector<protocol::Host> hosts;
    bool more = false;
    for (auto it = machines_.upper_bound(since); it != machines_.end(); ++it) {
        auto& m = it->second;
        if (m.rented_at > t || m.gone_at <= t) continue;
        if (hosts.size() >= limit) {
            more = true;
            break;
        }
        auto h = m.host;
        h.age_s = t - m.rented_at;
        h.state = t >= m.failed_at + dying_s ? protocol::HostState::failed
                  : t >= m.up_at             ? protocol::HostState::running
                                             : protocol::HostState::booting;
        hosts.push_back(std::move(h));
    }
    return {200, outside::hosts_body(hosts, more)};
}

std::size_t Cloud::fail(const std::vector<std::string>& ids) {
    for (auto& id : ids) {
        auto& m = machines_.at(id);
        m.failed_at = timers_.now();
        --usable_in_zone_[m.host.zone];
    }
    hollow_.silence(ids);
    return ids.size();
}
std::size_t Cloud::fail_zone(const std::string& zone, double back_s) {
    zone_back_[zone] = timers_.now() + back_s;
    std::vector<std::string> ids;
    for (auto& [id, m] : machines_)
        if (m.usable() && m.host.zone == zone) ids.push_back(id);
    return fail(ids);
}
std::size_t Cloud::fail_rack() {
    std::map<std::pair<std::string, std::uint32_t>, std::vector<std::string>> racks;
    for (auto& [id, m] : machines_)
        if (m.usable()) racks[{m.host.zone, m.rack}].push_back(id);
    std::vector<std::string> fullest;
    for (auto& [key, ids] : racks)
        if (ids.size() > fullest.size()) fullest = ids;
    return fail(fullest);
}
std::size_t Cloud::fail_machines(std::size_t n) {
    std::vector<std::string> ids;
    for (auto& [id, m] : machines_)
        if (m.usable()) ids.push_back(id);
    std::shuffle(ids.begin(), ids.end(), random_);
    ids.resize(std::min(n, ids.size()));
    return fail(ids);
}

}  // namespace coralhitch::scale

#include "scale/kv/in_memory_kv_store.hpp"

#include <algorithm>

#include "scale/protocol/kv_messages.hpp"
#include "scale/protocol/query_parameter.hpp"

namespace coralhitch::scale {
namespace {
// The protocol's own limits.
constexpr std::size_t kept_changes = 10000, page_items = 1000, page_bytes = 512 * 1024, txn_bytes = 64 * 1024,
                      key_bytes = 200;
constexpr double longest_hold_s = 60, lease_late_s = 0.1, least_ttl_s = 0.1, most_ttl_s = 600;

std::string kind_of(const std::string& key) {
    return key.substr(0, key.find('/'));
}
bool valid_key(const std::string& key) {
    return !key.empty() && key.size() <= key_bytes && key.find(' ') == std::string::npos;
}
}  // namespace

InMemoryKvStore::InMemoryKvStore(event_loop::Timers& timers, KvStoreSettings settings, std::uint64_t seed)
    : timers_(timers),
      settings_(settings),
      random_(seed),
      requests_(settings.rps, settings.rps),
      writes_(settings.write_rps, settings.write_rps) {}

bool InMemoryKvStore::down() const {
    return timers_.now() < down_until_;
}
double InMemoryKvStore::latency() {
    std::uniform_real_distribution<double> share(0, 1);
    double mean_ms = share(random_) < settings_.slow_share ? settings_.slow_ms : settings_.latency_ms;
    return std::exponential_distribution<double>(1)(random_) * mean_ms / 1000;
}
void InMemoryKvStore::answer(const http::Reply& reply, http::Response response) {
    counts_.bytes_out += response.body.size();
    if (response.status == 429 || response.status == 503) ++counts_.refused;
    timers_.after(latency(), guard_([reply, response = std::move(response)] { reply(response); }));
}

void InMemoryKvStore::handle(http::Request request, http::Reply reply) {
    ++counts_.requests;
    counts_.bytes_in += request.target.size() + request.body.size();
    double now = timers_.now();
    if (down()) return answer(reply, {503, "{}"});
    if (!requests_.has(now)) return answer(reply, {429, "{}"});
    requests_.take(now);
    if (request.target.starts_with("/watch?")) {
        ++counts_.watches;
        return open_watch(request.target, std::move(reply));
    }
    http::Response response{400, R"({"error":"malformed"})"};
    try {
        response = execute(request);
    } catch (const std::exception&) {
        // Answered as malformed.
    }
    answer(reply, std::move(response));
}

http::Response InMemoryKvStore::execute(const http::Request& r) {
    if (r.target.starts_with("/kv/")) {
        ++counts_.reads;
        auto key = r.target.substr(4);
        auto it = items_.find(key);
        if (it == items_.end()) return {404, messages::revision_body(revision_)};
        return {200, messages::entry_body({key, it->second.value, it->second.version, it->second.lease})};
    }
    if (r.target.starts_with("/kv?")) {
        ++counts_.reads;
        return list(r.target);
    }
    if (r.target == protocol::paths::txn) {
        ++counts_.txns;
        return transaction(messages::parse_transaction(r.body), r.body.size());
    }
    if (r.target.starts_with(protocol::paths::leases)) return lease_call(r);
    return {404, "{}"};
}

http::Response InMemoryKvStore::list(const std::string& target) const {
    auto prefix = query_parameter(target, "starts"), since = query_parameter(target, "since");
    auto limit_text = query_parameter(target, "limit");
    std::size_t limit =
        limit_text.empty() ? page_items : std::min<std::size_t>(page_items, std::stoul(limit_text));
    auto it = since.empty() ? items_.lower_bound(prefix) : items_.upper_bound(std::max(since, prefix));
    std::vector<protocol::Entry> entries;
    std::size_t bytes = 0;
    bool more = false;
    for (; it != items_.end() && it->first.starts_with(prefix); ++it) {
        auto size = it->first.size() + it->second.value.size() + 64;
        if (entries.size() >= limit || (!entries.empty() && bytes + size > page_bytes)) {
            more = true;
            break;
        }
        bytes += size;
        entries.push_back({it->first, it->second.value, it->second.version, 0});
    }
    return {200, messages::entries_body(entries, more, revision_)};
}

http::Response InMemoryKvStore::transaction(const protocol::Txn& t, std::size_t bytes) {
    bool fits = bytes <= txn_bytes && t.changes.size() <= settings_.txn_ops &&
                t.conditions.size() <= 4 * settings_.txn_ops;
    for (auto& c : t.changes) {
        fits = fits && valid_key(c.key);
        fits = fits && (!c.value || static_cast<double>(c.value->size()) <= settings_.value_kb * 1024);
    }
    if (!fits) return {400, R"({"error":"too large"})"};
    double now = timers_.now(), n = static_cast<double>(t.changes.size());
    if (n > 0 && !writes_.has(now, n)) return {429, "{}"};
    writes_.take(now, n);
    for (auto& c : t.changes)
        if (c.lease && !leases_.contains(c.lease)) return {400, R"({"error":"no such lease"})"};
    std::vector<std::string> failed;
    for (auto& c : t.conditions) {
        auto it = items_.find(c.key);
        if ((it == items_.end() ? 0 : it->second.version) != c.version) failed.push_back(c.key);
    }
    if (!failed.empty()) {
        ++counts_.conflicts;
        return {409, messages::conflict_body(failed, revision_)};
    }
    if (t.changes.empty()) return {200, messages::revision_body(revision_)};
    ++revision_;
    for (auto& c : t.changes) apply(c);
    changed();
    return {200, messages::revision_body(revision_)};
}
// One change under the present revision.
void InMemoryKvStore::apply(const protocol::Change& c) {
    ++counts_.changes;
    ++changes_by_kind_[kind_of(c.key)];
    if (c.value)
        items_[c.key] = {*c.value, revision_, c.lease};
    else if (items_.erase(c.key) == 0)
        return;  // nothing changed
    history_.push_back({c.key, c.value, revision_});
    while (history_.size() > kept_changes) history_.pop_front();
}

http::Response InMemoryKvStore::lease_call(const http::Request& r) {
    auto base = protocol::paths::leases.size();
    if (r.target.size() == base) {
        double ttl = messages::parse_ttl_s(r.body);
        if (!(ttl >= least_ttl_s && ttl <= most_ttl_s)) return {400, R"({"error":"ttl_ms"})"};
        auto id = next_lease_++;
        leases_[id] = {ttl, timers_.now() + ttl, 0};
        arm(id);
        return {200, messages::lease_body(id)};
    }
    auto id = std::stoull(r.target.substr(base + 1));
    auto it = leases_.find(id);
    if (it == leases_.end()) return {404, "{}"};
    if (r.method == "DELETE") {
        expire(id);
        return {200, "{}"};
    }
    ++counts_.renewals;
    it->second.until = timers_.now() + it->second.ttl;
    return {200, messages::lease_body(id)};
}
// A renewal only moves the time; what fires early looks again.
void InMemoryKvStore::arm(std::uint64_t id) {
    auto& l = leases_.at(id);
    double late = std::uniform_real_distribution<double>(0, lease_late_s)(random_);
    l.timer = timers_.after(l.until - timers_.now() + late, guard_([this, id] {
                                auto it = leases_.find(id);
                                if (it == leases_.end()) return;
                                if (it->second.until > timers_.now()) return arm(id);
                                expire(id);
                            }));
}
void InMemoryKvStore::expire(std::uint64_t id) {
    timers_.cancel(leases_.at(id).timer);
    leases_.erase(id);
    std::vector<std::string> attached;
    for (auto& [key, item] : items_)
        if (item.lease == id) attached.push_back(key);
    if (attached.empty()) return;
    ++revision_;
    for (auto& key : attached) apply({key, std::nullopt, 0});
    changed();
}
void InMemoryKvStore::outage(double seconds) {
    down_until_ = timers_.now() + seconds;
    // All leases get their full time again.
    for (auto& [id, l] : leases_) l.until = down_until_ + l.ttl;
    timers_.after(seconds + 0.001, guard_([this] { changed(); }));
}

void InMemoryKvStore::open_watch(const std::string& target, http::Reply reply) {
    Watch w;
    try {
        w.prefix = query_parameter(target, "starts");
        w.since = std::stoull(query_parameter(target, "since"));
        auto hold = query_parameter(target, "hold_ms");
        w.until = timers_.now() + std::min(longest_hold_s, hold.empty() ? 0 : std::stod(hold) / 1000);
    } catch (const std::exception&) {
        return answer(reply, {400, "{}"});
    }
    if (!history_.empty() && history_.size() == kept_changes && w.since + 1 < history_.front().version)
        return answer(reply, {410, "{}"});
    w.reply = std::move(reply);
    double left = w.until - timers_.now();
    watches_.push_back(std::move(w));
    if (left > 0) timers_.after(left + 0.001, guard_([this] { changed(); }));
    changed();
}
std::vector<const protocol::Event*> InMemoryKvStore::events(const Watch& w) const {
    std::vector<const protocol::Event*> out;
    auto it =
        std::upper_bound(history_.begin(), history_.end(), w.since,
                         [](std::uint64_t since, const protocol::Event& e) { return since < e.version; });
    for (; it != history_.end(); ++it)
        if (it->key.starts_with(w.prefix)) out.push_back(&*it);
    return out;
}
void InMemoryKvStore::changed() {
    if (down()) return;  // open watches stay open through an outage
    double now = timers_.now();
    for (auto it = watches_.begin(); it != watches_.end();) {
        auto news = events(*it);
        if (news.empty() && now < it->until) {
            it->since = revision_;  // so that nothing is looked through twice
            ++it;
            continue;
        }
        answer(it->reply, {200, messages::events_body(news, revision_)});
        it = watches_.erase(it);
    }
}

std::map<std::string, std::uint64_t> InMemoryKvStore::bytes_by_kind() const {
    std::map<std::string, std::uint64_t> out;
    for (auto& [key, item] : items_) out[kind_of(key)] += key.size() + item.value.size();
    return out;
}
std::map<std::string, std::uint64_t> InMemoryKvStore::keys_by_kind() const {
    std::map<std::string, std::uint64_t> out;
    for (auto& [key, item] : items_) ++out[kind_of(key)];
    return out;
}

}  // namespace coralhitch::scale

#include "scale/kv/in_memory_kv_store.hpp"

#include <algorithm>

#include "scale/protocol/kv_messages.hpp"
#include "scale/protocol/query_parameter.hpp"

namespace coralhitch::scale {
namespace {

// These limits are set by the protocol.
constexpr std::size_t largest_page_items = 1000, largest_page_bytes = std::size_t{512} * 1024,
                      largest_transaction_bytes = std::size_t{64} * 1024, longest_key_bytes = 200,
                      conditions_per_change = 4;
constexpr double longest_watch_s = 60, shortest_ttl_s = 0.1, longest_ttl_s = 600;
// Bytes that a list counts for an entry in addition to its key and value.
constexpr std::size_t entry_overhead_bytes = 64;
constexpr double max_expiry_delay_s = 0.1;  // largest delay after which an overdue lease expires
constexpr double timer_margin_s = 0.001;

std::string key_space(const std::string& key) {
    return key.substr(0, key.find('/'));
}
bool is_valid_key(const std::string& key) {
    return !key.empty() && key.size() <= longest_key_bytes && key.find(' ') == std::string::npos;
}

}  // namespace

InMemoryKvStore::InMemoryKvStore(event_loop::Timers& timers, const KvStoreSettings& settings,
                                 std::uint64_t seed)
    : timers_(timers),
      settings_(settings),
      random_(seed),
      request_budget_(settings.rps, settings.rps),
      write_budget_(settings.write_rps, settings.write_rps),
      watches_([this](const http::Reply& reply, http::Response response) {
          answer(reply, std::move(response));
      }) {}

bool InMemoryKvStore::is_down() const {
    return timers_.now() < outage_end_;
}
double InMemoryKvStore::draw_latency_s() {
    std::uniform_real_distribution<double> share(0, 1);
    double mean_ms = share(random_) < settings_.slow_share ? settings_.slow_ms : settings_.latency_ms;
    return std::exponential_distribution<double>(1)(random_) * mean_ms / 1000;
}
void InMemoryKvStore::answer(const http::Reply& reply, http::Response response) {
    counts_.bytes_out += response.body.size();
    if (response.status == 429 || response.status == 503) ++counts_.refused;
    timers_.after(draw_latency_s(), guard_([reply, response = std::move(response)] { reply(response); }));
}

// --- Requests -------------------------------------------------------------------------------------------

void InMemoryKvStore::handle(const http::Request& request, const http::Reply& reply) {
    ++counts_.requests;
    counts_.bytes_in += request.target.size() + request.body.size();
    double now = timers_.now();
    if (is_down()) return answer(reply, {503, "{}"});
    if (!request_budget_.has(now)) return answer(reply, {429, "{}"});
    request_budget_.take(now);
    if (request.target.starts_with("/watch?")) {
        ++counts_.watches;
        return open_watch(request.target, reply);
    }
    http::Response response{400, R"({"error":"malformed"})"};
    try {
        response = execute(request);
    } catch (const std::exception&) {
        // The response stays "malformed".
    }
    answer(reply, std::move(response));
}

http::Response InMemoryKvStore::execute(const http::Request& request) {
    constexpr std::string_view key_path = "/kv/";
    if (request.target.starts_with(key_path)) {
        ++counts_.reads;
        return read(request.target.substr(key_path.size()));
    }
    if (request.target.starts_with("/kv?")) {
        ++counts_.reads;
        return list(request.target);
    }
    if (request.target == protocol::paths::txn) {
        ++counts_.transactions;
        return execute_transaction(messages::parse_transaction(request.body), request.body.size());
    }
    if (request.target.starts_with(protocol::paths::leases)) return handle_lease(request);
    return {404, "{}"};
}

http::Response InMemoryKvStore::read(const std::string& key) const {
    auto it = items_.find(key);
    if (it == items_.end()) return {404, messages::revision_body(revision_)};
    return {200, messages::entry_body({key, it->second.value, it->second.version, it->second.lease})};
}

http::Response InMemoryKvStore::list(const std::string& target) const {
    auto prefix = query_parameter(target, "starts"), since = query_parameter(target, "since");
    auto limit_text = query_parameter(target, "limit");
    std::size_t limit = limit_text.empty()
                            ? largest_page_items
                            : std::min<std::size_t>(largest_page_items, std::stoul(limit_text));
    auto it = since.empty() ? items_.lower_bound(prefix) : items_.upper_bound(std::max(since, prefix));
    std::vector<protocol::Entry> entries;
    std::size_t bytes = 0;
    bool more = false;
    for (; it != items_.end() && it->first.starts_with(prefix); ++it) {
        auto size = it->first.size() + it->second.value.size() + entry_overhead_bytes;
        if (entries.size() >= limit || (!entries.empty() && bytes + size > largest_page_bytes)) {
            more = true;
            break;
        }
        bytes += size;
        entries.push_back({it->first, it->second.value, it->second.version, 0});
    }
    return {200, messages::entries_body(entries, more, revision_)};
}

// --- Transactions ---------------------------------------------------------------------------------------

bool InMemoryKvStore::within_size_limits(const protocol::Txn& transaction, std::size_t bytes) const {
    if (bytes > largest_transaction_bytes || transaction.changes.size() > settings_.txn_ops ||
        transaction.conditions.size() > conditions_per_change * settings_.txn_ops)
        return false;
    return std::all_of(transaction.changes.begin(), transaction.changes.end(), [&](auto& change) {
        bool value_fits =
            !change.value || static_cast<double>(change.value->size()) <= settings_.value_kb * 1024;
        return is_valid_key(change.key) && value_fits;
    });
}

std::vector<std::string> InMemoryKvStore::failed_conditions(const protocol::Txn& transaction) const {
    std::vector<std::string> failed;
    for (auto& condition : transaction.conditions) {
        auto it = items_.find(condition.key);
        auto version = it == items_.end() ? 0 : it->second.version;
        if (version != condition.version) failed.push_back(condition.key);
    }
    return failed;
}

http::Response InMemoryKvStore::execute_transaction(const protocol::Txn& transaction, std::size_t bytes) {
    if (!within_size_limits(transaction, bytes)) return {400, R"({"error":"too large"})"};
    double now = timers_.now(), changes = static_cast<double>(transaction.changes.size());
    if (changes > 0 && !write_budget_.has(now, changes)) return {429, "{}"};
    write_budget_.take(now, changes);
    for (auto& change : transaction.changes)
        if (change.lease && !leases_.contains(change.lease)) return {400, R"({"error":"no such lease"})"};
    auto failed = failed_conditions(transaction);
    if (!failed.empty()) {
        ++counts_.conflicts;
        return {409, messages::conflict_body(failed, revision_)};
    }
    if (transaction.changes.empty()) return {200, messages::revision_body(revision_)};
    ++revision_;
    for (auto& change : transaction.changes) apply(change);
    answer_watches();
    return {200, messages::revision_body(revision_)};
}

void InMemoryKvStore::apply(const protocol::Change& change) {
    ++counts_.changes;
    ++changes_by_key_space_[key_space(change.key)];
    if (change.value)
        items_[change.key] = {*change.value, revision_, change.lease};
    else if (items_.erase(change.key) == 0)
        return;  // nothing changed
    watches_.append({change.key, change.value, revision_});
}

// --- Leases ---------------------------------------------------------------------------------------------

http::Response InMemoryKvStore::handle_lease(const http::Request& request) {
    auto path_size = protocol::paths::leases.size();
    if (request.target.size() == path_size) return grant_lease(messages::parse_ttl_s(request.body));
    auto id = std::stoull(request.target.substr(path_size + 1));
    auto it = leases_.find(id);
    if (it == leases_.end()) return {404, "{}"};
    if (request.method == "DELETE") {
        expire(id);
        return {200, "{}"};
    }
    ++counts_.renewals;
    it->second.expiry = timers_.now() + it->second.ttl_s;
    return {200, messages::lease_body(id)};
}

http::Response InMemoryKvStore::grant_lease(double ttl_s) {
    if (!(ttl_s >= shortest_ttl_s && ttl_s <= longest_ttl_s)) return {400, R"({"error":"ttl_ms"})"};
    auto id = next_lease_++;
    leases_[id] = {ttl_s, timers_.now() + ttl_s, 0};
    schedule_expiry(id);
    return {200, messages::lease_body(id)};
}

// Schedules the lease's expiry. A renewal only postpones the expiry time and leaves the timer as it is. A
// timer that fires before the postponed expiry schedules another one.
void InMemoryKvStore::schedule_expiry(std::uint64_t id) {
    auto& lease = leases_.at(id);
    double late_s = std::uniform_real_distribution<double>(0, max_expiry_delay_s)(random_);
    lease.timer = timers_.after(lease.expiry - timers_.now() + late_s, guard_([this, id] {
                                    auto it = leases_.find(id);
                                    if (it == leases_.end()) return;
                                    if (it->second.expiry > timers_.now()) return schedule_expiry(id);
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
    answer_watches();
}

void InMemoryKvStore::begin_outage(double seconds) {
    outage_end_ = timers_.now() + seconds;
    for (auto& [id, lease] : leases_) lease.expiry = outage_end_ + lease.ttl_s;
    timers_.after(seconds + timer_margin_s, guard_([this] { answer_watches(); }));
}

// --- Watches --------------------------------------------------------------------------------------------

void InMemoryKvStore::open_watch(const std::string& target, const http::Reply& reply) {
    Watch watch;
    try {
        watch.prefix = query_parameter(target, "starts");
        watch.since = std::stoull(query_parameter(target, "since"));
        auto hold = query_parameter(target, "hold_ms");
        watch.deadline = timers_.now() + std::min(longest_watch_s, hold.empty() ? 0 : std::stod(hold) / 1000);
    } catch (const std::exception&) {
        return answer(reply, {400, "{}"});
    }
    if (watches_.has_discarded_since(watch.since)) return answer(reply, {410, "{}"});
    watch.reply = reply;
    double left = watch.deadline - timers_.now();
    watches_.open(std::move(watch));
    if (left > 0) timers_.after(left + timer_margin_s, guard_([this] { answer_watches(); }));
    answer_watches();
}

void InMemoryKvStore::answer_watches() {
    if (is_down()) return;  // open watches stay open through an outage
    watches_.answer_due(timers_.now(), revision_);
}

// --- Statistics -----------------------------------------------------------------------------------------

InMemoryKvStore::CountByKeySpace InMemoryKvStore::bytes_by_key_space() const {
    CountByKeySpace bytes;
    for (auto& [key, item] : items_) bytes[key_space(key)] += key.size() + item.value.size();
    return bytes;
}
InMemoryKvStore::CountByKeySpace InMemoryKvStore::keys_by_key_space() const {
    CountByKeySpace keys;
    for (auto& [key, item] : items_) ++keys[key_space(key)];
    return keys;
}
std::string InMemoryKvStore::value(const std::string& key) const {
    auto it = items_.find(key);
    return it == items_.end() ? "" : it->second.value;
}

}  // namespace coralhitch::scale

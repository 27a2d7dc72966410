#include "machine_registry/machine_registry.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <charconv>
#include <limits>

#include "kv/keys.hpp"

namespace coralhitch::machine_registry {
namespace keys = kv::keys;
using kv::RequestPriority;
using kv::TxnResult;

namespace {
// Of the largest value; the estimate of a record's size below need not be exact. Where values are small, a
// fuller page saves changes, and a page that is refused all the same is split.
constexpr double page_share = 0.6, small_page_share = 0.85;
constexpr double small_value_kb = 4;
constexpr std::size_t record_overhead = 32;
// A transaction holds 64 KiB; conditions and names take some of it.
constexpr std::size_t txn_bytes = 48 * 1024;
// Ratios to the report period: machines that come up together are stored together, machines that are gone
// leave their pages with the next write or after a while.
constexpr double gap_reports = 1.0 / 20, tidy_reports = 1, retry_reports = 1.0 / 10,
                 rejected_reports = 1.0 / 2;

std::optional<std::size_t> page_number(const std::string& key) {
    if (!key.starts_with(keys::machine_pages)) return std::nullopt;
    std::size_t n = 0;
    auto* first = key.data() + keys::machine_pages.size();
    auto* last = key.data() + key.size();
    auto [end, ec] = std::from_chars(first, last, n);
    if (ec != std::errc() || end != last) return std::nullopt;
    return n;
}
std::size_t bytes_of(const std::string& id, const protocol::MachineRecord& r) {
    return id.size() + r.addr.size() + r.type.size() + r.zone.size() + record_overhead;
}
}  // namespace

MachineRegistry::MachineRegistry(event_loop::Timers& timers, kv::KvClient& state,
                                 const config::Settings& settings, Hooks hooks)
    : timers_(timers), state_(state), settings_(settings), hooks_(std::move(hooks)) {}

std::size_t MachineRegistry::page_bytes() const {
    auto value = static_cast<double>(state_.limits().value_bytes());
    return static_cast<std::size_t>(value * (value <= small_value_kb * 1024 ? small_page_share : page_share));
}

std::vector<MachineRegistry::Record> MachineRegistry::load(const kv::ListResult& listed) {
    std::map<std::string, protocol::MachineRecord> all;
    auto take = [&](std::size_t n, const std::string& id, const protocol::MachineRecord& r) {
        auto& p = pages_[n];
        p.ids.insert(id);
        p.bytes += bytes_of(id, r);
        auto [it, fresh] = all.emplace(id, r);
        auto [home, first] = page_of_.emplace(id, n);
        if (fresh) return;
        // Half moved by an earlier leader, or put into a second page by an older version. It stays where it
        // was read first, and the page that it leaves is written after that one.
        if (pages_[home->second].retiring) home->second = n;
        if (it->second.marked_for_deletion != r.marked_for_deletion)
            it->second.marked_for_deletion = pages_[home->second].dirty = true;
        if (home->second == n || p.retiring) return;
        p.ids.erase(id);
        p.stale = true;
    };
    for (auto& e : listed.entries) {
        auto n = page_number(e.key);
        if (!n) continue;
        auto& p = pages_[*n];
        p.version = e.version;
        p.retiring = e.value.size() > state_.limits().value_bytes();
        try {
            for (auto& [id, r] : protocol::parse_machine_page(e.value)) take(*n, id, r);
        } catch (const protocol::Malformed& x) {
            // Of another version, perhaps: left as it is, and taken for full.
            spdlog::error("machine page {}: {}", e.key, x.what());
            p.retiring = false;
            p.bytes = std::numeric_limits<std::size_t>::max() / 2;
        }
    }
    for (auto& e : listed.entries) {
        if (page_number(e.key)) continue;
        old_keys_.insert(e.key);
        try {
            auto id = e.key.substr(keys::machines.size());
            auto r = protocol::parse_machine_record(e.value);
            if (page_of_.contains(id)) continue;
            auto n = page_for(id, bytes_of(id, r));
            take(n, id, r);
            pages_[n].dirty = true;
        } catch (const protocol::Malformed& x) {
            spdlog::error("machine {}: {}", e.key, x.what());
        }
    }
    for (auto& [n, p] : pages_)
        if (p.retiring) p.dirty = p.stale = false;
    return {all.begin(), all.end()};
}

std::size_t MachineRegistry::page_for(const std::string& id, std::size_t bytes) {
    if (auto it = page_of_.find(id); it != page_of_.end()) return it->second;
    std::size_t n = 0;
    for (;; ++n) {
        auto it = pages_.find(n);
        if (it == pages_.end()) return n;
        if (!it->second.retiring && it->second.bytes + bytes <= page_bytes()) return n;
    }
}

// After a refusal pages may hold less than they do.
void MachineRegistry::retire_large() {
    for (auto& [n, p] : pages_)
        if (!p.retiring && p.version > 0 && p.ids.size() > 1 && p.bytes > page_bytes()) {
            p.retiring = true;
            p.dirty = p.stale = false;
        }
    // The machines of one that was never stored just go elsewhere.
    for (auto& [n, p] : pages_) {
        if (p.retiring || p.version > 0 || p.bytes <= page_bytes() || p.ids.size() <= 1) continue;
        auto ids = std::exchange(p.ids, {});
        p.bytes = 0;
        p.dirty = false;
        p.stale = true;
        for (auto& id : ids) page_of_.erase(id);
        for (auto& id : ids) put(id);
        return retire_large();
    }
}
// Puts the machines of pages that retire into others; they are in both until that is confirmed.
void MachineRegistry::move_on() {
    for (auto& [n, p] : pages_) {
        if (!p.retiring) continue;
        std::vector<std::string> ids;
        for (auto& id : p.ids)
            if (auto it = page_of_.find(id); it != page_of_.end() && it->second == n) ids.push_back(id);
        for (auto& id : ids) {
            page_of_.erase(id);
            if (!hooks_.record(id)) continue;  // gone
            unmoved_.insert(id);
            put(id);
        }
        if (!ids.empty()) return move_on();  // `put` may have made new pages
    }
}
bool MachineRegistry::moved(const Page& p) const {
    return std::none_of(p.ids.begin(), p.ids.end(), [&](auto& id) { return unmoved_.contains(id); });
}

void MachineRegistry::put(const std::string& id) {
    auto r = hooks_.record(id);
    if (!r) return;
    auto bytes = bytes_of(id, *r);
    auto n = page_for(id, bytes);
    auto& p = pages_[n];
    if (p.ids.insert(id).second) p.bytes += bytes;
    p.dirty = true;
    page_of_[id] = n;
    later(0);
}
void MachineRegistry::remove(const std::string& id) {
    auto it = page_of_.find(id);
    if (it == page_of_.end()) return;
    unmoved_.erase(id);
    auto& p = pages_[it->second];
    p.ids.erase(id);
    p.bytes -= std::min(p.bytes, record_overhead + id.size());  // counted again when the page is written
    p.stale = true;
    page_of_.erase(it);
}

void MachineRegistry::later(double seconds) {
    if (armed_) return;
    armed_ = true;
    timers_.after(seconds, guarded_([this] {
                      armed_ = false;
                      flush();
                  }));
}
void MachineRegistry::flush() {
    if (busy_) return;
    move_on();
    bool tidy = timers_.now() - last_tidy_ > settings_.report_s * tidy_reports;
    bool due = !old_keys_.empty();
    for (auto& [n, p] : pages_)
        due = due || p.dirty || (tidy && p.stale) || (p.retiring && p.version > 0 && moved(p));
    if (!due) return;
    double wait = last_write_ + settings_.report_s * gap_reports - timers_.now();
    if (last_write_ >= 0 && wait > 0) return later(wait);
    for (auto& [n, p] : pages_)
        if (p.unsure) return read_again(n);
    write();
}

// The answer to a write was lost, or its condition failed: what does the key hold now?
void MachineRegistry::read_again(std::size_t n) {
    busy_ = true;
    state_.get(keys::machine_page(n), RequestPriority::write, guarded_([this, n](kv::GetResult f) {
                   busy_ = false;
                   if (!f.ok()) return later(settings_.report_s * retry_reports);
                   pages_[n].version = f.entry ? f.entry->version : 0;
                   pages_[n].unsure = false;
                   flush();
               }));
}

void MachineRegistry::write() {
    auto t = hooks_.begin();
    if (!t) return;  // the next tick of whoever leads tries again
    std::vector<Written> pages;
    std::vector<Record> records;
    std::size_t bytes = 0;
    bool urgent = false, left_over = false;
    auto most = state_.limits().txn_ops();
    // Pages that hold something new go before those that only hold machines that are gone.
    std::vector<std::size_t> order;
    for (bool first : {true, false})
        for (auto& [n, p] : pages_)
            if (p.retiring ? !first && p.version > 0 && moved(p) : first ? p.dirty : !p.dirty && p.stale)
                order.push_back(n);
    for (auto n : order) {
        auto& p = pages_[n];
        if (pages.size() >= most || bytes + page_bytes() > txn_bytes) {
            left_over = true;
            break;
        }
        protocol::MachinePage page;
        p.bytes = 0;
        // Its machines are in other pages, or gone.
        if (std::exchange(p.retiring, false)) p.ids.clear();
        for (auto& id : p.ids)
            if (auto r = hooks_.record(id)) {
                p.bytes += bytes_of(id, *r);
                page.emplace_back(id, *r);
            }
        bytes += p.bytes;
        urgent = urgent || p.dirty;
        p.dirty = p.stale = false;
        t->conditions.push_back({keys::machine_page(n), p.version});
        if (!page.empty())
            t->changes.push_back({keys::machine_page(n), protocol::stored(page), 0});
        else if (p.version > 0)
            t->changes.push_back({keys::machine_page(n), std::nullopt, 0});
        pages.push_back({n, !page.empty()});
        records.insert(records.end(), page.begin(), page.end());
    }
    if (!left_over)
        for (auto it = old_keys_.begin(); it != old_keys_.end() && t->changes.size() < most;) {
            t->changes.push_back({*it, std::nullopt, 0});
            it = old_keys_.erase(it);
        }
    last_write_ = timers_.now();
    if (!left_over) last_tidy_ = last_write_;
    if (t->changes.empty()) return;
    busy_ = true;
    state_.txn(std::move(*t), urgent ? RequestPriority::write : RequestPriority::background,
               guarded_([this, pages, records](TxnResult c) { written(pages, records, c); }));
}

void MachineRegistry::written(const std::vector<Written>& pages, const std::vector<Record>& records,
                              const TxnResult& c) {
    busy_ = false;
    bool ok = c.status == TxnResult::Status::committed;
    bool rejected = c.status == TxnResult::Status::rejected;
    if (ok)
        for (auto& [id, r] : records) unmoved_.erase(id);
    for (auto [n, held] : pages) {
        auto& p = pages_[n];
        if (ok) {
            p.version = held ? c.revision : 0;  // an empty page was dropped
        } else {
            p.dirty = true;
            p.unsure = !c.not_executed();
        }
    }
    if (ok) hooks_.stored(records);
    if (ok) return flush();
    if (rejected) retire_large();
    later(settings_.report_s * (rejected ? rejected_reports : retry_reports));
}

}  // namespace coralhitch::machine_registry

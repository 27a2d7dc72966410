#include "daemon/machine_store.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <charconv>

#include "state/keys.hpp"

namespace coralhitch::daemon {
namespace keys = state::keys;
using state::Committed;
using state::Rank;

namespace {
// Of the largest value; the estimate of a record's size below need not be exact.
constexpr double page_share = 0.6;
constexpr std::size_t record_overhead = 32;
// A transaction holds 64 KiB; conditions and names take some of it.
constexpr std::size_t txn_bytes = 48 * 1024;
// Ratios to the report period: machines that come up together are stored together, machines that are gone
// leave their pages with the next write or after a while.
constexpr double gap_reports = 1.0 / 20, tidy_reports = 1, retry_reports = 1.0 / 10;

std::optional<std::size_t> page_number(const std::string& key) {
    if (!key.starts_with(keys::machine_pages)) return std::nullopt;
    std::size_t n = 0;
    auto* first = key.data() + keys::machine_pages.size();
    auto* last = key.data() + key.size();
    auto [end, ec] = std::from_chars(first, last, n);
    if (ec != std::errc() || end != last) return std::nullopt;
    return n;
}
std::size_t bytes_of(const std::string& id, const wire::MachineRecord& r) {
    return id.size() + r.addr.size() + r.type.size() + r.zone.size() + record_overhead;
}
}  // namespace

MachineStore::MachineStore(loop::Timers& timers, state::Client& state, const config::Settings& settings,
                           Hooks hooks)
    : timers_(timers),
      state_(state),
      settings_(settings),
      hooks_(std::move(hooks)),
      page_bytes_(static_cast<std::size_t>(settings.value_kb * 1024 * page_share)) {}

std::vector<MachineStore::Record> MachineStore::load(const state::Listed& listed) {
    std::vector<Record> out;
    auto take = [&](std::size_t n, const std::string& id, const wire::MachineRecord& r) {
        pages_[n].ids.insert(id);
        pages_[n].bytes += bytes_of(id, r);
        page_of_[id] = n;
        out.emplace_back(id, r);
    };
    for (auto& e : listed.entries) {
        auto n = page_number(e.key);
        if (!n) continue;
        pages_[*n].version = e.version;
        try {
            for (auto& [id, r] : wire::parse_machine_page(e.value)) take(*n, id, r);
        } catch (const wire::Malformed& x) {
            spdlog::error("machine page {}: {}", e.key, x.what());
        }
    }
    for (auto& e : listed.entries) {
        if (page_number(e.key)) continue;
        old_keys_.insert(e.key);
        try {
            auto id = e.key.substr(keys::machines.size());
            auto r = wire::parse_machine_record(e.value);
            if (page_of_.contains(id)) continue;
            auto n = page_for(id, bytes_of(id, r));
            take(n, id, r);
            pages_[n].dirty = true;
        } catch (const wire::Malformed& x) {
            spdlog::error("machine {}: {}", e.key, x.what());
        }
    }
    return out;
}

std::size_t MachineStore::page_for(const std::string& id, std::size_t bytes) {
    if (auto it = page_of_.find(id); it != page_of_.end()) return it->second;
    std::size_t n = 0;
    for (;; ++n) {
        auto it = pages_.find(n);
        if (it == pages_.end() || it->second.bytes + bytes <= page_bytes_) return n;
    }
}

void MachineStore::put(const std::string& id) {
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
void MachineStore::remove(const std::string& id) {
    auto it = page_of_.find(id);
    if (it == page_of_.end()) return;
    auto& p = pages_[it->second];
    p.ids.erase(id);
    p.bytes -= std::min(p.bytes, record_overhead + id.size());  // counted again when the page is written
    p.stale = true;
    page_of_.erase(it);
}

void MachineStore::later(double seconds) {
    if (armed_) return;
    armed_ = true;
    timers_.after(seconds, guarded([this] {
                      armed_ = false;
                      flush();
                  }));
}
void MachineStore::flush() {
    if (busy_) return;
    bool tidy = timers_.now() - last_tidy_ > settings_.report_s * tidy_reports;
    bool due = !old_keys_.empty();
    for (auto& [n, p] : pages_) due = due || p.dirty || (tidy && p.stale);
    if (!due) return;
    double wait = last_write_ + settings_.report_s * gap_reports - timers_.now();
    if (last_write_ >= 0 && wait > 0) return later(wait);
    for (auto& [n, p] : pages_)
        if (p.unsure) return read_again(n);
    write();
}

// The answer to a write was lost, or its condition failed: what does the key hold now?
void MachineStore::read_again(std::size_t n) {
    busy_ = true;
    state_.get(keys::machine_page(n), Rank::write, guarded([this, n](state::Found f) {
                   busy_ = false;
                   if (!f.ok) return later(settings_.report_s * retry_reports);
                   pages_[n].version = f.entry ? f.entry->version : 0;
                   pages_[n].unsure = false;
                   flush();
               }));
}

void MachineStore::write() {
    auto t = hooks_.begin();
    if (!t) return;  // the next tick of whoever leads tries again
    std::vector<std::size_t> numbers;
    std::vector<Record> records;
    std::size_t bytes = 0;
    bool urgent = false, left_over = false;
    for (auto& [n, p] : pages_) {
        if (!p.dirty && !p.stale) continue;
        if (numbers.size() >= settings_.txn_ops || bytes > txn_bytes - page_bytes_) {
            left_over = true;
            break;
        }
        wire::MachinePage page;
        p.bytes = 0;
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
            t->changes.push_back({keys::machine_page(n), wire::stored(page), 0});
        else if (p.version > 0)
            t->changes.push_back({keys::machine_page(n), std::nullopt, 0});
        numbers.push_back(n);
        records.insert(records.end(), page.begin(), page.end());
    }
    if (!left_over)
        for (auto it = old_keys_.begin(); it != old_keys_.end() && t->changes.size() < settings_.txn_ops;) {
            t->changes.push_back({*it, std::nullopt, 0});
            it = old_keys_.erase(it);
        }
    last_write_ = timers_.now();
    if (!left_over) last_tidy_ = last_write_;
    if (t->changes.empty()) return;
    busy_ = true;
    state_.txn(std::move(*t), urgent ? Rank::write : Rank::background,
               guarded([this, numbers, records](Committed c) { written(numbers, records, c); }));
}

void MachineStore::written(const std::vector<std::size_t>& numbers, const std::vector<Record>& records,
                           const Committed& c) {
    busy_ = false;
    bool ok = c.status == Committed::Status::committed;
    for (auto n : numbers) {
        auto& p = pages_[n];
        if (ok) {
            // An empty page was dropped.
            bool held = std::any_of(records.begin(), records.end(), [&](auto& r) {
                auto it = page_of_.find(r.first);
                return it != page_of_.end() && it->second == n;
            });
            p.version = c.revision;
            p.unsure = !held;
        } else {
            p.dirty = true;
            p.unsure = c.status != Committed::Status::refused;
        }
    }
    if (ok) hooks_.stored(records);
    if (ok)
        flush();
    else
        later(settings_.report_s * retry_reports);
}

}  // namespace coralhitch::daemon

#include "jobs/table.hpp"

#include <algorithm>

namespace coralhitch::jobs {

bool Entry::mark_done(std::uint32_t i) {
    if (i >= done.size() || done[i]) return false;
    done[i] = true;
    ++done_count;
    unstored.insert(i);
    return true;
}
std::size_t Entry::active_open() const {
    return static_cast<std::size_t>(
        std::count_if(active.begin(), active.end(), [&](auto& a) { return !done[a.first]; }));
}
std::vector<std::uint32_t> Entry::waiting(std::size_t most) {
    while (first_open < done.size() && done[first_open]) ++first_open;
    std::vector<std::uint32_t> out;
    auto a = active.lower_bound(first_open);
    for (std::uint32_t i = first_open; i < done.size() && out.size() < most; ++i) {
        while (a != active.end() && a->first < i) ++a;
        if (done[i] || (a != active.end() && a->first == i)) continue;
        out.push_back(i);
    }
    return out;
}

Table::Table(double value_kb)
    : block_(std::max<std::size_t>(64, static_cast<std::size_t>(value_kb * 1024))) {}

Entry* Table::find(const std::string& id) {
    auto it = jobs_.find(id);
    return it == jobs_.end() ? nullptr : &it->second;
}
bool Table::put(const std::string& id, std::uint64_t version, wire::JobRecord record) {
    if (auto o = over_.find(id); o != over_.end() && version <= o->second) return false;
    auto [it, fresh] = jobs_.try_emplace(id);
    auto& e = it->second;
    if (!fresh && version <= e.version) return false;
    e.version = version;
    e.submitted = record.submitted;
    e.cancelled = record.cancelled;
    if (fresh) {
        e.done.resize(record.job.tasks);
        e.spec = std::make_shared<const wire::Job>(std::move(record.job));
    }
    return true;
}
void Table::put_progress(const std::string& id, std::size_t block, const std::vector<bool>& bits) {
    auto* e = find(id);
    if (!e) return;
    e->blocks.insert(block);
    for (std::size_t i = 0; i < bits.size(); ++i) {
        auto task = block * block_ + i;
        if (!bits[i] || task >= e->done.size() || e->done[task]) continue;
        e->done[task] = true;
        ++e->done_count;
    }
}
void Table::erase(const std::string& id, std::uint64_t revision) {
    jobs_.erase(id);
    over_[id] = revision;
}
std::string Table::block_value(const Entry& e, std::size_t block) const {
    auto first = block * block_;
    auto last = std::min(first + block_, e.done.size());
    return wire::stored_bits({e.done.begin() + static_cast<std::ptrdiff_t>(first),
                              e.done.begin() + static_cast<std::ptrdiff_t>(last)});
}

}  // namespace coralhitch::jobs

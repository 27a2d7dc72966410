#include "jobs/job_table.hpp"

#include <algorithm>
#include <charconv>
#include <stdexcept>
#include <utility>

namespace coralhitch::jobs {

bool JobEntry::mark_done(std::uint32_t i) {
    if (i >= done.size() || done[i]) return false;
    done[i] = true;
    ++done_count;
    unstored.insert(i);
    return true;
}
std::size_t JobEntry::active_open() const {
    return static_cast<std::size_t>(
        std::count_if(active.begin(), active.end(), [&](auto& a) { return !done[a.first]; }));
}
std::vector<std::uint32_t> JobEntry::waiting(std::size_t most) {
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

namespace {
constexpr std::string_view fine_prefix = "from-";
constexpr std::size_t bits_overhead = 32;  // of a value beside its letters
}  // namespace

JobTable::JobTable(double value_kb)
    : block_(std::max<std::size_t>(64, static_cast<std::size_t>(value_kb * 1024))) {}

std::size_t JobTable::fine_block(std::size_t value_bytes) {
    // A power of two, so that the blocks under a lower limit divide those under a higher one.
    std::size_t tasks = 256;
    while (tasks * 2 / 4 + bits_overhead <= value_bytes) tasks *= 2;
    return tasks;
}
std::string JobTable::block_of(const JobEntry& e, std::uint32_t task, std::size_t value_bytes) const {
    if (std::min(block_, e.done.size()) / 4 + bits_overhead <= value_bytes)
        return std::to_string(task / block_);
    auto fine = fine_block(value_bytes);
    return std::string(fine_prefix) + std::to_string(task / fine * fine);
}
JobTable::Range JobTable::range_of(const std::string& block, std::size_t value_bytes) const {
    bool fine = block.starts_with(fine_prefix);
    std::size_t n = 0;
    auto* first = block.data() + (fine ? fine_prefix.size() : 0);
    auto [end, ec] = std::from_chars(first, block.data() + block.size(), n);
    if (ec != std::errc() || end != block.data() + block.size())
        throw std::invalid_argument("unknown progress block '" + block + "'");
    return fine ? Range{n, fine_block(value_bytes)} : Range{n * block_, block_};
}

JobEntry* JobTable::find(const std::string& id) {
    auto it = jobs_.find(id);
    return it == jobs_.end() ? nullptr : &it->second;
}
bool JobTable::knows(const std::string& id, std::uint64_t version) const {
    if (auto o = over_.find(id); o != over_.end() && version <= o->second) return true;
    auto it = jobs_.find(id);
    return it != jobs_.end() && version <= it->second.version;
}
bool JobTable::put(const std::string& id, std::uint64_t version, protocol::JobRecord record) {
    if (knows(id, version)) return false;
    auto [it, fresh] = jobs_.try_emplace(id);
    auto& e = it->second;
    e.version = version;
    // For ever: behind a cancelled job it may be known sooner than its own record says so.
    e.cancelled = e.cancelled || record.cancelled;
    if (auto told = cancelled_.extract(id)) {
        e.cancelled = true;
        e.version = std::max(version, told.mapped());
    }
    if (!fresh) {
        if (e.cancelled) cancel_behind(id);
        return true;
    }
    e.submitted = e.ready = record.submitted;
    e.done.resize(record.job.tasks);
    e.priority = record.job.priority;
    if (record.job.deadline_s) e.due = e.submitted + *record.job.deadline_s;
    e.awaits.insert(record.job.awaits.begin(), record.job.awaits.end());
    e.spec = std::make_shared<const protocol::Job>(std::move(record.job));
    link(id, e);
    return true;
}

// Jobs come in any order when a leader loads: what needs this one may be here already.
void JobTable::link(const std::string& id, JobEntry& e) {
    awaits_.add(id, e.awaits, [&](auto& a) { return jobs_.contains(a); });
    for (auto& a : e.awaits)
        if (auto* before = find(a)) e.cancelled = e.cancelled || before->cancelled;
    for (auto& y : awaits_.right_behind(id)) hurry(y);
    hurry(id);
    if (e.cancelled) cancel_behind(id);
}
// Hands the priority and the time left of a job on to those it needs, as far as that changes anything.
void JobTable::hurry(const std::string& id) {
    std::vector<std::string> todo{id};
    while (!todo.empty()) {
        auto& y = jobs_.at(todo.back());
        todo.pop_back();
        for (auto& a : y.awaits) {
            auto it = jobs_.find(a);
            if (it == jobs_.end()) continue;
            auto& x = it->second;
            double due = y.due - y.spec->estimate_s;
            if (x.priority >= y.priority && x.due <= due) continue;
            x.priority = std::max(x.priority, y.priority);
            x.due = std::min(x.due, due);
            todo.push_back(a);
        }
    }
}
void JobTable::cancel(const std::string& id, std::uint64_t version) {
    if (auto* e = find(id)) {
        e->cancelled = true;
        e->version = std::max(e->version, version);
    } else if (!knows(id, version)) {
        cancelled_[id] = version;
    }
    cancel_behind(id);
}
void JobTable::cancel_behind(const std::string& id) {
    awaits_.each_behind(id, [&](auto& y) { return !std::exchange(jobs_.at(y).cancelled, true); });
}
void JobTable::ended(const std::string& id, protocol::JobState state, std::optional<double> unix_now) {
    if (state == protocol::JobState::cancelled) cancel_behind(id);
    for (auto& y : awaits_.ended(id)) {
        if (state != protocol::JobState::done) continue;
        auto& e = jobs_.at(y);
        e.awaits.erase(id);
        if (unix_now) e.ready = std::max(e.ready, *unix_now);
    }
}

void JobTable::put_progress(const std::string& id, const std::string& block, const std::vector<bool>& bits,
                            std::uint64_t version) {
    auto first = range_of(block, 0).first;
    auto* e = find(id);
    if (!e) return;
    e->blocks[block] = version;
    for (std::size_t i = 0; i < bits.size(); ++i) {
        auto task = first + i;
        if (!bits[i] || task >= e->done.size() || e->done[task]) continue;
        e->done[task] = true;
        ++e->done_count;
    }
}
void JobTable::erase(const std::string& id, std::uint64_t revision) {
    if (auto it = jobs_.find(id); it != jobs_.end()) {
        awaits_.remove(id, it->second.awaits);
        jobs_.erase(it);
    }
    over_[id] = revision;
    awaits_.gone(id);
}
std::string JobTable::block_value(const JobEntry& e, const std::string& block,
                                  std::size_t value_bytes) const {
    auto [first, count] = range_of(block, value_bytes);
    auto last = std::min(first + count, e.done.size());
    return protocol::stored_bits({e.done.begin() + static_cast<std::ptrdiff_t>(first),
                                  e.done.begin() + static_cast<std::ptrdiff_t>(last)});
}

Unstored JobTable::unstored(double now, bool may_drop) {
    Unstored out;
    for (auto& [id, e] : jobs_) {
        // The key of a cancelled job stays until its tasks are proven gone: a later leader must know to stop
        // them. So do those of the jobs behind it go first: what is said about them then follows from live
        // jobs.
        bool over = e.cancelled ? may_drop && e.active.empty() && e.orphans == 0 && !awaits_.awaited(id)
                                : e.all_done();
        if (!over)
            e.over_since = JobEntry::never;
        else
            e.over_since = std::min(e.over_since, now);
        if (e.writing || now < e.retry_at) continue;
        if (over)
            (e.cancelled ? out.cancelled : out.done).push_back(id);
        else if (!e.cancelled && !e.unstored.empty())
            out.progress.push_back(id);
    }
    // By the age of the end, not by name: an end that was refused once keeps its place.
    auto older = [&](auto& a, auto& b) { return jobs_.at(a).over_since < jobs_.at(b).over_since; };
    for (auto* ids : {&out.done, &out.cancelled}) std::stable_sort(ids->begin(), ids->end(), older);
    return out;
}

}  // namespace coralhitch::jobs

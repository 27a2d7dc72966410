#include "jobs/job_entry.hpp"

#include <algorithm>

namespace coralhitch::jobs {

bool JobEntry::restore_done(std::size_t task) {
    if (task >= done.size() || done[task]) return false;
    done[task] = true;
    ++done_count;
    return true;
}

bool JobEntry::mark_done(std::uint32_t task) {
    if (!restore_done(task)) return false;
    unstored_tasks.insert(task);
    return true;
}

std::size_t JobEntry::active_unfinished_count() const {
    return static_cast<std::size_t>(
        std::count_if(active.begin(), active.end(), [&](auto& entry) { return !done[entry.first]; }));
}

std::vector<std::uint32_t> JobEntry::pending_tasks(std::size_t limit) {
    while (first_unfinished_task < done.size() && done[first_unfinished_task]) ++first_unfinished_task;
    std::vector<std::uint32_t> pending;
    auto next_active = active.lower_bound(first_unfinished_task);
    for (std::uint32_t task = first_unfinished_task; task < done.size() && pending.size() < limit; ++task) {
        while (next_active != active.end() && next_active->first < task) ++next_active;
        if (done[task] || (next_active != active.end() && next_active->first == task)) continue;
        pending.push_back(task);
    }
    return pending;
}

// Called for every job of every plan, so the active tasks are counted only if the totals do not decide.
bool JobEntry::has_pending_tasks() const {
    return unfinished_count() > active.size() ||
           (done_count > 0 && unfinished_count() > active_unfinished_count());
}

}  // namespace coralhitch::jobs

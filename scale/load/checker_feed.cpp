#include "scale/load/checker_feed.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace coralhitch::scale {
namespace {
constexpr double cancellation_check_interval_s = 0.5;
}  // namespace

CheckerFeed::CheckerFeed(verification::Rules rules, std::uint32_t worker_processes)
    : checker_(std::move(rules)), worker_processes_(worker_processes) {}

void CheckerFeed::events_complete(std::uint32_t process, double time) {
    complete_until_[process] = time;
    run_complete_steps();
}

void CheckerFeed::run_complete_steps() {
    if (complete_until_.size() < worker_processes_) return;
    double until = std::numeric_limits<double>::max();
    for (auto& [process, time] : complete_until_) until = std::min(until, time);
    while (!steps_.empty() && steps_.begin()->first <= until) {
        auto next = steps_.extract(steps_.begin());
        next.mapped()(checker_, next.key());
    }
    if (until > last_cancellation_check_ + cancellation_check_interval_s) {
        checker_.check_cancelled_jobs(until);
        last_cancellation_check_ = until;
    }
}

}  // namespace coralhitch::scale

#include "event_loop/turn_monitor.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace coralhitch::event_loop {

namespace {
constexpr std::string_view unnamed_work = "other";
}  // namespace

void TurnMonitor::begin_turn(double now) {
    std::lock_guard lock(mutex_);
    turn_begun_at_ = now;
    longest_work_ = {0, {unnamed_work, 0}, 0};
    next_report_s_ = long_turn_s_;
}

std::optional<LongTurn> TurnMonitor::end_turn(double now) {
    std::lock_guard lock(mutex_);
    if (!turn_begun_at_) return std::nullopt;
    LongTurn turn = longest_work_;
    turn.duration_s = now - *turn_begun_at_;
    turn_begun_at_.reset();
    longest_turn_s_ = std::max(longest_turn_s_, turn.duration_s);
    if (turn.duration_s <= long_turn_s_) return std::nullopt;
    ++long_turns_[std::string(turn.work.name)];
    return turn;
}

void TurnMonitor::begin_work(const Work& work, double now) {
    std::lock_guard lock(mutex_);
    current_work_.push_back({work, now});
}

void TurnMonitor::end_work(double now) {
    std::lock_guard lock(mutex_);
    const auto ended = current_work_.back();
    current_work_.pop_back();
    const double work_s = now - ended.begun_at;
    if (work_s > longest_work_.work_s) longest_work_ = {0, ended.work, work_s};
}

std::optional<LongTurn> TurnMonitor::find_unfinished(double now) {
    std::lock_guard lock(mutex_);
    if (!turn_begun_at_) return std::nullopt;
    const double duration_s = now - *turn_begun_at_;
    if (duration_s <= next_report_s_) return std::nullopt;
    next_report_s_ = 2 * duration_s;
    if (current_work_.empty()) return LongTurn{duration_s, {unnamed_work, 0}, duration_s};
    return LongTurn{duration_s, current_work_.back().work, now - current_work_.back().begun_at};
}

double TurnMonitor::longest_turn_s() const {
    std::lock_guard lock(mutex_);
    return longest_turn_s_;
}

std::map<std::string, std::uint64_t> TurnMonitor::long_turns() const {
    std::lock_guard lock(mutex_);
    return long_turns_;
}

TurnWatchdog::TurnWatchdog(const Timers& clock, TurnMonitor& monitor, Report report)
    : clock_(clock), monitor_(monitor), report_(std::move(report)), thread_([this] { run(); }) {}

TurnWatchdog::~TurnWatchdog() {
    {
        std::lock_guard lock(mutex_);
        stopped_ = true;
    }
    wake_.notify_all();
    thread_.join();
}

void TurnWatchdog::run() {
    const std::chrono::duration<double> interval(monitor_.long_turn_s());
    std::unique_lock lock(mutex_);
    while (!wake_.wait_for(lock, interval, [this] { return stopped_; }))
        if (auto turn = monitor_.find_unfinished(clock_.now())) report_(*turn);
}

}  // namespace coralhitch::event_loop

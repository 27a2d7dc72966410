#include "scale/workers/task_runner.hpp"

#include <utility>

#include "protocol/numbers.hpp"

namespace coralhitch::scale {
namespace {

using protocol::ExitCause;
using protocol::JobKind;
using protocol::TaskState;

// Bounds within which fetch rates and run times are drawn, as ratios to their means.
constexpr double min_fetch_rate_ratio = 2.0 / 3, max_fetch_rate_ratio = 4.0 / 3, min_run_time_ratio = 0.5,
                 max_run_time_ratio = 1.5;

}  // namespace

TaskRunner::TaskRunner(WorkerContext& context, Agent& agent, std::string machine)
    : context_(context),
      agent_(agent),
      machine_(std::move(machine)),
      images_(context.experiment().worker.cache_gb) {}

// --- Commands -------------------------------------------------------------------------------------------

bool TaskRunner::has_another_attempt(const protocol::TaskId& task) const {
    for (auto it = tasks_.lower_bound({task, 0}); it != tasks_.end() && it->first.task == task; ++it)
        if (it->second.state != TaskState::exited) return true;
    return false;
}

void TaskRunner::start(const TaskAttempt& attempt) {
    if (tasks_.contains(attempt)) return;
    if (has_another_attempt(attempt.task)) {
        tasks_[attempt] = {TaskState::exited, ExitCause::other_attempt_present, 0, {}};
        return agent_.status_changed();
    }
    tasks_[attempt] = {};
    ++active_tasks_;
    ++context_.counts().tasks_started;
    context_.record(event(WorkerEventKind::task_started, attempt));
    agent_.status_changed();
    context_.find_task_spec(attempt.task.job,
                            guard_([this, attempt](const TaskSpec* spec) { fetch_image(attempt, spec); }));
}

// Ends the task at once, because simulated tasks save no checkpoint.
void TaskRunner::stop(const TaskAttempt& attempt) {
    end(attempt, ExitCause::stopped);
}

void TaskRunner::forget(const TaskAttempt& attempt) {
    auto it = tasks_.find(attempt);
    if (it == tasks_.end() || it->second.state != TaskState::exited) return;
    tasks_.erase(it);
    agent_.status_changed();
}

// --- Task lifecycle -------------------------------------------------------------------------------------

TaskRunner::Task* TaskRunner::find_fetching(const TaskAttempt& attempt) {
    auto* task = find_active(attempt);
    return task && task->state == TaskState::fetching ? task : nullptr;
}
TaskRunner::Task* TaskRunner::find_active(const TaskAttempt& attempt) {
    auto it = tasks_.find(attempt);
    if (halted_ || it == tasks_.end() || it->second.state == TaskState::exited) return nullptr;
    return &it->second;
}

protocol::Resources TaskRunner::free_resources() const {
    double slots = context_.experiment().slots();
    protocol::Resources free{slots, 0, slots};
    for (auto& [attempt, task] : tasks_)
        if (task.state != TaskState::exited) free -= task.request;
    return free;
}

void TaskRunner::fetch_image(const TaskAttempt& attempt, const TaskSpec* spec) {
    auto* task = find_fetching(attempt);
    if (!task) return;
    if (!spec || attempt.task.index >= spec->tasks) return end(attempt, ExitCause::unknown);
    if (!free_resources().fits(spec->request)) return end(attempt, ExitCause::insufficient_resources);
    task->request = spec->request;
    task->timer = context_.loop().after(
        draw_fetch_s(*spec), guard_([this, attempt, spec = *spec] { image_ready(attempt, spec); }));
}

double TaskRunner::draw_fetch_s(const TaskSpec& spec) {
    double now = context_.loop().now();
    if (images_.has(spec.image)) return images_.use(spec.image, now);
    double gb_per_s = context_.experiment().worker.fetch_gb_per_s *
                      draw_uniform(context_.random(), min_fetch_rate_ratio, max_fetch_rate_ratio);
    double fetch_s = spec.image_gb / gb_per_s;
    images_.fetch(spec.image, spec.image_gb, now, fetch_s);
    return fetch_s;
}

void TaskRunner::image_ready(const TaskAttempt& attempt, const TaskSpec& spec) {
    auto* task = find_fetching(attempt);
    if (!task) return;
    task->timer = 0;
    context_.record(event(WorkerEventKind::image_ready, attempt));
    task->state = spec.kind == JobKind::gang ? TaskState::waiting : TaskState::running;
    agent_.status_changed();
    if (spec.kind == JobKind::gang)
        end_after(attempt, context_.experiment().worker.gang_wait_s, ExitCause::gang_incomplete);
    if (spec.kind == JobKind::array)
        end_after(attempt,
                  spec.run_s * draw_uniform(context_.random(), min_run_time_ratio, max_run_time_ratio),
                  ExitCause::done);
}

void TaskRunner::end_after(const TaskAttempt& attempt, double seconds, ExitCause cause) {
    auto& task = tasks_.at(attempt);
    context_.loop().cancel(task.timer);
    task.timer = context_.loop().after(seconds, guard_([this, attempt, cause] { end(attempt, cause); }));
}

void TaskRunner::end(const TaskAttempt& attempt, ExitCause cause, std::optional<double> time) {
    if (!find_active(attempt)) return;
    // A task that would end after the lease's expiry has been killed at the expiry.
    agent_.check_lease();
    auto* task = find_active(attempt);
    if (!task) return;
    context_.loop().cancel(task->timer);
    *task = {TaskState::exited, cause, 0, {}};
    --active_tasks_;
    ++context_.counts().tasks_ended;
    ++context_.counts().ends_by_cause[std::to_string(static_cast<int>(cause))];
    auto ended = event(WorkerEventKind::task_ended, attempt);
    ended.cause = cause;
    if (time) ended.time = *time;
    context_.record(ended);
    agent_.status_changed();
}

void TaskRunner::end_all(double expiry) {
    std::vector<TaskAttempt> attempts;
    for (auto& [attempt, task] : tasks_) attempts.push_back(attempt);
    for (auto& attempt : attempts) end(attempt, ExitCause::stopped, expiry);
    tasks_.clear();
}

void TaskRunner::halt() {
    if (std::exchange(halted_, true)) return;
    for (auto& [attempt, task] : tasks_) context_.loop().cancel(task.timer);
    tasks_.clear();
    active_tasks_ = 0;
}

// --- Gangs ----------------------------------------------------------------------------------------------

std::vector<TaskAttempt> TaskRunner::attempts_of(const std::string& job, std::uint64_t attempt,
                                                 TaskState state) const {
    std::vector<TaskAttempt> found;
    for (auto it = tasks_.lower_bound({{job, 0}, 0}); it != tasks_.end() && it->first.task.job == job; ++it)
        if (it->first.attempt == attempt && it->second.state == state) found.push_back(it->first);
    return found;
}

void TaskRunner::start_gang(const std::string& job, std::uint64_t attempt, double run_s) {
    auto waiting = attempts_of(job, attempt, TaskState::waiting);
    for (auto& member : waiting) {
        tasks_.at(member).state = TaskState::running;
        end_after(member, run_s, ExitCause::done);
    }
    if (!waiting.empty()) agent_.status_changed();
}

void TaskRunner::stop_gang(const std::string& job, std::uint64_t attempt) {
    for (auto& member : attempts_of(job, attempt, TaskState::running))
        end(member, ExitCause::gang_member_lost);
}

// --- Status ---------------------------------------------------------------------------------------------

std::vector<protocol::TaskStatus> TaskRunner::statuses() const {
    std::vector<protocol::TaskStatus> statuses;
    statuses.reserve(tasks_.size());
    for (auto& [attempt, task] : tasks_)
        statuses.push_back(
            {attempt.task, protocol::AttemptNumber{attempt.attempt}, task.state, task.cause, false});
    return statuses;
}

WorkerEvent TaskRunner::event(WorkerEventKind kind, const TaskAttempt& attempt) const {
    WorkerEvent event;
    event.time = context_.loop().now();
    event.kind = kind;
    event.machine = machine_;
    event.task = attempt.task;
    event.attempt = attempt.attempt;
    return event;
}

}  // namespace coralhitch::scale

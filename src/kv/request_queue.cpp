#include "kv/request_queue.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace coralhitch::kv {
namespace {
// Longest wait in the queue.
constexpr double max_wait_heartbeat_periods = 1.0;
// Part of a user's time-out that the user's request may spend in the queue. The rest is left for the answer.
constexpr double user_wait_ratio = 0.5;
constexpr double min_timer_s = 0.005;
}  // namespace

RequestQueue::RequestQueue(event_loop::Timers& timers, const config::Settings& settings,
                           RequestBudget& budget, Send send)
    : timers_(timers), settings_(settings), budget_(budget), send_(std::move(send)) {}

double RequestQueue::max_wait_s(RequestPriority priority) const {
    double general = settings_.heartbeat_interval_s * max_wait_heartbeat_periods;
    if (priority == RequestPriority::cancellation || priority == RequestPriority::submission)
        return std::min(general, submission_timeout_s * user_wait_ratio);
    if (priority == RequestPriority::read) return std::min(general, read_timeout_s * user_wait_ratio);
    return general;
}

// Returns true for a submission behind more changes than can be sent before its deadline. It is refused at
// once. When such submissions stayed in the queue until their deadline, they were refused just when their
// users had timed out and submitted again, so that users kept getting time-outs instead of refusals.
bool RequestQueue::would_miss_deadline(const PendingRequest& request) {
    if (request.priority != RequestPriority::submission) return false;
    double changes_ahead = request.changes;
    for (auto priority : {RequestPriority::cancellation, RequestPriority::submission})
        for (const auto& queued : queues_[static_cast<std::size_t>(priority)])
            changes_ahead += queued.changes;
    return budget_.seconds_for_changes(timers_.now(), changes_ahead) > max_wait_s(request.priority);
}

// Answers from a timer, because the caller of submit() must not be called back from within that call.
void RequestQueue::refuse(PendingRequest request) {
    ++counts_of(request.priority).refused;
    timers_.after(0, [on_response = std::move(request.on_response)] {
        on_response(http::Response{429, "{}"});
    });
}

void RequestQueue::submit(PendingRequest request) {
    request.queued_at = timers_.now();
    request.deadline = request.queued_at + max_wait_s(request.priority);
    if (request.priority == RequestPriority::lease) return take_and_send(std::move(request));
    if (would_miss_deadline(request)) return refuse(std::move(request));
    queues_[static_cast<std::size_t>(request.priority)].push_back(std::move(request));
    send_due();
}

// Sends what the budget allows, highest priority first, and sets a timer for when the next request will fit.
void RequestQueue::send_due() {
    double now = timers_.now();
    std::optional<double> next_s;       // seconds until the first waiting request fits
    bool changes_are_reserved = false;  // for a transaction of a higher priority
    for (auto& queue : queues_) {
        while (!queue.empty()) {
            auto& first = queue.front();
            if (first.deadline < now) {
                auto expired = std::move(first);
                queue.pop_front();
                refuse(std::move(expired));
                continue;
            }
            // A transaction with many changes waits until there is budget for all of them. It would starve if
            // transactions of lower priority took the budget that accumulates in the meantime.
            if (first.changes > 0 && changes_are_reserved) break;
            if (!budget_.has(now, first.cost())) {
                changes_are_reserved = changes_are_reserved || first.changes > 0;
                double wait_s = budget_.wait_s(now, first.cost());
                next_s = next_s ? std::min(*next_s, wait_s) : wait_s;
                break;
            }
            send_first(queue, now);
        }
    }
    if (next_s) schedule_send_due(*next_s);
}

void RequestQueue::send_first(Queue& queue, double now) {
    auto request = std::move(queue.front());
    queue.pop_front();
    double waited_s = now - request.queued_at;
    auto& counts = counts_of(request.priority);
    ++counts.sent;
    counts.waited_s += waited_s;
    counts.longest_wait_s = std::max(counts.longest_wait_s, waited_s);
    take_and_send(std::move(request));
}

void RequestQueue::take_and_send(PendingRequest request) {
    budget_.take(timers_.now(), request.cost());
    send_(std::move(request));
}

void RequestQueue::schedule_send_due(double delay_s) {
    if (timer_armed_) return;
    timer_armed_ = true;
    timers_.after(std::max(delay_s, min_timer_s), [this] {
        timer_armed_ = false;
        send_due();
    });
}

}  // namespace coralhitch::kv

// A priority queue of requests to the key-value store that wait for this controller's request budget.
//
// Every request gets a deadline when it is queued, after which its answer would no longer be of use. A
// request that cannot be sent by its deadline is refused, so the queue cannot grow without bound when the
// store is slow or the load is too high. Runs on the event loop's thread.
#pragma once
#include <array>
#include <cstddef>
#include <deque>
#include <functional>

#include "config/settings.hpp"
#include "event_loop/timers.hpp"
#include "http/message.hpp"
#include "kv/request_budget.hpp"

namespace coralhitch::kv {

// Priorities of requests when the budget is short, the highest first.
enum class RequestPriority {
    lease,         // leases, the leader's key, the in-sync replicas' key, watches: never queued, sent at once
    cancellation,  // users' cancellations
    submission,    // users' submissions
    write,         // the leader's own writes, and reads that these depend on
    read,          // users' status queries
    background     // can wait for a heartbeat period
};
inline constexpr std::size_t request_priority_count = 6;

// Users' time-outs in seconds: of a submission or cancellation, and of a status query.
inline constexpr double submission_timeout_s = 5, read_timeout_s = 2;

// Counts of one priority's requests in this controller's queue, since the process started.
struct QueueCounts {
    double sent = 0;            // requests sent after they were queued
    double refused = 0;         // requests never sent, because they would have missed their deadline
    double waited_s = 0;        // total time in the queue of all requests sent
    double longest_wait_s = 0;  // longest time in the queue of a request sent
};

// A request to the store with what the queue needs to schedule it.
struct PendingRequest {
    RequestPriority priority = RequestPriority::background;
    http::Request request;
    double timeout_s = 0;  // for the store's answer, from the time of sending
    double changes = 0;    // number of keys put or deleted
    http::Result on_response;
    // Steady times in seconds, set by the queue.
    double queued_at = 0, deadline = 0;

    [[nodiscard]] RequestCost cost() const { return {changes, priority == RequestPriority::read}; }
};

// Holds requests until the budget allows them, and sends them by priority.
class RequestQueue {
  public:
    using Send = std::function<void(PendingRequest)>;

    // `send` is called for each request that may be sent, after its cost was taken from the budget. The
    // referenced objects must outlive the queue, and the queue must outlive its pending timers.
    RequestQueue(event_loop::Timers& timers, const config::Settings& settings, RequestBudget& budget,
                 Send send);

    // Sends the request, queues it or refuses it. A refused request gets an answer with status 429 from a
    // timer, never from within this call.
    void submit(PendingRequest request);

    [[nodiscard]] const QueueCounts& counts(RequestPriority priority) const {
        return counts_[static_cast<std::size_t>(priority)];
    }

  private:
    using Queue = std::deque<PendingRequest>;
    [[nodiscard]] double max_wait_s(RequestPriority priority) const;
    [[nodiscard]] bool would_miss_deadline(const PendingRequest& request);
    [[nodiscard]] QueueCounts& counts_of(RequestPriority priority) {
        return counts_[static_cast<std::size_t>(priority)];
    }
    void refuse(PendingRequest request);
    void send_due();
    void send_first(Queue& queue, double now);
    void take_and_send(PendingRequest request);
    void schedule_send_due(double delay_s);

    event_loop::Timers& timers_;
    const config::Settings& settings_;
    RequestBudget& budget_;
    Send send_;
    std::array<Queue, request_priority_count> queues_;
    std::array<QueueCounts, request_priority_count> counts_;
    bool timer_armed_ = false;
};

}  // namespace coralhitch::kv

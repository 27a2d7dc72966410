// Requests to the key-value store that wait for this controller's budget, by priority.
//
// Every request has a deadline from the moment it is queued: the time after which nobody would wait for its
// answer any more. What can't be sent by then is refused, so the queue can't grow without bound when the
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

// Who goes first when the budget is short, from first to last.
enum class RequestPriority {
    lease,         // leases, the leader's key, the replicas' record, watches: never queued, sent at once
    cancellation,  // users' cancellations
    submission,    // users' submissions
    write,         // the leader's own writes, and reads that these depend on
    read,          // users' status queries
    background     // can wait for a report period
};
inline constexpr std::size_t request_priority_count = 6;

// How long users wait for an answer (seconds): to a submission or cancellation, and to a status query.
inline constexpr double submission_timeout_s = 5, read_timeout_s = 2;

// What became of the requests of one priority in this controller's queue, since the process began.
struct QueueCounts {
    double sent = 0;            // that were queued first
    double refused = 0;         // never sent: their deadline would have passed
    double waited_s = 0;        // by all that were sent, in sum
    double longest_wait_s = 0;  // by one that was sent
};

struct PendingRequest {
    RequestPriority priority = RequestPriority::background;
    http::Request request;
    double timeout_s = 0;  // for the store's answer, from the sending on
    double changes = 0;    // keys that it puts or deletes
    http::Result on_response;
    // Steady times, set by the queue.
    double queued_at = 0, deadline = 0;

    [[nodiscard]] RequestCost cost() const { return {changes, priority == RequestPriority::read}; }
};

class RequestQueue {
  public:
    using Send = std::function<void(PendingRequest)>;

    // `send` is called when a request's turn has come and its cost is taken. The references must outlive the
    // queue.
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

// This controller's share of what the key-value store serves: requests and changes per second.
//
// The store's limits hold for all controllers together. The leader writes most and gets a larger, fixed
// share; the others divide the rest evenly. No share is negotiated, so the sum keeps within the limits also
// while the controllers can't reach each other.
#pragma once
#include "config/settings.hpp"
#include "event_loop/token_bucket.hpp"

namespace coralhitch::kv {

// What one request takes of the budget, beside being one request.
struct RequestCost {
    double changes = 0;         // keys put or deleted
    bool is_user_read = false;  // a read for a user's status query: these get a part of the requests only
};

// Times are steady seconds and must not decrease from call to call.
class RequestBudget {
  public:
    explicit RequestBudget(const config::Settings& settings);  // with a follower's share

    // Sets the share of the leader, or that of a follower. Tokens beyond the new burst are dropped.
    void set_leading(bool leading);

    // Whether a request of that cost may go out now. A cost beyond the burst fits when the bucket is full.
    [[nodiscard]] bool has(double now, const RequestCost& cost);
    // Seconds until `has` becomes true if nothing else is taken; 0 if it is true.
    [[nodiscard]] double wait_s(double now, const RequestCost& cost);
    // Takes the cost, also if it is not there: what must not wait is paid for by what comes after it.
    void take(double now, const RequestCost& cost);

    // Seconds until that many changes could be sent one after the other, also if they exceed the burst.
    [[nodiscard]] double seconds_for_changes(double now, double changes);
    // Whether less than half of the burst of changes is left.
    [[nodiscard]] bool short_of_changes(double now);

  private:
    const config::Settings& settings_;
    event_loop::TokenBucket requests_, changes_, user_reads_;
    double changes_per_s_ = 0;
};

}  // namespace coralhitch::kv

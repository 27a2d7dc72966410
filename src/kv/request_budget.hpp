// This controller's share of what the key-value store serves: requests and changes per second.
//
// The store's limits apply to all controllers together. The leader writes most and gets a larger, fixed
// share. The others divide the rest evenly. No share is negotiated, so the sum stays within the limits even
// while the controllers cannot reach each other.
#pragma once
#include "config/settings.hpp"
#include "event_loop/token_bucket.hpp"

namespace coralhitch::kv {

// The cost of one request, in addition to the request itself.
struct RequestCost {
    double changes = 0;         // keys put or deleted
    bool is_user_read = false;  // read for a user's status query, limited to a part of the requests
};

// Rate limits of requests, changes and users' reads. `now` is steady time in seconds and must not decrease
// from call to call. Used on the event loop's thread.
class RequestBudget {
  public:
    // Starts with a follower's share. `settings` must outlive the budget.
    explicit RequestBudget(const config::Settings& settings);

    // Sets the share of the leader, or that of a follower. Tokens beyond the new burst are dropped.
    void set_leading(bool leading);

    // Returns true if a request of this cost may be sent now. A cost larger than the burst is allowed when
    // the bucket is full.
    [[nodiscard]] bool has(double now, const RequestCost& cost);
    // Returns the seconds until `has` becomes true if nothing else is taken, 0 if it is true now.
    [[nodiscard]] double wait_s(double now, const RequestCost& cost);
    // Takes the cost even if the budget is exhausted. A request that must not wait thus delays later ones.
    void take(double now, const RequestCost& cost);

    // Returns the seconds until this number of changes could be sent one after the other. The number may
    // exceed the burst.
    [[nodiscard]] double seconds_for_changes(double now, double changes);
    // Returns true if less than half of the burst of changes is left.
    [[nodiscard]] bool short_of_changes(double now);

  private:
    const config::Settings& settings_;
    event_loop::TokenBucket requests_, changes_, user_reads_;
    double changes_per_s_ = 0;
};

}  // namespace coralhitch::kv

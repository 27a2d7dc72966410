#include "kv/request_budget.hpp"

#include <algorithm>

namespace coralhitch::kv {
namespace {
// Part of the store's limits that is shared out. It is below 1 because other controllers may still use their
// old share while leadership moves.
constexpr double usable_ratio = 0.9;
// The leader's shares of requests and changes. The leader stores the end of each job, which is two changes,
// in addition to its part of the users' requests. With half of the changes it had none left at ten one-task
// jobs per second, while the other controllers used a third of theirs.
constexpr double leader_request_share = 0.5, leader_change_share = 0.6;
constexpr double short_of_changes_ratio = 0.5;  // of the changes per second
constexpr double user_read_ratio = 0.5;         // of the requests per second

double share_of(const config::Settings& settings, bool leading, double leader_share) {
    if (settings.nodes <= 1) return 1.0;
    return leading ? leader_share : (1 - leader_share) / (settings.nodes - 1);
}
}  // namespace

RequestBudget::RequestBudget(const config::Settings& settings)
    : settings_(settings), requests_(1, 1), changes_(1, 1), user_reads_(1, 1) {
    set_leading(false);
}

void RequestBudget::set_leading(bool leading) {
    double requests = settings_.kv_rps * share_of(settings_, leading, leader_request_share) * usable_ratio;
    double changes =
        settings_.kv_write_rps * share_of(settings_, leading, leader_change_share) * usable_ratio;
    user_reads_.set_rate(requests * user_read_ratio, std::max(1.0, requests * user_read_ratio));
    changes_per_s_ = changes;
    requests_.set_rate(requests, std::max(1.0, requests));
    changes_.set_rate(changes, std::max(1.0, changes));
}

bool RequestBudget::has(double now, const RequestCost& cost) {
    return requests_.has(now) && changes_.has(now, cost.changes) &&
           (!cost.is_user_read || user_reads_.has(now));
}

double RequestBudget::wait_s(double now, const RequestCost& cost) {
    double wait =
        std::max(requests_.seconds_until_available(now), changes_.seconds_until_available(now, cost.changes));
    return cost.is_user_read ? std::max(wait, user_reads_.seconds_until_available(now)) : wait;
}

void RequestBudget::take(double now, const RequestCost& cost) {
    requests_.take(now);
    if (cost.changes > 0) changes_.take(now, cost.changes);
    if (cost.is_user_read) user_reads_.take(now);
}

double RequestBudget::seconds_for_changes(double now, double changes) {
    return changes_.seconds_to_drain(now, changes);
}

bool RequestBudget::short_of_changes(double now) {
    return !changes_.has(now, std::max(1.0, changes_per_s_ * short_of_changes_ratio));
}

}  // namespace coralhitch::kv

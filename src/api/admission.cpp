#include "api/admission.hpp"

#include <algorithm>

namespace coralhitch::api {

namespace {
// Share of the key-value store's write limit that controllers use. The client of the store uses the same
// share.
constexpr double write_budget_share = 0.9;
// Share of the burst that a team leaves to other active teams. A reserve of half the burst was too large:
// after an overload it took half of the burst's refill time to fill again, and available writes went unused
// meanwhile.
constexpr double reserve_share = 1.0 / 8;
}  // namespace

Admission::Admission(const config::Settings& settings)
    : rate_jobs_per_s_(settings.kv_write_rps * write_budget_share / writes_per_job /
                       std::max(1.0, static_cast<double>(settings.nodes))),
      burst_jobs_(std::max(1.0, rate_jobs_per_s_ * settings.lease_s * burst_leases)),
      team_count_(std::max(1.0, static_cast<double>(settings.teams.size()))),
      active_window_s_(settings.lease_s),
      common_bucket_(rate_jobs_per_s_, burst_jobs_) {}

Admission::TeamShare& Admission::share_of(const std::string& team) {
    double burst = std::max(1.0, burst_jobs_ / team_count_);
    return team_shares_.try_emplace(team, TeamShare{{rate_jobs_per_s_ / team_count_, burst}, {}})
        .first->second;
}

// Returns the number of tokens that the common bucket must hold before a team may draw on it beyond its own
// share: the reserve while another team is active, and the one token that the job takes otherwise.
double Admission::min_common_tokens(const std::string& team, double now) const {
    bool others_active = std::any_of(team_shares_.begin(), team_shares_.end(), [&](auto& entry) {
        auto& [name, share] = entry;
        return name != team && share.last_request_at && now - *share.last_request_at <= active_window_s_;
    });
    return others_active ? std::max(1.0, burst_jobs_ * reserve_share) : 1;
}

bool Admission::can_admit(const std::string& team, double now) {
    return share_of(team).tokens.has(now) || common_bucket_.has(now, min_common_tokens(team, now));
}

bool Admission::admit(const std::string& team, double now) {
    auto& share = share_of(team);
    share.last_request_at = now;
    if (!can_admit(team, now)) {
        ++rejected_;
        return false;
    }
    if (share.tokens.has(now)) share.tokens.take(now);
    common_bucket_.take(now);
    return true;
}

void Admission::refund(const std::string& team, double now) {
    share_of(team).tokens.take(now, -1);
    common_bucket_.take(now, -1);
}

double Admission::retry_after_s(const std::string& team, double now) {
    return std::min(share_of(team).tokens.seconds_until_available(now),
                    common_bucket_.seconds_until_available(now, min_common_tokens(team, now)));
}

}  // namespace coralhitch::api

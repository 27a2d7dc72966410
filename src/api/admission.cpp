#include "api/admission.hpp"

#include <algorithm>

namespace coralhitch::api {

namespace {
constexpr double budget_use = 0.9;  // as the client of the key-value store keeps to
// Of the burst, what a team leaves to others that have asked lately. Half of it took half a burst's time to
// come back after an overload, in which the changes that there were went unused.
constexpr double spare_part = 1.0 / 8;
}  // namespace

Admission::Admission(const config::Settings& s)
    : rate_(s.state_write_rps * budget_use / changes_per_job / std::max(1.0, static_cast<double>(s.nodes))),
      burst_(std::max(1.0, rate_ * s.lease_s * burst_leases)),
      teams_(std::max(1.0, static_cast<double>(s.teams.size()))),
      active_s_(s.lease_s),
      all_(rate_, burst_) {}

Admission::Part& Admission::part_of(const std::string& team) {
    double burst = std::max(1.0, burst_ / teams_);
    return parts_.try_emplace(team, Part{{rate_ / teams_, burst}, never}).first->second;
}

// What a team must leave to the others: nothing while no other has asked lately.
double Admission::left_to_others(const std::string& team, double now) const {
    bool others = std::any_of(parts_.begin(), parts_.end(), [&](auto& p) {
        return p.first != team && now - p.second.asked_at <= active_s_;
    });
    return others ? std::max(1.0, burst_ * spare_part) : 1;
}

bool Admission::has_place(const std::string& team, double now) {
    return part_of(team).places.has(now) || all_.has(now, left_to_others(team, now));
}

bool Admission::admit(const std::string& team, double now) {
    auto& part = part_of(team);
    part.asked_at = now;
    if (!has_place(team, now)) {
        ++refused_;
        return false;
    }
    if (part.places.has(now)) part.places.take(now);
    all_.take(now);
    return true;
}

void Admission::give_back(const std::string& team, double now) {
    part_of(team).places.take(now, -1);
    all_.take(now, -1);
}

double Admission::retry_after_s(const std::string& team, double now) {
    return std::min(part_of(team).places.seconds_until_available(now),
                    all_.seconds_until_available(now, left_to_others(team, now)));
}

}  // namespace coralhitch::api

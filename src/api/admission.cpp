#include "api/admission.hpp"

#include <algorithm>

namespace coralhitch::api {

namespace {
constexpr double budget_use = 0.9;  // as the client of the state service keeps to
constexpr double spare_part = 0.5;
}  // namespace

Admission::Admission(const config::Settings& s)
    : rate_(s.state_write_rps * budget_use / changes_per_job / std::max(1.0, static_cast<double>(s.nodes))),
      burst_(std::max(1.0, rate_ * s.lease_s * burst_leases)),
      teams_(std::max(1.0, static_cast<double>(s.teams.size()))),
      all_(rate_, burst_) {}

loop::Bucket& Admission::part_of(const std::string& team) {
    double burst = std::max(1.0, burst_ / teams_);
    return parts_.try_emplace(team, rate_ / teams_, burst).first->second;
}

bool Admission::admit(const std::string& team, double now) {
    auto& part = part_of(team);
    bool own = part.has(now);
    if (!own && !all_.has(now, std::max(1.0, burst_ * spare_part))) {
        ++refused_;
        return false;
    }
    if (own) part.take(now);
    all_.take(now);
    return true;
}

void Admission::give_back(const std::string& team, double now) {
    part_of(team).take(now, -1);
    all_.take(now, -1);
}

double Admission::retry_after_s(const std::string& team, double now) {
    return std::min(part_of(team).wait(now), all_.wait(now, std::max(1.0, burst_ * spare_part)));
}

}  // namespace coralhitch::api

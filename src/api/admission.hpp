// Admission control: how many jobs a controller accepts, no more than the key-value store can store to their
// ends.
//
// An accepted job causes writes later, most of them by the leader. If jobs were accepted faster than those
// can be stored, users would see their jobs done minutes late, and the backlog would outlast the burst that
// caused it.
#pragma once
#include <map>
#include <optional>
#include <string>

#include "config/settings.hpp"
#include "event_loop/token_bucket.hpp"

namespace coralhitch::api {

// `now` is in seconds of the injected steady clock everywhere.
class Admission {
  public:
    // Writes over the whole life of a job with one task: its live record, its final record, the removal of
    // the live record.
    static constexpr double writes_per_job = 3;
    // The burst accepted after an idle time, as the worker leases in which as much is accepted at the
    // sustained rate.
    static constexpr double burst_leases = 1;

    explicit Admission(const config::Settings& settings);
    // Admits one job of a team, if possible. Each team has an equal share of the rate for itself. Beyond it,
    // a team may use all of the common burst if no other team has asked within a worker's lease; otherwise it
    // leaves a reserve to the others.
    bool admit(const std::string& team, double now);
    // Whether `admit` would; changes nothing.
    [[nodiscard]] bool can_admit(const std::string& team, double now);
    // An admitted job was not accepted after all, and causes no writes.
    void refund(const std::string& team, double now);
    // Seconds after which the team may try again.
    [[nodiscard]] double retry_after_s(const std::string& team, double now);
    // Jobs not admitted so far.
    [[nodiscard]] double rejected_count() const { return rejected_; }

  private:
    struct TeamShare {
        event_loop::TokenBucket tokens;
        std::optional<double> last_request_at;
    };
    TeamShare& share_of(const std::string& team);
    double reserve_for_others(const std::string& team, double now) const;

    double rate_, burst_;  // jobs per second, jobs
    double team_count_;
    double active_window_s_;  // for which a team counts as active after its last request
    event_loop::TokenBucket common_;
    std::map<std::string, TeamShare> shares_;
    double rejected_ = 0;
};

}  // namespace coralhitch::api

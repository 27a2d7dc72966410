// Admission control: limits the rate at which a controller accepts jobs to what the key-value store can
// write.
//
// An accepted job causes more writes later, most of them by the leader. If jobs were accepted faster than the
// store can take these writes, users would see their jobs done minutes late, and the backlog would outlast
// the burst that caused it.
#pragma once
#include <map>
#include <optional>
#include <string>

#include "config/settings.hpp"
#include "event_loop/token_bucket.hpp"

namespace coralhitch::api {

// Admits jobs by token buckets, one for each team and a common one. One token admits one job.
//
// `now` is in seconds of the injected steady clock everywhere. All functions run on the event loop's thread.
class Admission {
  public:
    // Number of writes that a job with one task causes: its live record, its final record, and the removal of
    // the live record.
    static constexpr double writes_per_job = 3;
    // Size of the burst that is accepted after an idle time: the number of jobs that the sustained rate
    // admits in this many agent leases.
    static constexpr double burst_leases = 1;

    explicit Admission(const config::Settings& settings);
    // Admits one job of a team if a token is available, and returns whether it did. Each team has an equal
    // share of the rate for itself. Beyond its share, a team may use the whole common burst if no other team
    // has submitted a job within the last agent lease; otherwise it leaves a reserve to the other teams.
    bool admit(const std::string& team, double now);
    // Returns whether `admit` would admit a job now, without taking tokens or counting a rejection.
    [[nodiscard]] bool can_admit(const std::string& team, double now);
    // Gives back the tokens of an admitted job that was not accepted after all and causes no writes.
    void refund(const std::string& team, double now);
    // Returns the number of seconds after which `admit` would succeed for the team if no other job takes the
    // tokens.
    [[nodiscard]] double retry_after_s(const std::string& team, double now);
    // Returns the number of calls of `admit` that were rejected since the process began.
    [[nodiscard]] double rejected_count() const { return rejected_; }

  private:
    // Share of one team in the sustained rate.
    struct TeamShare {
        event_loop::TokenBucket tokens;
        std::optional<double> last_request_at;  // steady seconds; empty before the first call of `admit`
    };
    TeamShare& share_of(const std::string& team);
    double min_common_tokens(const std::string& team, double now) const;

    double rate_jobs_per_s_, burst_jobs_;
    double team_count_;
    double active_window_s_;  // A team counts as active for this time after its last request.
    event_loop::TokenBucket common_bucket_;
    std::map<std::string, TeamShare> team_shares_;
    double rejected_ = 0;
};

}  // namespace coralhitch::api

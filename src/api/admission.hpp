// How many jobs a controller accepts: no more than the key-value store can store to their ends.
//
// An accepted job causes changes later, most of them by the leader. Accepted faster than those can be stored,
// jobs would be done for their users minutes late, and the backlog would outlast the burst that caused it.
#pragma once
#include <map>
#include <string>

#include "config/settings.hpp"
#include "event_loop/token_bucket.hpp"

namespace coralhitch::api {

class Admission {
  public:
    // Changes over a job's whole life with one task: accepted, its final record, its live record removed.
    static constexpr double changes_per_job = 3;
    // Accepted at once after a quiet time, in worker leases at the lasting rate.
    static constexpr double burst_leases = 1;

    explicit Admission(const config::Settings& settings);
    // Takes a place for a job of this team, if there is one. Each team has an equal part for itself. Beyond
    // it, a team may take what there is if no other asked within a worker's lease, otherwise only while more
    // than half of the burst is there.
    bool admit(const std::string& team, double now);
    // Whether it would; takes nothing.
    bool has_place(const std::string& team, double now);
    // The job was not accepted after all, and causes no changes.
    void give_back(const std::string& team, double now);
    // Seconds after which the team may try again.
    double retry_after_s(const std::string& team, double now);
    double refused() const { return refused_; }  // so far

  private:
    static constexpr double never = -1e9;
    struct Part {
        event_loop::TokenBucket places;
        double asked_at;  // seconds of the injected clock
    };
    Part& part_of(const std::string& team);
    double left_to_others(const std::string& team, double now) const;
    double rate_, burst_;  // jobs a second, jobs
    double teams_, active_s_;
    event_loop::TokenBucket all_;
    std::map<std::string, Part> parts_;
    double refused_ = 0;
};

}  // namespace coralhitch::api

// Records for how long machines stayed silent recently, and estimates from that whether a machine that is
// silent now will return.
//
// The length of a silence that ended with a heartbeat is known. A silence that ended with the eviction of the
// machine would have been longer, by an unknown time (Kaplan and Meier, "Nonparametric estimation from
// incomplete observations", 1958). Machines whose tasks no one waits for get more time before an eviction, so
// long silences are observed as well. No I/O; times are seconds of one clock, and lengths are seconds. Not
// thread safe.
#pragma once
#include <cstddef>
#include <deque>
#include <vector>

namespace coralhitch::membership {

// The silences that ended within a retention period.
class HeartbeatHistory {
  public:
    // Silences are dropped `retention_s` seconds after their end.
    explicit HeartbeatHistory(double retention_s) : retention_s_(retention_s) {}

    // Records that a machine sent a heartbeat after a silence of this length.
    void record_return(double length_s, double now) { add({now, length_s, Outcome::returned}); }
    // Records that a machine was evicted after a silence of this length.
    void record_eviction(double length_s, double now) { add({now, length_s, Outcome::evicted}); }
    void drop_expired(double now);

    // The maximum number of silences kept: four times as many as a simultaneous loss of 8,000 machines adds.
    static constexpr std::size_t max_silences = 32768;

    // Returns the probability, 0 to 1, that a machine that has been silent for `silence_s` seconds sends a
    // heartbeat within another `within_s` seconds. The result is low if there are few observations.
    [[nodiscard]] double return_probability(double silence_s, double within_s) const;

  private:
    enum class Outcome { returned, evicted };
    struct Silence {
        double at, length_s;
        Outcome outcome;
    };
    void add(Silence silence);
    void drop_oldest();
    std::vector<double>& lengths(Outcome outcome) {
        return outcome == Outcome::returned ? returned_ : evicted_;
    }

    double retention_s_;
    std::deque<Silence> silences_;            // oldest first
    std::vector<double> returned_, evicted_;  // their lengths, ascending
};

}  // namespace coralhitch::membership

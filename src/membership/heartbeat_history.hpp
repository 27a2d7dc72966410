// How long machines that missed heartbeats lately stayed silent, and what that says of one that is silent
// now.
//
// A silence that ended tells its length; one that was cut short by evicting the machine tells only that it
// was longer (Kaplan and Meier, "Nonparametric estimation from incomplete observations", 1958). Machines for
// which nobody waits are given more time anyway, so long silences are observed too. Pure; times are seconds
// of one clock, lengths are seconds.
#pragma once
#include <cstddef>
#include <deque>
#include <vector>

namespace coralhitch::membership {

class HeartbeatHistory {
  public:
    // Silences are forgotten after `retention_s` seconds.
    explicit HeartbeatHistory(double retention_s) : retention_s_(retention_s) {}

    // A machine sent a heartbeat again after a silence of this length.
    void record_return(double length_s, double now) { add({now, length_s, Outcome::returned}); }
    // A machine was evicted after a silence of this length.
    void record_eviction(double length_s, double now) { add({now, length_s, Outcome::evicted}); }
    void drop_expired(double now);

    // At most so many are kept: four times the silences of 8,000 machines that are lost together.
    static constexpr std::size_t max_silences = 32768;

    // The probability, 0 to 1, that a machine that has been silent for `silence_s` sends a heartbeat within
    // `within_s` more. Low where little is known.
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

// How long machines that fell silent lately stayed silent, and what that says of one that is silent now.
//
// A silence that ended tells its length; one that was cut short by giving the machine up tells only that it
// was longer (Kaplan and Meier, "Nonparametric estimation from incomplete observations", 1958). Machines for
// which nobody waits are given more time anyway, so the tail is seen.
#pragma once
#include <cstddef>
#include <deque>
#include <vector>

namespace coralhitch::membership {

class HeartbeatHistory {
  public:
    explicit HeartbeatHistory(double memory_s) : memory_s_(memory_s) {}
    void ended(double length_s, double now) { add({now, length_s, true}); }       // the machine spoke again
    void cut_short(double length_s, double now) { add({now, length_s, false}); }  // it was given up
    void forget_old(double now);
    // So many are kept: four times the silences of 8,000 machines that are lost together.
    static constexpr std::size_t most_silences = 32768;
    // The chance, 0 to 1, that one which has been silent for so long speaks within so many seconds more. Low
    // where little is known.
    double speaks_within(double silent_s, double more_s) const;

  private:
    struct Silence {
        double at, length;
        bool ended;
    };
    void add(Silence s);
    void drop_oldest();
    std::vector<double>& lengths(bool ended) { return ended ? ended_ : cut_short_; }
    double memory_s_;
    std::deque<Silence> all_;
    std::vector<double> ended_, cut_short_;  // the lengths of `all_`, ascending
};

}  // namespace coralhitch::membership

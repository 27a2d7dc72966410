#include "failover/reconciliation.hpp"

#include <algorithm>

namespace coralhitch::failover {
using cluster::Machine;

namespace {
// A failover goes on as long as in so many report periods at least this share of what is left has reconciled.
constexpr double pace_reports = 1.0 / 2, pace_share = 1.0 / 64;
// A machine that was not even asked is given this much longer.
constexpr double unasked_reports = 2;
// Time for a direct command to go unanswered.
constexpr double asked_reports = 1.0 / 2;
constexpr double late_ticks = 3;
// Of the machines that an earlier leader stored: so few that have not answered don't change what room there
// is.
constexpr std::size_t few_share = 16;
// An answer is late after so many report periods; a leader is behind if most of some ten answers are.
constexpr double late_reports = 1.0 / 8, late_most = 1.0 / 2, memory = 0.9;
}  // namespace

void Reconciliation::expect(const std::string& id) {
    unheard_.insert(id);
    ++expected_;
    unknown_.insert(id);
}
bool Reconciliation::leave(std::set<std::string>& ids, bool (*leaves)(const Machine&)) const {
    while (!ids.empty()) {
        auto it = cluster_state_.machines().find(*ids.begin());
        if (it != cluster_state_.machines().end() && !leaves(it->second)) return false;
        ids.erase(ids.begin());
    }
    return true;
}
bool Reconciliation::may_place() const {
    return leave(unknown_, [](const Machine& m) { return m.reconciled || m.known_from_replica; });
}
bool Reconciliation::all_reconciled() const {
    // One of which all is known and that is waited for holds nothing else up, nor do a few such: dozens that
    // had died used to keep a leader from renting and displacing for ten seconds.
    return leave(unheard_,
                 [](const Machine& m) {
                     return m.reconciled || m.life != Machine::Life::up ||
                            (m.known_from_replica && m.suspected);
                 }) ||
           (few_left_ && may_place());
}

// A leader that did not even come to look in time has not come to hear either.
void Reconciliation::tick(double now, double period) {
    if (last_tick_ >= 0 && now - last_tick_ > period * late_ticks) pace_at_ = now;
    last_tick_ = now;
    std::size_t left = 0;
    for (auto& id : unheard_) {
        auto it = cluster_state_.machines().find(id);
        left += it != cluster_state_.machines().end() && !it->second.reconciled;
    }
    few_left_ = left * few_share <= expected_;
    if (left == 0) return;
    auto step = std::max<std::size_t>(1, static_cast<std::size_t>(static_cast<double>(left) * pace_share));
    if (left + step <= paced_.first)
        pace_at_ = now;
    else if (now - paced_.second < report_s_ * pace_reports)
        return;
    paced_ = {left, now};
}

void Reconciliation::answered(double took, double now) {
    late_share_ = late_share_ * memory + (took > report_s_ * late_reports ? 1 - memory : 0);
    answered_at_ = now;
}
bool Reconciliation::behind(double now) const {
    return late_share_ > late_most && now - answered_at_ <= report_s_ * pace_reports;
}

// One that has not reconciled may have answered long ago: while others settle, its answer may lie unread. New
// leaders of 2,600 machines took 7 to 10 s to hear them all with the processor they had, and fenced up to 230
// that were well; at 5,200 each thought itself deaf and gave way to the next.
double Reconciliation::silence(const Machine& m, double now) const {
    if (m.reconciled || m.life != Machine::Life::up) return now - m.last_heartbeat_at;
    // One that no answer reaches does not settle, however often it is heard: its reports held up all placing
    // for as long as they came.
    double silent = now - (m.reachability.outbound_unreachable() ? m.reachability.last_reached_at()
                                                                 : m.last_heartbeat_at);
    double asked = !m.first_probed_at ? silent - report_s_ * unasked_reports : now - *m.first_probed_at;
    if (behind(now)) return 0;
    bool goes_on = now - pace_at_ <= report_s_ * pace_reports;
    double counted = std::min({silent, asked, goes_on ? now - pace_at_ : asked});
    // The leader before had asked it too, in vain. It is given the time to answer this one.
    return counted + (counted > report_s_ * asked_reports ? m.silence_hint_s : 0);
}

}  // namespace coralhitch::failover

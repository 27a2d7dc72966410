#include "membership/failure_detector.hpp"

#include <algorithm>
#include <cstdio>

#include "protocol/protocol.hpp"

namespace coralhitch::membership {

namespace {
// Ratios to the report period, unless named otherwise.
constexpr double late_reports = 1.27;
// Time for two direct commands to go unanswered.
constexpr double unsettled_reports = 0.9;
// Above this share of silent machines the leader doubts itself first.
constexpr double doubt_share = 1.0 / 3;
// Fewer machines than this share heard lately, of at least so many: nobody is heard.
constexpr double deaf_share = 1.0 / 8;
constexpr std::size_t deaf_fleet = 16, quiet_zone = 4, quiet_at_once = 8;
// A worker that is well lets no more time pass between two reports.
constexpr double between_reports = 1.25;
// How long a worker takes to turn to another controller: its timeout, a pause and a report.
constexpr double turn_reports = 2;
constexpr double dark_reports = 2, dark_leases = 4;
// In times of what others would be made to wait for: work that nobody else waits for has as much to lose.
constexpr double work_patience = 2.5;
// In worker leases: for what is on a machine, and for the machine itself, where a whole zone is quiet.
// A new leader has no proof by time so soon, and does not know how long the zone was quiet before.
constexpr double zone_tasks_leases = 1.1, zone_unsettled_leases = 2.0 / 3, zone_leases = 2, empty_leases = 1;
// Waiting goes on where it is worth it: giving up costs so many report periods, boots and fetches included.
constexpr double loss_reports = 4;
constexpr double memory_leases = 8;
// In nominal boot times: what a machine takes at the most as a rule, and when it is given up: after half as
// long again as the slowest lately took. Each that comes up lets an older, slower one be forgotten by so
// much.
constexpr double usual_boots = 2, most_boots = 8, first_boots = 4, boots_kept = 0.95, overdue_ratio = 1.5;

double share(std::size_t of, double ratio) {
    return static_cast<double>(of) * ratio;
}
}  // namespace

FailureDetector::FailureDetector(const Limits& l)
    : limits_(l),
      wait_(l.report_s * l.silence_reports),
      lately_(std::max(wait_ - l.report_s, l.report_s / 2)),
      history_(l.lease_s * memory_leases),
      slowest_boot_(first_boots) {}

// --- Heard ----------------------------------------------------------------------------------------------

void FailureDetector::heard_from(std::size_t zone, double now) {
    if (zones_.size() <= zone) zones_.resize(zone + 1);
    zones_[zone].heard = std::max(zones_[zone].heard, now);
}
bool FailureDetector::dark(std::size_t zone, double now) const {
    if (zone >= zones_.size() || zones_[zone].heard < 0) return false;
    double silent = now - zones_[zone].heard;
    return silent > limits_.report_s * dark_reports && silent < limits_.lease_s * dark_leases;
}

// --- Suspected ------------------------------------------------------------------------------------------

// Counted no later than it could be given up: a new leader that is cut off from the workers must see that
// first.
bool FailureDetector::late(const Observation& m) const {
    return m.silent > limits_.report_s * (m.reconciled ? late_reports : unsettled_reports);
}

void FailureDetector::look(std::span<Observation> machines, const LeaderLoad& own, double now) {
    // Many at once that no answer reaches: not they, but the way to them, or this leader, is at fault.
    auto unreached = std::count_if(machines.begin(), machines.end(), [](auto& m) { return m.unreached > 0; });
    if (static_cast<double>(unreached) < share(machines.size(), doubt_share))
        for (auto& m : machines) m.silent = std::max(m.silent, m.unreached);
    own_ = own;
    doubt_.reset();
    elsewhere_.reset();
    while (!evictions_.empty() && now - evictions_.front() > limits_.lease_s) evictions_.pop_front();
    for (auto& z : zones_) z.up = z.lately = 0;
    up_ = machines.size();
    longest_ = 0;
    std::size_t heard = 0;
    double first = 0;  // the longest silence that has only begun
    for (auto& m : machines) {
        if (zones_.size() <= m.zone) zones_.resize(m.zone + 1);
        bool lately = m.silent < lately_;
        heard += lately;
        ++zones_[m.zone].up;
        zones_[m.zone].lately += lately;
        longest_ = std::max(longest_, m.silent);
        if (m.silent < wait_ * 2) first = std::max(first, m.silent);
    }
    find_quiet_zones(now);
    find_lost_routes(machines, now);
    learn(machines, now);

    SelfSuspicion d;
    std::size_t apart = 0, up_apart = 0, lately_apart = 0;  // of what no quiet zone explains
    for (auto& m : machines) {
        bool is_late = late(m);
        if (is_late) d.silent.emplace(m.id, m.silent);
        if (quiet(m.zone)) continue;
        ++up_apart;
        apart += is_late;
        lately_apart += m.silent < lately_;
    }
    // Those given up a moment ago count as silent still. Otherwise a leader that is cut off from the workers
    // would delete the fleet one by one, each time seeing only a few silent machines.
    std::size_t gone = evictions_.size(), fleet = up_ + gone;
    // While the first machine becomes due, more than half of a fleet that is well reports. A leader that
    // hears next to none of many is cut off from them, or stood still, though less than a third is late yet:
    // it used to delete those that fell silent first, dozens of machines that were well.
    d.deaf = first > wait_ && fleet >= deaf_fleet && static_cast<double>(heard) < share(fleet, deaf_share);
    if (d.deaf)
        for (auto& m : machines)
            if (m.silent >= lately_) d.silent.emplace(m.id, m.silent);
    // That a third is silent shows in what is missing before a third is late: the first that became due used
    // to be deleted, a tenth of the fleet, before their leader began to doubt.
    bool missing =
        first > wait_ && up_apart >= deaf_fleet &&
        static_cast<double>(lately_apart) < share(up_apart, lately_ / limits_.report_s * (1 - doubt_share));
    crowded_ = d.deaf || missing || static_cast<double>(apart + gone) > share(up_apart + gone, doubt_share);
    bool many = static_cast<double>(d.silent.size() + gone) > share(fleet, doubt_share);
    if (!own.behind && (d.deaf || missing || many)) doubt_ = std::move(d);
}

// Next to nothing is heard of a zone, while others are heard as usual: it was cut off. Its machines go on
// with what they have, and a cut ends as a rule; deleted one after the other as each became due, 605 machines
// were lost to a cut of ten seconds.
void FailureDetector::find_quiet_zones(double now) {
    quiet_.clear();
    std::size_t lately = 0, up = 0;
    for (std::size_t z = 0; z < zones_.size(); ++z) {
        auto& zone = zones_[z];
        // Of few machines it may be chance that none was heard for half a period.
        bool long_enough = zone.up >= quiet_at_once || now - zone.heard > limits_.report_s;
        if (zone.up >= quiet_zone && long_enough &&
            static_cast<double>(zone.lately) <= share(zone.up, deaf_share)) {
            quiet_.insert(z);
        } else {
            lately += zone.lately;
            up += zone.up;
        }
    }
    // Of the rest, a quarter at least: otherwise it is the leader that hears nobody.
    if (up == 0 || static_cast<double>(lately) < share(up, deaf_share * 2)) quiet_.clear();
}

// When a controller that hears machines ends or is cut off from them, or the leader is from those that report
// to itself, they turn to another within some seconds. Fewer than a third of the fleet, they used to be
// deleted before: 390 machines that were well, replicas on them, when a leader lost its workers while the
// others went on hearing for it. So a machine is overdue only if others are heard the way it came.
void FailureDetector::find_lost_routes(std::span<const Observation> machines, double now) {
    std::map<std::string_view, double> latest;
    for (auto& m : machines)
        if (m.reconciled) {
            auto& l = latest[m.route];
            l = std::max(l, m.heard_at);
        }
    std::erase_if(lost_routes_, [&](auto& l) { return l.second < now; });
    for (auto& m : machines)
        if (m.reconciled && now - m.heard_at > wait_ &&
            latest[m.route] <= m.heard_at + limits_.report_s * between_reports)
            lost_routes_[std::string(m.route)] = now + limits_.report_s * turn_reports;
}

// HeartbeatHistory of single machines. One that is over tells how long such take.
void FailureDetector::learn(std::span<const Observation> machines, double now) {
    history_.forget_old(now);
    std::map<std::string, double, std::less<>> silent;
    for (auto& m : machines) {
        if (!m.reconciled || quiet(m.zone)) continue;
        if (late(m)) {
            silent.emplace(m.id, m.silent);
        } else if (auto it = silent_.find(m.id); it != silent_.end()) {
            history_.ended(it->second, now);
        }
    }
    silent_ = std::move(silent);
}

// --- Asked ----------------------------------------------------------------------------------------------

// Workers that get no answer turn to the other controllers, so these know: if they hear machines, one of them
// should lead; if they hear none after the time a worker takes to turn to them, the machines are gone.
bool FailureDetector::should_resign() const {
    if (!doubt_ || !elsewhere_ || *elsewhere_ == 0 || longest_ <= wait_) return false;
    // What was given up a moment ago is silent here, too, and nobody is asked about it: a leader that had
    // given up seven machines that hear nothing gave way for the sake of one more.
    std::size_t gone = evictions_.size();
    double enough = doubt_->deaf ? share(up_ + gone, deaf_share) : share(doubt_->silent.size() + gone, 0.5);
    return static_cast<double>(*elsewhere_) >= enough;
}

// --- Judged ---------------------------------------------------------------------------------------------

bool FailureDetector::may_evict() const {
    return !own_.behind && (!doubt_ || (elsewhere_ && *elsewhere_ * 2 < doubt_->silent.size()));
}

double FailureDetector::patience(const Observation& m) const {
    const auto& l = limits_;
    double turn = l.report_s * turn_reports;
    double wait = wait_ + (doubt_ && crowded_ ? turn : 0);
    if (!m.reconciled) {
        // Nothing is placed while it may hold anything, and one that is well answers a direct command at
        // once. Not so if this leader reaches none itself, and hears only what others pass on: a worker may
        // try every other controller in vain before it comes to one that hears it.
        double unreconciled =
            own_.reaches ? std::min(wait_, l.report_s * unsettled_reports)
                         : wait_ + l.report_s + static_cast<double>(l.peers) * protocol::heartbeat_retry_s;
        if (doubt_) unreconciled = std::max(unreconciled, wait_ + turn);
        if (!m.known) return unreconciled;
        wait = std::max(wait, unreconciled);  // it holds nothing up
    }
    if (lost_routes_.contains(m.route)) wait += turn;
    // Its tasks run on until its lease is out, and are then proven gone without a deletion.
    if (quiet(m.zone))
        return std::max(wait, l.lease_s * (m.eviction_cost == EvictionCost::nothing ? zone_leases
                                           : m.reconciled                           ? zone_tasks_leases
                                                                                    : zone_unsettled_leases));
    if (m.eviction_cost == EvictionCost::nothing) return std::max(wait, l.lease_s * empty_leases);
    if (m.eviction_cost == EvictionCost::work)
        wait = std::max(wait, std::min(wait * work_patience, l.lease_s));
    // As long as one that has been silent for so long is likely enough to speak.
    if (m.silent >= wait && history_.speaks_within(m.silent, l.report_s) * loss_reports > 1)
        return m.silent + l.report_s;
    return wait;
}
Health FailureDetector::judge(const Observation& m) const {
    if (m.silent > limits_.report_s * unsettled_reports && m.silent > patience(m)) return Health::Dead;
    return late(m) || quiet(m.zone) ? Health::Suspected : Health::Alive;
}
void FailureDetector::evicted(const Observation& m, double now) {
    evictions_.push_back(now);
    if (m.reconciled && !quiet(m.zone)) history_.cut_short(m.silent, now);
    silent_.erase(std::string(m.id));
}

std::string FailureDetector::evidence(const Observation& m) const {
    static constexpr const char* stakes[] = {"nobody waits", "only its own work waits", "others wait"};
    char text[160];
    std::snprintf(text, sizeof text, "is silent for %.1f s, patience %.1f s, %s for it%s%s%s", m.silent,
                  patience(m), stakes[static_cast<std::size_t>(m.eviction_cost)],
                  m.reconciled ? "" : ", not settled", quiet(m.zone) ? ", its zone is quiet" : "",
                  doubt_ ? ", no other hears it" : "");
    return text;
}

// --- Machines that boot ---------------------------------------------------------------------------------

// At times new machines come up several times as late. Given up after the usual time each of them was deleted
// a moment before it would have come, and another rented that was no faster: 300 machines stood for 500
// needed. A new leader knows nothing of that yet, so it begins patiently.
void FailureDetector::booted(double boots) {
    slowest_boot_ = std::clamp(std::max(boots, slowest_boot_ * boots_kept), usual_boots, most_boots);
}
// In a zone that is cut off it may be up, and is needed as soon as the cut ends.
bool FailureDetector::overdue(double boots, std::size_t zone, double now) const {
    return boots > slowest_boot_ * overdue_ratio && !dark(zone, now);
}

}  // namespace coralhitch::membership

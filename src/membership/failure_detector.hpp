// Who is alive? All judgement of machines, zones and routes, in the order in which it is made: heard,
// suspected, asked, judged. Pure: the clock, and what was heard, are handed in.
//
// Suspicion costs nothing that can't be taken back. A verdict deletes a machine and all that is on it, so it
// weighs what that costs against what waiting costs. docs/membership.md argues the rules.
#pragma once
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "membership/heartbeat_history.hpp"

namespace coralhitch::membership {

struct Limits {
    double report_s = 0, lease_s = 0;  // of workers, seconds
    double silence_reports = 0;        // report periods of silence after which others wait too long
    std::size_t peers = 0;             // other controllers
};

// Who pays if the machine is dead and it is waited for.
enum class EvictionCost {
    nothing,  // nobody: it holds no task
    work,     // tasks that run and save by themselves: given up, they lose as much again
    awaited,  // users of replicas, the other tasks of a gang, or a task that has not started
};

// A machine that is up, as seen at one moment.
struct Observation {
    std::string_view id, route;  // route: the controller through which it was heard; empty: the leader itself
    std::size_t zone = 0;
    double silent = 0;        // seconds, as far as that is the machine's fault
    double heard_at = 0;      // on the leader's clock
    bool reconciled = false;  // it has answered this leader
    bool known = false;  // or the leader before told what may be on it; if neither, it holds up all placing
    EvictionCost eviction_cost = EvictionCost::nothing;
    double unreached = 0;  // seconds for which nothing showed that it is reached, though it is heard
};

// What the leader knows of itself.
struct LeaderLoad {
    bool behind = false;   // it has not the processor to hear in time
    bool reaches = false;  // a machine answered its direct question lately
};

// Why the leader may be the one that is cut off. Others are asked before anything is given up.
struct SelfSuspicion {
    bool deaf = false;                     // it hears next to nobody
    std::map<std::string, double> silent;  // machines of which others are asked, and for how long, seconds
};

enum class Health { Alive, Suspected, Dead };

class FailureDetector {
  public:
    explicit FailureDetector(const Limits& limits);

    // --- Heard ---
    void heard_from(std::size_t zone, double now);
    // Nothing is heard from a zone where machines were up: it is cut off, rather than its machines all dead.
    // For a bounded time, since a zone of few machines may really lose them all.
    bool dark(std::size_t zone, double now) const;

    // --- Suspected: once a tick, all machines that are up ---
    // To be heard without being reached counts as silence.
    void look(std::span<Observation> machines, const LeaderLoad& own, double now);
    std::size_t up() const { return up_; }
    const std::optional<SelfSuspicion>& self_suspicion() const { return doubt_; }
    bool quiet(std::size_t zone) const { return quiet_.contains(zone); }
    bool late(const Observation& m) const;  // it should have been heard by now: it is asked

    // --- Asked: how many of the doubtful machines another controller hears; nothing if none answers ---
    void answered(std::optional<std::size_t> elsewhere) { elsewhere_ = elsewhere; }
    bool should_resign() const;

    // --- Judged ---
    // Whether verdicts may be carried out at all.
    bool may_evict() const;
    Health judge(const Observation& m) const;
    // For how long a machine like this is waited for, seconds of silence.
    double patience(const Observation& m) const;
    void evicted(const Observation& m, double now);

    // Machines that boot: a machine came up, or has not yet, after so many nominal boot times.
    void booted(double boots);
    bool overdue(double boots, std::size_t zone, double now) const;

    // For the log: what speaks for a verdict.
    std::string evidence(const Observation& m) const;

  private:
    struct Zone {
        double heard = -1;
        std::size_t up = 0, lately = 0;
    };
    void find_quiet_zones(double now);
    void find_lost_routes(std::span<const Observation> machines, double now);
    void learn(std::span<const Observation> machines, double now);

    Limits limits_;
    double wait_, lately_;  // seconds: for a machine that others wait for; in which half of all are heard
    std::vector<Zone> zones_;
    std::set<std::size_t> quiet_;
    std::map<std::string, double, std::less<>>
        lost_routes_;                                    // until when machines that came by it are waited for
    std::deque<double> evictions_;                       // when machines were, lately
    std::map<std::string, double, std::less<>> silent_;  // one by one, at the last look: for how long
    HeartbeatHistory history_;
    std::optional<SelfSuspicion> doubt_;
    std::optional<std::size_t> elsewhere_;
    LeaderLoad own_;
    std::size_t up_ = 0;
    bool crowded_ = false;  // many are silent that no quiet zone explains
    double longest_ = 0, slowest_boot_;
};

}  // namespace coralhitch::membership

// Which machines, zones and routes are alive. All decisions about that, in the order in which they are made:
// heartbeats are recorded, machines are suspected, peers are asked, machines are evaluated.
//
// A suspicion costs nothing that can't be taken back. An eviction deletes a machine and all that is on it, so
// it weighs what that costs against what waiting costs. docs/membership.md argues the rules.
//
// Pure: no I/O, and the clock is handed in. All times are seconds of the leader's clock. Not thread-safe:
// used from the event loop only.
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
#include "membership/observation.hpp"

namespace coralhitch::membership {

struct FailureDetectorLimits {
    double heartbeat_interval_s = 0;       // heartbeat period of the agents, seconds
    double lease_s = 0;                    // lease of the agents, seconds
    double suspicion_timeout_periods = 0;  // heartbeat periods of silence after which others wait too long
    std::size_t peers = 0;                 // other controllers
};

// Why the leader may be the one that is cut off. Peers are asked before any machine is evicted.
struct SelfSuspicion {
    bool isolated = false;                            // it receives next to no heartbeats
    std::map<std::string, double> missed_heartbeats;  // machines to ask the peers about; silence, seconds
};

enum class Health { alive, suspected, dead };

class FailureDetector {
  public:
    explicit FailureDetector(const FailureDetectorLimits& limits);

    // --- Recording ---
    // A heartbeat came from a machine of this zone. An earlier time than the last one changes nothing.
    void record_heartbeat(std::size_t zone, double now);
    // No heartbeat comes from a zone where machines were up: it is cut off, rather than its machines all
    // dead. True for a bounded time only, since a zone of few machines may really lose them all.
    [[nodiscard]] bool zone_silent(std::size_t zone, double now) const;

    // --- Suspicion ---
    // Once a tick, with all machines that are up. Raises the silence of those that nothing reaches to the
    // time for which that is so, and replaces all that the last call found. Everything below refers to it.
    void observe(std::span<Observation> machines, const LeaderCondition& leader, double now);
    [[nodiscard]] std::size_t machines_up() const { return machines_up_; }
    [[nodiscard]] const std::optional<SelfSuspicion>& self_suspicion() const { return self_suspicion_; }
    // Next to no heartbeats come from this zone, while others send theirs as usual.
    [[nodiscard]] bool zone_unreachable(std::size_t zone) const { return unreachable_zones_.contains(zone); }
    // A heartbeat is overdue, so the machine is probed.
    [[nodiscard]] bool missed_heartbeat(const Observation& machine) const;

    // --- Asking peers ---
    // From how many of `SelfSuspicion::missed_heartbeats` a peer has received heartbeats; nullopt if no peer
    // answered. Valid until the next `observe`.
    void set_heartbeats_seen_by_peers(std::optional<std::size_t> machines) { seen_by_peers_ = machines; }
    // A peer receives the heartbeats that this leader misses, so it should lead.
    [[nodiscard]] bool should_resign() const;

    // --- Evaluation ---
    // Whether machines may be evicted at all.
    [[nodiscard]] bool may_evict() const;
    [[nodiscard]] Health evaluate(const Observation& machine) const;
    // After so many seconds of silence a machine like this is dead.
    [[nodiscard]] double suspicion_timeout_s(const Observation& machine) const;
    // The machine is to be deleted.
    void record_eviction(const Observation& machine, double now);

    // --- Booting machines; durations in nominal boot times of the machine type ---
    // A machine came up after so long.
    void record_boot(double boots);
    // One that has not come up after so long is not expected any more.
    [[nodiscard]] bool boot_overdue(double boots, std::size_t zone, double now) const;

    // For the log, as key=value: what an eviction of this machine rests on.
    [[nodiscard]] std::string evidence(const Observation& machine) const;

  private:
    struct Zone {
        std::optional<double> last_heartbeat_at;
        std::size_t up = 0, recent = 0;  // machines that are up; those of them with a recent heartbeat
    };
    // The whole fleet in the present observation.
    struct FleetCounts {
        std::size_t recent = 0;
        double new_silence_s = 0;  // the longest silence that is no longer than twice the timeout
    };

    // The steps of `observe`, in this order.
    void count_unreached_as_silent(std::span<Observation> machines) const;
    void start_observation(std::size_t machines, const LeaderCondition& leader, double now);
    FleetCounts count_by_zone(std::span<const Observation> machines);
    void find_unreachable_zones(double now);
    void find_lost_routes(std::span<const Observation> machines, double now);
    void record_ended_silences(std::span<const Observation> machines, double now);
    void update_self_suspicion(std::span<const Observation> machines, const FleetCounts& fleet);

    [[nodiscard]] double unreconciled_timeout_s() const;
    [[nodiscard]] double unreachable_zone_timeout_s(const Observation& machine) const;

    FailureDetectorLimits limits_;
    double base_timeout_s_;    // for a machine that others wait for
    double recent_s_;          // half of a fleet that is well sent a heartbeat within this time
    std::vector<Zone> zones_;  // by index
    std::set<std::size_t> unreachable_zones_;
    std::map<std::string, double, std::less<>> lost_routes_;      // until when machines get more time for it
    std::deque<double> evictions_;                                // times of those within the last lease
    std::map<std::string, double, std::less<>> silent_machines_;  // at the last observation; silence, seconds
    HeartbeatHistory history_;
    std::optional<SelfSuspicion> self_suspicion_;
    std::optional<std::size_t> seen_by_peers_;
    LeaderCondition leader_;
    std::size_t machines_up_ = 0;
    bool mass_silence_ = false;  // many machines are silent that no unreachable zone explains
    double longest_silence_s_ = 0;
    double slowest_boot_;  // nominal boot times
};

}  // namespace coralhitch::membership

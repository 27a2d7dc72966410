// Decides which machines, zones and routes are alive. The steps are, in this order: heartbeats are recorded,
// machines are suspected, peers are asked, and machines are evaluated.
//
// A suspicion has no lasting effect. An eviction deletes a machine with all its tasks, so its cost is weighed
// against the cost of waiting. docs/membership.md justifies the rules.
//
// No I/O, and the caller passes the time. All times are seconds of the leader's clock. Not thread safe: used
// on the event loop's thread only.
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

// The settings of the failure detector.
struct FailureDetectorLimits {
    double heartbeat_interval_s = 0;  // heartbeat period of the agents, seconds
    double lease_s = 0;               // lease of the agents, seconds
    // Timeout, in heartbeat periods, of a machine with tasks that others wait for.
    double suspicion_timeout_periods = 0;
    std::size_t peers = 0;  // number of other controllers
};

// The reason for which the leader suspects that it is cut off itself. Peers must be asked before any machine
// is evicted.
struct SelfSuspicion {
    bool isolated = false;  // the leader receives almost no heartbeats
    // The machines to ask the peers about, with their silence in seconds.
    std::map<std::string, double> missed_heartbeats;
};

// The verdict on a machine. A suspected machine may still be alive, a dead one is to be evicted.
enum class Health { alive, suspected, dead };

// The failure detector of the leader. `observe` must be called before the functions that follow it.
class FailureDetector {
  public:
    explicit FailureDetector(const FailureDetectorLimits& limits);

    // --- Recording ---
    // Records a heartbeat from a machine of this zone. A time before the last one has no effect.
    void record_heartbeat(std::size_t zone, double now);
    // Returns true if no heartbeats come from a zone that has sent some before. The zone is then assumed to
    // be cut off. This assumption holds for a bounded time, since all machines of a small zone may really be
    // dead.
    [[nodiscard]] bool zone_silent(std::size_t zone, double now) const;

    // --- Suspicion ---
    // Evaluates all machines that are up. Must be called once in each tick of the leader. Raises `silence_s`
    // of a machine that no message reaches to `unreached_s`. The results replace those of the last call, and
    // all functions below use them.
    void observe(std::span<Observation> machines, const LeaderCondition& leader, double now);
    [[nodiscard]] std::size_t machines_up() const { return machines_up_; }
    // Returns the leader's suspicion of itself; nullopt if there is none.
    [[nodiscard]] const std::optional<SelfSuspicion>& self_suspicion() const { return self_suspicion_; }
    // Returns true if this zone sends almost no heartbeats while other zones send theirs as usual.
    [[nodiscard]] bool zone_unreachable(std::size_t zone) const { return unreachable_zones_.contains(zone); }
    // Returns true if a heartbeat is overdue. The leader then probes the machine.
    [[nodiscard]] bool has_missed_heartbeat(const Observation& machine) const;

    // --- Asking peers ---
    // Sets the number of machines in `SelfSuspicion::missed_heartbeats` from which a peer has received
    // heartbeats; nullopt if no peer answered. Valid until the next `observe`.
    void set_heartbeats_seen_by_peers(std::optional<std::size_t> machines) { seen_by_peers_ = machines; }
    // Returns true if a peer receives heartbeats that this leader misses, so that the peer should lead.
    [[nodiscard]] bool should_resign() const;

    // --- Evaluation ---
    // Returns true if machines may be evicted: the leader is not overloaded, and either does not suspect
    // itself or knows that its peers see fewer than half of the machines asked about.
    [[nodiscard]] bool may_evict() const;
    [[nodiscard]] Health evaluate(const Observation& machine) const;
    // Returns the silence, in seconds, after which a machine in this condition is dead.
    [[nodiscard]] double suspicion_timeout_s(const Observation& machine) const;
    // Records that the machine is about to be deleted.
    void record_eviction(const Observation& machine, double now);

    // --- Booting machines; durations in nominal boot times of the machine type ---
    // Records that a machine came up after `boots` nominal boot times.
    void record_boot(double boots);
    // Returns true if a machine that is not up after `boots` nominal boot times should be replaced.
    [[nodiscard]] bool boot_overdue(double boots, std::size_t zone, double now) const;

    // Returns the reasons for an eviction of this machine for the log, as key=value pairs.
    [[nodiscard]] std::string evidence(const Observation& machine) const;

  private:
    struct Zone {
        std::optional<double> last_heartbeat_at;
        std::size_t up = 0, recent = 0;  // machines that are up; machines with a recent heartbeat
    };
    // Figures of the whole fleet in the current observation.
    struct FleetCounts {
        std::size_t recent = 0;    // machines with a recent heartbeat
        double new_silence_s = 0;  // the longest silence below twice the base timeout
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
    double base_timeout_s_;  // timeout of a machine that others wait for
    double recent_s_;  // a heartbeat is recent for this long; half of a healthy fleet sends one within it
    std::vector<Zone> zones_;  // by index
    std::set<std::size_t> unreachable_zones_;
    std::map<std::string, double, std::less<>> lost_routes_;  // by route: time until which it counts as lost
    std::deque<double> evictions_;                            // times of the evictions within the last lease
    // Machines that had missed a heartbeat at the last observation, with their silence in seconds.
    std::map<std::string, double, std::less<>> silent_machines_;
    HeartbeatHistory history_;
    std::optional<SelfSuspicion> self_suspicion_;
    std::optional<std::size_t> seen_by_peers_;
    LeaderCondition leader_;
    std::size_t machines_up_ = 0;
    bool mass_silence_ = false;  // many machines outside unreachable zones are silent
    double longest_silence_s_ = 0;
    double slowest_boot_;  // estimate of the slowest recent boot, in nominal boot times
};

}  // namespace coralhitch::membership

// Which machines have recently sent a heartbeat to this controller while another one led.
//
// The list goes out in this controller's pings; a leader that misses heartbeats compares it with its own view
// before it fences machines or resigns. Delayed copies of a heartbeat can arrive seconds to several worker
// leases late, after any number of newer ones. They must not count as a sign of life: a healthy leader would
// resign, or a dead machine would be kept.
//
// Not thread safe; times are seconds of the injected clock.
#pragma once
#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>

#include "protocol/numbers.hpp"

namespace coralhitch::relay {

class HeartbeatTracker {
  public:
    // `recent_s`: for so long after its last heartbeat a machine counts as recently seen. `retention_s`: for
    // so long the newest heartbeat of a machine is remembered, to recognise late copies.
    HeartbeatTracker(double recent_s, double retention_s) : recent_s_(recent_s), retention_s_(retention_s) {}

    // A heartbeat has arrived. Ignored unless it is newer, by agent epoch and sequence number, than all that
    // came from this machine before.
    void record(std::string_view machine, protocol::AgentEpoch agent_epoch, protocol::SequenceNumber sequence,
                double now) {
        auto& entry = entries_[std::string(machine)];
        Position position{agent_epoch, sequence};
        if (!position.is_after(entry.newest)) return;
        entry = {now, now, position};
    }
    // Whether the machine sent a new heartbeat at `since` or later.
    [[nodiscard]] bool seen_since(const std::string& machine, double since) const {
        auto it = entries_.find(machine);
        return it != entries_.end() && it->second.last_seen && *it->second.last_seen >= since;
    }
    // Number of machines seen within `recent_s`.
    [[nodiscard]] std::size_t recent_count(double now) const {
        auto count = std::count_if(entries_.begin(), entries_.end(),
                                   [&](auto& entry) { return recent(entry.second, now); });
        return static_cast<std::size_t>(count);
    }
    // Calls visit(machine, seconds since its last heartbeat) for each machine seen within `recent_s`.
    template <class Visitor>
    void for_each_recent(double now, Visitor visit) const {
        for (auto& [machine, entry] : entries_)
            if (recent(entry, now)) visit(machine, now - *entry.last_seen);
    }
    // Called when this controller becomes the leader, whose heartbeats are recorded elsewhere: no machine
    // counts as recently seen, but the newest heartbeats stay known.
    void reset_recent() {
        for (auto& [machine, entry] : entries_) entry.last_seen.reset();
    }
    // Forgets machines whose last new heartbeat is older than `retention_s`.
    void expire(double now) {
        std::erase_if(entries_, [&](auto& entry) { return now - entry.second.recorded_at > retention_s_; });
    }

  private:
    struct Position {
        protocol::AgentEpoch agent_epoch;
        protocol::SequenceNumber sequence;
        [[nodiscard]] bool is_after(const Position& other) const {
            return std::tie(agent_epoch, sequence) > std::tie(other.agent_epoch, other.sequence);
        }
    };
    struct Entry {
        std::optional<double> last_seen;  // none after reset_recent()
        double recorded_at = 0;
        Position newest;
    };
    bool recent(const Entry& entry, double now) const {
        return entry.last_seen && now - *entry.last_seen <= recent_s_;
    }
    double recent_s_, retention_s_;
    std::unordered_map<std::string, Entry> entries_;  // by machine
};

}  // namespace coralhitch::relay

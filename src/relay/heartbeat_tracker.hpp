// Tracks which machines have recently sent a heartbeat to this controller while another controller led.
//
// This controller's pings contain the list. A leader that misses heartbeats compares the list with its own
// view before it evicts machines or resigns. Delayed copies of a heartbeat can arrive seconds or several
// agent leases late, after any number of newer heartbeats. They must not count as a sign of life: a healthy
// leader would resign, or a dead machine would not be evicted.
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

// The latest heartbeat of each machine.
class HeartbeatTracker {
  public:
    // A machine counts as recently seen for `recent_s` seconds after its last heartbeat. Its latest heartbeat
    // is remembered for `retention_s` seconds, to recognise delayed copies.
    HeartbeatTracker(double recent_s, double retention_s) : recent_s_(recent_s), retention_s_(retention_s) {}

    // Records a heartbeat. Ignores it unless it is newer, by agent epoch and sequence number, than all
    // earlier heartbeats of this machine.
    void record(std::string_view machine, protocol::AgentEpoch agent_epoch, protocol::SequenceNumber sequence,
                double now) {
        auto& entry = entries_[std::string(machine)];
        Position position{agent_epoch, sequence};
        if (!position.is_after(entry.newest)) return;
        entry = {now, now, position};
    }
    // Returns true if a new heartbeat of the machine arrived at `since` or later.
    [[nodiscard]] bool seen_since(const std::string& machine, double since) const {
        auto it = entries_.find(machine);
        return it != entries_.end() && it->second.last_seen && *it->second.last_seen >= since;
    }
    // Returns the number of machines seen within `recent_s`.
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
    // Makes no machine count as recently seen, but keeps the latest heartbeats for recognising copies. Called
    // when this controller becomes the leader, since a leader records heartbeats elsewhere.
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

// The sequence of leaderships that a controller has observed.
//
// A new leader that inherits a replica must know every leader between that replica's leader and itself, since
// each of them may have started tasks that the replica lacks. The history is complete as long as the watch on
// the leader's key has had no gap. After a gap the history starts anew, because leaderships may be missing.
#pragma once
#include <cstdint>
#include <vector>

#include "protocol/numbers.hpp"

namespace coralhitch::election {

// One leadership, as seen in the leader's key.
struct ObservedLeadership {
    protocol::LeaderVersion version;  // version of the leader's key, which is the fencing token
    // True if the leader stores which followers are in sync before its first start, see
    // protocol::LeaderRecord.
    bool stores_in_sync_replicas = false;
};

// Consecutive leaderships up to a known revision of the store.
struct LeadershipHistory {
    std::vector<ObservedLeadership> leaderships;  // ascending by version; the 16 latest
    // Store revision up to which no leadership is missing. Later ones must be read from the store.
    std::uint64_t known_until_revision = 0;

    [[nodiscard]] bool ends_with(protocol::LeaderVersion version) const;
    // Adds the leadership that directly followed the latest one. Does nothing if it is the latest one.
    void append(ObservedLeadership leadership);
    // Adds a leadership that was read from the key, so that earlier ones may have been missed. Drops all
    // others unless it is the latest known one.
    void append_after_gap(ObservedLeadership leadership);
    // Records that no leadership is missing up to this revision.
    void extend_to(std::uint64_t revision);
};

}  // namespace coralhitch::election

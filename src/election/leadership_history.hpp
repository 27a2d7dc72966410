// Which leaderships a controller has observed, one after the other.
//
// A new leader that inherits a replica must know who led between that replica's leader and itself: any of
// those may have started tasks that the replica lacks. The history is gapless as long as the watch on the
// leader's key went on without a gap; after a gap it starts anew, since what came before proves nothing.
#pragma once
#include <cstdint>
#include <vector>

namespace coralhitch::election {

struct ObservedLeadership {
    std::uint64_t version = 0;  // of the leader's key: its fencing token
    // Whether this leader stores who replicates from it before its first start, see protocol::LeaderRecord.
    bool stores_in_sync_replicas = false;
};

struct LeadershipHistory {
    std::vector<ObservedLeadership> leaderships;  // ascending by version, the latest last; bounded
    // Store revision up to which none is missing. What came after it must be read from the store.
    std::uint64_t known_until_revision = 0;

    [[nodiscard]] bool ends_with(std::uint64_t version) const;
    // Adds the leadership that followed the latest one; nothing if it is the latest one.
    void append(ObservedLeadership leadership);
    // Adds a leadership that was read without a watch since the latest one: drops those before it, unless it
    // is the latest one.
    void append_after_gap(ObservedLeadership leadership);
    // No leadership is missing up to that revision.
    void extend_to(std::uint64_t revision);
};

}  // namespace coralhitch::election

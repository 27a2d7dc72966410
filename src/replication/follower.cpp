#include "replication/follower.hpp"

#include <utility>

namespace coralhitch::replication {

bool Follower::outdated(const protocol::ReplicationRequest& batch) const {
    return batch.leader_version < replica_.leader_version ||
           (batch.leader_version == replica_.leader_version &&
            batch.sequence_number <= replica_.last_batch_number);
}

// Switches to a later leadership, which either continues this replica or begins a new one. Returns false and
// changes nothing if the batch continues a replica other than this one.
bool Follower::follow_leader(const protocol::ReplicationRequest& batch) {
    if (batch.base_version.is_set() && batch.base_version != replica_.base_version) return false;
    if (!batch.base_version.is_set())
        replica_ = {protocol::LeaderVersion::none(), 0, batch.leader_version, false, {}};
    replica_.leader_version = batch.leader_version;
    return true;
}

protocol::ReplicationResponse Follower::apply(protocol::ReplicationRequest batch) {
    if (outdated(batch) || (batch.leader_version > replica_.leader_version && !follow_leader(batch)))
        return {false, incarnation_, replica_.base_version};
    replica_.last_batch_number = batch.sequence_number;
    replica_.complete |= batch.snapshot_complete;
    for (auto& row : batch.rows) {
        if (row.deleted) {
            replica_.machines.erase(row.machine);
        } else {
            auto id = row.machine;
            replica_.machines.insert_or_assign(std::move(id), std::move(row));
        }
    }
    return {true, incarnation_, replica_.base_version};
}

}  // namespace coralhitch::replication

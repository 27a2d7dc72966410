// The receiving side of replication: applies the leader's batches to this controller's replica.
//
// Not thread safe.
#pragma once
#include <cstdint>

#include "protocol/peer_messages.hpp"
#include "replication/replica_state.hpp"

namespace coralhitch::replication {

class Follower {
  public:
    // `incarnation`: of this process.
    explicit Follower(std::uint64_t incarnation) : incarnation_(incarnation) {}
    // Applies a batch. Rejected (`taken` false in the answer) is a batch of an earlier leadership or one that
    // arrives after a later batch: it was delayed, and its contents may be outdated. So is one that continues
    // another replica than this one.
    protocol::ReplicationResponse apply(protocol::ReplicationRequest batch);
    [[nodiscard]] const ReplicaState& replica() const { return replica_; }

  private:
    [[nodiscard]] bool outdated(const protocol::ReplicationRequest& batch) const;
    [[nodiscard]] bool follow_leader(const protocol::ReplicationRequest& batch);

    std::uint64_t incarnation_;
    ReplicaState replica_;
};

}  // namespace coralhitch::replication

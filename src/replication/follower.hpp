// The receiving side of replication: applies the leader's batches to this controller's replica.
//
// Not thread safe.
#pragma once
#include <cstdint>

#include "protocol/numbers.hpp"
#include "protocol/peer_messages.hpp"
#include "replication/replica_state.hpp"

namespace coralhitch::replication {

// Holds this controller's replica and decides which batches may change it.
class Follower {
  public:
    // `incarnation` identifies this process.
    explicit Follower(protocol::Incarnation incarnation) : incarnation_(incarnation) {}
    // Applies a batch, or rejects it (`applied` is false in the response). A batch of an earlier leadership,
    // or one that arrives after a later batch, is rejected because it was delayed and its contents may be
    // outdated. A batch that continues a replica other than this one is rejected as well.
    protocol::ReplicationResponse apply(protocol::ReplicationRequest batch);
    [[nodiscard]] const ReplicaState& replica() const { return replica_; }

  private:
    [[nodiscard]] bool outdated(const protocol::ReplicationRequest& batch) const;
    [[nodiscard]] bool follow_leader(const protocol::ReplicationRequest& batch);

    protocol::Incarnation incarnation_;
    ReplicaState replica_;
};

}  // namespace coralhitch::replication

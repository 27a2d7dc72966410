// What a controller that does not lead knows of the leader's machines, from the leader.
//
// All of it is a hint until `replication::judge` says otherwise: a copy may be old, half received, or of a
// leadership that others followed.
#pragma once
#include <cstdint>
#include <string>
#include <unordered_map>

#include "protocol/peer_messages.hpp"

namespace coralhitch::replication {

struct ReplicaState {
    std::uint64_t version = 0;  // of the leadership that told it; 0: nothing is known
    std::uint64_t number = 0;   // of the last piece taken
    std::uint64_t begun = 0;    // the leadership that began it from nothing
    bool whole = false;         // the leadership of `version` has told all
    std::unordered_map<std::string, protocol::PeerMachineRow> rows;  // by machine
};

class Follower {
  public:
    explicit Follower(std::uint64_t incarnation) : incarnation_(incarnation) {}
    // A piece of an earlier leadership, or one that comes after a later piece, is refused: it was held up on
    // its way, and what it says may be over. So is one that goes on from another copy than is here.
    protocol::PeerFleetAnswer take(protocol::PeerFleet piece);
    const ReplicaState& copy() const { return copy_; }

  private:
    std::uint64_t incarnation_;
    ReplicaState copy_;
};

}  // namespace coralhitch::replication

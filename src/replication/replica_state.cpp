#include "replication/replica_state.hpp"

namespace coralhitch::replication {

protocol::PeerFleetAnswer Follower::take(protocol::PeerFleet piece) {
    if (piece.leader_version < copy_.version ||
        (piece.leader_version == copy_.version && piece.number <= copy_.number))
        return {false, incarnation_, copy_.begun};
    if (piece.leader_version > copy_.version) {
        if (piece.begun != 0 && piece.begun != copy_.begun) return {false, incarnation_, copy_.begun};
        if (piece.begun == 0) copy_ = {0, 0, piece.leader_version, false, {}};
        copy_.version = piece.leader_version;
    }
    copy_.number = piece.number;
    copy_.whole |= piece.whole;
    for (auto& row : piece.rows) {
        if (row.gone) {
            copy_.rows.erase(row.machine);
        } else {
            auto id = row.machine;
            copy_.rows.insert_or_assign(std::move(id), std::move(row));
        }
    }
    return {true, incarnation_, copy_.begun};
}

}  // namespace coralhitch::replication

#include "standby/copy.hpp"

namespace coralhitch::standby {

wire::PeerFleetAnswer Follower::take(wire::PeerFleet piece) {
    if (piece.leader_version < copy_.version ||
        (piece.leader_version == copy_.version && piece.number <= copy_.number))
        return {false, incarnation_};
    if (piece.leader_version > copy_.version) copy_ = {piece.leader_version, 0, {}};
    copy_.number = piece.number;
    for (auto& row : piece.rows) {
        if (row.gone) {
            copy_.rows.erase(row.machine);
        } else {
            auto id = row.machine;
            copy_.rows.insert_or_assign(std::move(id), std::move(row));
        }
    }
    return {true, incarnation_};
}

}  // namespace coralhitch::standby

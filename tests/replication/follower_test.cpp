// Tests which batches a follower applies and which it rejects.
#include "replication/follower.hpp"

#include <gtest/gtest.h>

#include "protocol/peer_messages.hpp"

namespace coralhitch::replication {
namespace {

protocol::ReplicatedMachine row_of(const std::string& id, std::uint64_t agent_epoch = 1) {
    return {id, true, false, protocol::AgentEpoch{agent_epoch}, protocol::SequenceNumber::none(), {}};
}

TEST(Follower, AppliesBatchesInOrderOfOneLeadershipAtATime) {
    Follower follower(protocol::Incarnation{9});
    struct Case {
        const char* name;
        std::uint64_t version, number;
        protocol::ReplicatedMachine row;
        bool applied;
        std::size_t rows;  // in the replica afterwards
    };
    auto deleted = row_of("vm-1");
    deleted.deleted = true;
    const Case cases[] = {
        {"the first batch", 5, 3, row_of("vm-1"), true, 1},
        {"another machine", 5, 4, row_of("vm-2"), true, 2},
        {"a delayed batch, older than the last one applied", 5, 2, deleted, false, 2},
        {"the number of the last batch again", 5, 4, deleted, false, 2},
        {"a machine was deleted", 5, 6, deleted, true, 1},
        {"a batch of the previous leader, which resumed after a pause", 4, 90, row_of("vm-7"), false, 1},
        {"a new replica of the next leader, which replaces the old one", 8, 1, row_of("vm-3"), true, 1},
    };
    for (auto& c : cases) {
        SCOPED_TRACE(c.name);
        auto response = follower.apply(
            {protocol::LeaderVersion{c.version}, c.number, {c.row}, protocol::LeaderVersion::none()});
        EXPECT_EQ(response.applied, c.applied);
        EXPECT_EQ(response.incarnation, protocol::Incarnation{9});
        EXPECT_EQ(follower.replica().machines.size(), c.rows);
    }
    EXPECT_EQ(follower.replica().leader_version, protocol::LeaderVersion{8});
}

}  // namespace
}  // namespace coralhitch::replication

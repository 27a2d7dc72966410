// Which batches a follower applies.
#include "replication/follower.hpp"

#include <gtest/gtest.h>

#include "protocol/peer_messages.hpp"

namespace coralhitch::replication {
namespace {

protocol::ReplicatedMachine row_of(const std::string& id, std::uint64_t agent_epoch = 1) {
    return {id, true, false, agent_epoch, 0, {}};
}

TEST(Follower, AppliesBatchesInOrderOfOneLeadershipAtATime) {
    Follower f(9);
    struct Case {
        const char* name;
        std::uint64_t version, number;
        protocol::ReplicatedMachine row;
        bool taken;
        std::size_t rows;
    };
    auto gone = row_of("vm-1");
    gone.deleted = true;
    const Case cases[] = {
        {"the first", 5, 3, row_of("vm-1"), true, 1},
        {"more", 5, 4, row_of("vm-2"), true, 2},
        {"delayed, and older than what came", 5, 2, gone, false, 2},
        {"again", 5, 4, gone, false, 2},
        {"a machine is gone", 5, 6, gone, true, 1},
        {"of the previous leader, which woke", 4, 90, row_of("vm-7"), false, 1},
        {"of the next leader: what came before is dropped", 8, 1, row_of("vm-3"), true, 1},
    };
    for (auto& c : cases) {
        SCOPED_TRACE(c.name);
        auto a = f.apply({c.version, c.number, {c.row}});
        EXPECT_EQ(a.applied, c.taken);
        EXPECT_EQ(a.incarnation, 9u);
        EXPECT_EQ(f.replica().machines.size(), c.rows);
    }
    EXPECT_EQ(f.replica().leader_version, 8u);
}

}  // namespace
}  // namespace coralhitch::replication

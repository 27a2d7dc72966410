// Tests of the autoscaler: which machines are created and deleted for a given demand.
#include "autoscaler/autoscaler.hpp"

#include <gtest/gtest.h>

#include <algorithm>

#include "protocol/model.hpp"

namespace coralhitch::autoscaler {
namespace {

config::Settings settings() {
    config::Settings s;
    s.heartbeat_interval_s = 3;
    s.teams = {{"free", 0, 0, 0, 0}};
    return s;
}
const std::vector<scheduler::Pool> pools{{"g4", "z1", false, 0, {16, 4, 64}, 0.2},
                                         {"g4", "z2", false, 1, {16, 4, 64}, 0.2},
                                         {"g4", "z1", true, 0, {16, 4, 64}, 0.2},
                                         {"g4", "z2", true, 1, {16, 4, 64}, 0.2}};
// Returns an array job whose tasks request one GPU each.
protocol::Job job(std::uint32_t tasks) {
    protocol::Job job;
    job.id = "j-1";
    job.kind = protocol::JobKind::array;
    job.tasks = tasks;
    job.request = {1, 1, 1};
    job.team = "free";
    job.image = "img";
    return job;
}

TEST(Autoscaler, ScalesOutForDemandAndScalesTheSurplusIn) {
    auto s = settings();
    Input input;
    input.types = {{"g4", {16, 4, 64}, 100, 1, 10, 4, 30, {"z1", "z2"}}};
    input.pools = pools;
    input.zones = 2;
    auto waiting = job(8);
    input.demand.push_back({&waiting, 8, {}});
    auto count = [](const Decisions& decisions) {
        int n = 0;
        for (auto& r : decisions.scale_out) n += r.count;
        return n;
    };
    EXPECT_EQ(count(plan(input, s)), 3);  // two for the tasks, one as spare capacity
    for (int i = 0; i < 3; ++i) {
        MachineView b{"b" + std::to_string(i), 0, true, {}};
        input.machines.push_back(b);
    }
    EXPECT_EQ(count(plan(input, s)), 0);  // the booting machines suffice
    input.machines.clear();
    input.demand.clear();
    for (int i = 0; i < 4; ++i) {
        MachineView u{"u" + std::to_string(i), 0, false, {16, 4, 64}};
        u.empty = true;
        u.idle_s = 1000;
        input.machines.push_back(u);
    }
    EXPECT_EQ(plan(input, s).scale_in.size(), 4u);
    input.machines[0].free = {8, 2, 32};
    input.machines[0].empty = false;
    input.machines[3].booting = true;  // deleted first, since no task can run on it yet
    auto decisions = plan(input, s);
    EXPECT_EQ(decisions.scale_in.size(), 2u);
    EXPECT_EQ(std::count(decisions.scale_in.begin(), decisions.scale_in.end(), "u3"), 1);
    EXPECT_FALSE(std::count(decisions.scale_in.begin(), decisions.scale_in.end(), "u0"));
}
// Guards against scaling out beyond the operators' limit: a new leader did so because it did not count
// machines that it had not reconciled yet.
TEST(Autoscaler, CountsMachinesThatCannotBeUsedAgainstTheLimit) {
    struct Case {
        std::uint32_t max_machines;
        std::size_t others;
        int created;
    };
    const Case cases[] = {{0, 50, 3}, {4, 0, 3}, {4, 2, 2}, {4, 4, 0}, {4, 9, 0}};
    for (auto& c : cases) {
        auto s = settings();
        s.op.max_machines = c.max_machines;
        Input input;
        input.types = {{"g4", {16, 4, 64}, 100, 1, 10, 4, 30, {"z1", "z2"}}};
        input.pools = pools;
        input.zones = 2;
        input.other_machines = c.others;
        auto waiting = job(8);
        input.demand.push_back({&waiting, 8, {}});
        int created = 0;
        for (auto& r : plan(input, s).scale_out) created += r.count;
        EXPECT_EQ(created, c.created) << c.max_machines << " " << c.others;
    }
}

TEST(Autoscaler, SkipsPoolsWithoutCapacityAndPrefersTheCheapest) {
    auto s = settings();
    s.op.reserve_ratio = 0;
    Input input;
    input.types = {{"g4", {16, 4, 64}, 100, 1, 10, 4, 30, {"z1", "z2"}}};
    input.pools = pools;
    input.zones = 2;
    auto waiting = job(1);
    waiting.spot = true;
    input.demand.push_back({&waiting, 1, {}});
    auto spot_first = plan(input, s).scale_out;
    ASSERT_FALSE(spot_first.empty());
    EXPECT_TRUE(
        std::any_of(spot_first.begin(), spot_first.end(), [](auto& r) { return pools[r.pool].spot; }));
    input.pools_without_capacity = {0, 2, 3};
    for (auto& r : plan(input, s).scale_out) EXPECT_EQ(r.pool, 1u);
}

// Guards against relying on a zone that is partitioned from the leader. Machines created there can't be used
// until the partition ends, and machines booting there must not keep the autoscaler from creating machines in
// reachable zones.
TEST(Autoscaler, CountsOnUnreachableZonesLast) {
    auto s = settings();
    s.op.reserve_ratio = 0;
    struct Case {
        std::set<std::size_t> without_capacity;
        int booting_unreachable;
        std::set<std::size_t> created_in;
    };
    const Case cases[] = {{{}, 0, {1}}, {{}, 4, {1}}, {{1}, 0, {0}}, {{1}, 4, {}}};
    for (auto& c : cases) {
        Input input;
        input.types = {{"g4", {16, 4, 64}, 100, 1, 10, 4, 30, {"z1", "z2"}}};
        input.pools = pools;
        input.zones = 2;
        input.unreachable_zones = {true, false};
        input.pools_without_capacity = c.without_capacity;
        auto waiting = job(8);
        input.demand.push_back({&waiting, 8, {}});
        for (int i = 0; i < c.booting_unreachable; ++i) input.machines.push_back({"b", 0, true, {}});
        std::set<std::size_t> created_in;
        for (auto& r : plan(input, s).scale_out) created_in.insert(r.pool);
        EXPECT_EQ(created_in, c.created_in) << c.booting_unreachable;
    }
}

}  // namespace
}  // namespace coralhitch::autoscaler

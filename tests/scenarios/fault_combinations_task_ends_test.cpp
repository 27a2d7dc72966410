// Tests of tasks of one job that end far apart, during leader changes.
#include "protocol/agent_api.hpp"
#include "scenarios/parameter_names.hpp"
#include "scenarios/scenario_support.hpp"

namespace coralhitch::simulation {
namespace {

// Guards against losing or repeating the end of a task. The three tasks of an array job run one after the
// other, and a gang has a single task. The leader crashes between the ends, or right after it alone has
// received the heartbeat that reports an end.
class TaskEndsFarApart : public testing::TestWithParam<std::tuple<const char*, bool>> {};
INSTANTIATE_TEST_SUITE_P(FaultCombinations, TaskEndsFarApart,
                         testing::Combine(testing::Values("batch", "gang"), testing::Bool()), [](auto& info) {
                             auto shape = std::get<0>(info.param);
                             auto at_report = std::get<1>(info.param);
                             return camel_case(shape) + (at_report ? "AtEachHeartbeat" : "AtFixedTimes");
                         });
TEST_P(TaskEndsFarApart, AreStoredOnce) {
    spdlog::set_level(spdlog::level::off);
    auto [shape, at_report] = GetParam();
    Options options;
    options.machines = 1;
    SimulatedCluster cluster(options);
    bool gang = std::string(shape) == "gang";
    // The only machine has room for one task at a time.
    cluster.at(2, [&cluster, s = std::string(shape), gang] {
        cluster.submit("j-1", s, gang ? 1 : 3, 8, {{"cards", 3.0}, {"driftwood", false}});
    });
    cluster.at(3, [&cluster] { cluster.submit("j-2", "service", 1, 0, {{"driftwood", false}}); });
    std::set<std::string> crashed;
    if (at_report)
        cluster.on_message = [&](auto&, auto&, auto& request) {
            if (request.target != protocol::paths::heartbeat ||
                request.body.find("exited") == std::string::npos)
                return;
            auto ended = std::to_string(cluster.jobs["j-1"].tasks_done.size());
            if (!crashed.insert(ended).second) return;
            cluster.at(cluster.now() + 0.012, [&cluster] { cluster.crash(leader_of(cluster), 0.1); });
        };
    else
        for (double time = 17; time < 70; time += 4.5)
            cluster.at(time, [&cluster] { cluster.crash(leader_of(cluster), 0.1); });
    cluster.run_until(170);
    EXPECT_TRUE(cluster.jobs["j-1"].done);
    EXPECT_EQ(cluster.jobs["j-1"].tasks_done.size(), gang ? 1u : 3u);
    EXPECT_EQ(cluster.restarts_of_done_tasks, 0u);
    EXPECT_EQ(tasks_on_machines(cluster, "j-2"), 1u);
    expect_no_violations(cluster);
}

}  // namespace
}  // namespace coralhitch::simulation

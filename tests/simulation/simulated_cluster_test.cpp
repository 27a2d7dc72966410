#include "simulation/simulated_cluster.hpp"

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "http/address.hpp"

namespace coralhitch::simulation {
namespace {

// A partition between some hosts and one machine, given by its address with port, blocks the messages of that
// machine only. Guards against addresses that match no host, or also those that begin like it (10.1.0.1
// and 10.1.0.10).
TEST(SimulatedCluster, PartitionsOneMachine) {
    spdlog::set_level(spdlog::level::off);
    Options options;
    options.machines = 12;  // 10.1.0.1 and 10.1.0.10 to 10.1.0.12
    for (bool one_way : {false, true}) {
        SimulatedCluster cluster(options);
        cluster.at(1.1, [&cluster] {
            cluster.submit("j-9", "service", 12, 0, {{"cards", 0.0}, {"vcpus", 13.0}});
        });
        cluster.run_until(5);
        auto& worker = *cluster.workers[0];
        auto inspect = [&](const Worker& to, bool& answered) {
            cluster.send("10.9.0.1", to.addr, {"POST", "/inspect", "{}"}, 1,
                         [&](std::optional<http::Response> response) { answered = response.has_value(); });
        };
        if (one_way)
            cluster.partition_one_way("10.9.", worker.addr, 3);
        else
            cluster.partition("10.9.", worker.addr, 3);
        bool answered = false, other_answered = false, answered_later = false;
        inspect(worker, answered);
        inspect(*cluster.workers[9], other_answered);
        cluster.run_until(7);
        EXPECT_FALSE(answered);
        EXPECT_TRUE(other_answered);
        cluster.at(9, [&] { inspect(worker, answered_later); });
        cluster.run_until(10);
        EXPECT_TRUE(answered_later);
    }
}

TEST(SimulatedCluster, GivesEachOf8000MachinesAnAddress) {
    spdlog::set_level(spdlog::level::off);
    Options options;
    options.machines = 8000;
    SimulatedCluster cluster(options);
    std::set<std::string> addresses;
    for (auto& worker : cluster.workers) addresses.insert(worker->addr);
    EXPECT_EQ(addresses.size(), options.machines);
    for (auto& address : addresses) EXPECT_TRUE(http::socket_address(address)) << address;
}

}  // namespace
}  // namespace coralhitch::simulation

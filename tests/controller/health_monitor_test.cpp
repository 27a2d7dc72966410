#include "controller/health_monitor.hpp"

#include <gtest/gtest.h>

#include "cloud/cloud_client.hpp"
#include "controller/parts_fixture.hpp"

namespace coralhitch::controller {
namespace {

class HealthMonitorTest : public testing::Test, public PartsFixture {
  protected:
    HealthMonitorTest() {
        network.cloud = [](const http::Request&) { return http::Response{200, machine_types_body("g8")}; };
    }
    cloud::CloudClient cloud{timers, network, settings};
    MachineTypeCatalog machine_types{timers, cloud, kv, election, settings, leader};
    HealthMonitor health{timers, kv, settings, kv_reachability, peers, machine_types};
};

TEST_F(HealthMonitorTest, IsUnhealthyUntilMachineTypesAreKnownAndTheKeyValueStoreHasAnswered) {
    EXPECT_FALSE(health.healthy());
    key_value_store_answers();
    health.check();
    EXPECT_FALSE(health.healthy());
    machine_types.start();
    EXPECT_TRUE(health.healthy());
}

TEST_F(HealthMonitorTest, StaysHealthyWhileNoPeerReachesTheKeyValueStoreEither) {
    key_value_store_answers();
    machine_types.start();
    health.check();
    key_value_store_is_down();
    auto ping = ping_of_peer();
    ping.kv_reachable = false;
    for (double t = 1; t <= 20; ++t) {
        timers.run_until(t);
        receive_ping(ping);
        health.check();
        EXPECT_TRUE(health.healthy()) << t;
    }
}

TEST_F(HealthMonitorTest, BecomesUnhealthyHalfAPeriodAfterOnlyOthersCanServe) {
    key_value_store_answers();
    machine_types.start();
    health.check();
    key_value_store_is_down();
    health.check();  // the read fails
    receive_ping(ping_of_peer());
    timers.run_until(1);
    health.check();
    EXPECT_TRUE(health.healthy());
    timers.run_until(2.4);
    EXPECT_TRUE(health.healthy());
    timers.run_until(2.6);
    EXPECT_FALSE(health.healthy());
    key_value_store_answers();
    health.check();
    EXPECT_TRUE(health.healthy());
}

TEST_F(HealthMonitorTest, BecomesUnhealthyWhenCutOffFromAllPeersToo) {
    key_value_store_answers();
    machine_types.start();
    health.check();
    key_value_store_is_down();
    health.check();  // the read fails
    timers.run_until(1);
    health.check();
    timers.run_until(2.6);
    EXPECT_FALSE(health.healthy());
}

}  // namespace
}  // namespace coralhitch::controller

#include "controller/machine_type_catalog.hpp"

#include <gtest/gtest.h>

#include "cloud/cloud_client.hpp"
#include "controller/parts_fixture.hpp"
#include "protocol/kv_api.hpp"

namespace coralhitch::controller {
namespace {

class MachineTypeCatalogTest : public testing::Test, public PartsFixture {
  protected:
    [[nodiscard]] std::vector<std::string> names() const {
        std::vector<std::string> names;
        for (auto& type : catalog.types()) names.push_back(type.name);
        return names;
    }
    void cloud_answers(const std::string& name) {
        network.cloud = [name](const http::Request&) {
            return http::Response{200, machine_types_body(name)};
        };
    }
    cloud::CloudClient cloud{timers, network, settings};
    MachineTypeCatalog catalog{timers, cloud, kv, election, settings, leader};
};

TEST_F(MachineTypeCatalogTest, AsksTheCloudAgainAfterTwentyHeartbeatPeriods) {
    cloud_answers("g8");
    catalog.start();
    EXPECT_EQ(names(), std::vector<std::string>{"g8"});
    cloud_answers("g16");
    timers.run_until(59);
    EXPECT_EQ(names(), std::vector<std::string>{"g8"});
    timers.run_until(61);
    EXPECT_EQ(names(), std::vector<std::string>{"g16"});
}

TEST_F(MachineTypeCatalogTest, UsesTheStoredListWhileTheCloudDoesNotAnswer) {
    key_value_store_answers({{"types", nlohmann::json::parse(machine_types_body("stored"))}});
    catalog.start();
    EXPECT_EQ(names(), std::vector<std::string>{"stored"});
    cloud_answers("g8");
    timers.run_until(1.6);
    EXPECT_EQ(names(), std::vector<std::string>{"g8"});
}

TEST_F(MachineTypeCatalogTest, KeepsTheListWhenTheCloudStopsAnswering) {
    key_value_store_answers({{"types", nlohmann::json::parse(machine_types_body("stored"))}});
    cloud_answers("g8");
    catalog.start();
    network.cloud = nullptr;
    timers.run_until(70);
    EXPECT_EQ(names(), std::vector<std::string>{"g8"});
}

TEST_F(MachineTypeCatalogTest, IsEmptyWhenTheStoredListIsMalformed) {
    key_value_store_answers({{"types", nlohmann::json{{"hulls", 3}}}});
    catalog.start();
    EXPECT_TRUE(catalog.types().empty());
}

TEST_F(MachineTypeCatalogTest, StoresNothingUnlessItLeads) {
    key_value_store_answers();
    cloud_answers("g8");
    catalog.start();
    catalog.store();
    EXPECT_EQ(network.sent_to(protocol::paths::txn), 0u);
}

}  // namespace
}  // namespace coralhitch::controller

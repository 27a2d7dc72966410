// FleetScaler: a retried request keeps its name, so that the cloud creates no machine twice, and a pool that
// lacked capacity gets no further requests for some time.
#include "leader/fleet_scaler.hpp"

#include <gtest/gtest.h>

#include "leader/leading_fixture.hpp"

namespace coralhitch::leader {
namespace {

struct FleetScalerFixture : LeadingFixture {
    FleetScalerFixture() {
        service.others = [this](const std::string&, const http::Request& request, double,
                                http::Result result) {
            bodies.push_back(request.body);
            result(answer);
        };
    }
    // Returns the number of machines in the request with this index.
    int asked_for(std::size_t index) {
        return nlohmann::json::parse(bodies.at(index))["how_many"].get<int>();
    }
    std::vector<std::string> bodies;  // bodies of the requests sent to the cloud
    std::optional<http::Response> answer;
    cloud::CloudClient cloud{timers, network, settings};
    FleetScaler scaler{*context, cloud, types, [](std::size_t) { return false; }};
    std::vector<autoscaler::ScaleOutRequest> two{{0, 2}};
};

TEST(FleetScaler, RetriesARequestUnderTheSameNameUntilTheCloudResponds) {
    FleetScalerFixture fixture;
    ASSERT_TRUE(fixture.leads());
    fixture.scaler.scale_out(fixture.two);
    EXPECT_EQ(fixture.scaler.autoscaler_input().machines.size(), 2u) << "requested machines count as booting";
    fixture.scaler.retry_unanswered();
    ASSERT_EQ(fixture.bodies.size(), 2u);
    EXPECT_EQ(fixture.bodies[0], fixture.bodies[1]);
    EXPECT_TRUE(fixture.state->cluster.machines().empty());

    fixture.answer = http::Response{200, R"({"berths":["vm-1","vm-2"]})"};
    fixture.scaler.retry_unanswered();
    fixture.scaler.retry_unanswered();
    EXPECT_EQ(fixture.bodies.size(), 3u) << "the cloud has responded, so the request is not sent again";
    ASSERT_EQ(fixture.state->cluster.machines().size(), 2u);
    EXPECT_EQ(fixture.state->cluster.find("vm-1")->lifecycle, cluster::Machine::Lifecycle::booting);
    EXPECT_TRUE(fixture.scaler.autoscaler_input().machines.empty());
}

TEST(FleetScaler, ExcludesAPoolWithoutCapacityForSomeTime) {
    FleetScalerFixture fixture;
    ASSERT_TRUE(fixture.leads());
    fixture.answer = http::Response{200, R"({"berths":["vm-1"]})"};  // one of two requested machines
    fixture.scaler.scale_out(fixture.two);
    EXPECT_EQ(fixture.scaler.autoscaler_input().pools_without_capacity, std::set<std::size_t>{0});
    fixture.wait(fixture.settings.heartbeat_interval_s * 3 + 0.1);
    EXPECT_TRUE(fixture.scaler.autoscaler_input().pools_without_capacity.empty());
}

TEST(FleetScaler, SplitsARequestThatExceedsTheLimitOfOneCall) {
    FleetScalerFixture fixture;
    ASSERT_TRUE(fixture.leads());
    std::vector<autoscaler::ScaleOutRequest> many{{0, cloud::CloudClient::max_machines_per_create + 7}};
    fixture.scaler.scale_out(many);
    ASSERT_EQ(fixture.bodies.size(), 2u);
    EXPECT_EQ(fixture.asked_for(0), cloud::CloudClient::max_machines_per_create);
    EXPECT_EQ(fixture.asked_for(1), 7);
}

TEST(FleetScaler, RequestsNoMachinesOnceTheLeadershipHasEnded) {
    FleetScalerFixture fixture;
    fixture.authority->end();
    fixture.scaler.scale_out(fixture.two);
    fixture.scaler.retry_unanswered();
    EXPECT_TRUE(fixture.bodies.empty());
}

}  // namespace
}  // namespace coralhitch::leader

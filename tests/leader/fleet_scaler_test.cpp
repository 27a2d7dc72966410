// FleetScaler: a retried request keeps its name, so that the cloud creates no machine twice, and a pool that
// lacked capacity gets no further requests for some time.
#include "leader/fleet_scaler.hpp"

#include <gtest/gtest.h>

#include "leader/leading_fixture.hpp"

namespace coralhitch::leader {
namespace {

struct Bench : LeadingFixture {
    Bench() {
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
    Bench bench;
    ASSERT_TRUE(bench.leads());
    bench.scaler.scale_out(bench.two);
    EXPECT_EQ(bench.scaler.autoscaler_input().machines.size(), 2u) << "requested machines count as booting";
    bench.scaler.retry_unanswered();
    ASSERT_EQ(bench.bodies.size(), 2u);
    EXPECT_EQ(bench.bodies[0], bench.bodies[1]);
    EXPECT_TRUE(bench.state->cluster.machines().empty());

    bench.answer = http::Response{200, R"({"berths":["vm-1","vm-2"]})"};
    bench.scaler.retry_unanswered();
    bench.scaler.retry_unanswered();
    EXPECT_EQ(bench.bodies.size(), 3u) << "the cloud has responded, so the request is not sent again";
    ASSERT_EQ(bench.state->cluster.machines().size(), 2u);
    EXPECT_EQ(bench.state->cluster.find("vm-1")->lifecycle, cluster::Machine::Lifecycle::booting);
    EXPECT_TRUE(bench.scaler.autoscaler_input().machines.empty());
}

TEST(FleetScaler, ExcludesAPoolWithoutCapacityForSomeTime) {
    Bench bench;
    ASSERT_TRUE(bench.leads());
    bench.answer = http::Response{200, R"({"berths":["vm-1"]})"};  // one of two requested machines
    bench.scaler.scale_out(bench.two);
    EXPECT_EQ(bench.scaler.autoscaler_input().pools_without_capacity, std::set<std::size_t>{0});
    bench.wait(bench.settings.heartbeat_interval_s * 3 + 0.1);
    EXPECT_TRUE(bench.scaler.autoscaler_input().pools_without_capacity.empty());
}

TEST(FleetScaler, SplitsARequestThatExceedsTheLimitOfOneCall) {
    Bench bench;
    ASSERT_TRUE(bench.leads());
    std::vector<autoscaler::ScaleOutRequest> many{{0, cloud::CloudClient::max_machines_per_create + 7}};
    bench.scaler.scale_out(many);
    ASSERT_EQ(bench.bodies.size(), 2u);
    EXPECT_EQ(bench.asked_for(0), cloud::CloudClient::max_machines_per_create);
    EXPECT_EQ(bench.asked_for(1), 7);
}

TEST(FleetScaler, RequestsNoMachinesOnceTheLeadershipHasEnded) {
    Bench bench;
    bench.authority->end();
    bench.scaler.scale_out(bench.two);
    bench.scaler.retry_unanswered();
    EXPECT_TRUE(bench.bodies.empty());
}

}  // namespace
}  // namespace coralhitch::leader

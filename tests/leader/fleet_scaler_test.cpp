// Scale out: nothing is asked for twice, and no pool that has just lacked capacity is asked again at once.
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
    int asked_for(std::size_t k) { return nlohmann::json::parse(bodies.at(k))["how_many"].get<int>(); }
    std::vector<std::string> bodies;  // of the requests to the cloud
    std::optional<http::Response> answer;
    cloud::CloudClient cloud{timers, network, settings};
    FleetScaler scaler{*context, cloud, types, [](std::size_t) { return false; }};
    std::vector<autoscaler::ScaleOutRequest> two{{0, 2}};
};

TEST(FleetScaler, AsksAgainUnderTheSameNameUntilAnswered) {
    Bench bench;
    ASSERT_TRUE(bench.leads());
    bench.scaler.scale_out(bench.two);
    EXPECT_EQ(bench.scaler.autoscaler_input().machines.size(), 2u) << "they count as booting";
    bench.scaler.retry_unanswered();
    ASSERT_EQ(bench.bodies.size(), 2u);
    EXPECT_EQ(bench.bodies[0], bench.bodies[1]);
    EXPECT_TRUE(bench.state->cluster.machines().empty());

    bench.answer = http::Response{200, R"({"berths":["vm-1","vm-2"]})"};
    bench.scaler.retry_unanswered();
    bench.scaler.retry_unanswered();
    EXPECT_EQ(bench.bodies.size(), 3u) << "it was answered";
    ASSERT_EQ(bench.state->cluster.machines().size(), 2u);
    EXPECT_EQ(bench.state->cluster.find("vm-1")->lifecycle, cluster::Machine::Lifecycle::booting);
    EXPECT_TRUE(bench.scaler.autoscaler_input().machines.empty());
}

TEST(FleetScaler, KeepsAPoolWithoutCapacityForSomeTime) {
    Bench bench;
    ASSERT_TRUE(bench.leads());
    bench.answer = http::Response{200, R"({"berths":["vm-1"]})"};  // of two
    bench.scaler.scale_out(bench.two);
    EXPECT_EQ(bench.scaler.autoscaler_input().pools_without_capacity, std::set<std::size_t>{0});
    bench.wait(bench.settings.heartbeat_interval_s * 3 + 0.1);
    EXPECT_TRUE(bench.scaler.autoscaler_input().pools_without_capacity.empty());
}

TEST(FleetScaler, SplitsWhatOneCallCannotTake) {
    Bench bench;
    ASSERT_TRUE(bench.leads());
    std::vector<autoscaler::ScaleOutRequest> many{{0, cloud::CloudClient::max_machines_per_create + 7}};
    bench.scaler.scale_out(many);
    ASSERT_EQ(bench.bodies.size(), 2u);
    EXPECT_EQ(bench.asked_for(0), cloud::CloudClient::max_machines_per_create);
    EXPECT_EQ(bench.asked_for(1), 7);
}

TEST(FleetScaler, AsksForNothingOnceTheLeadershipHasEnded) {
    Bench bench;
    bench.authority->end();
    bench.scaler.scale_out(bench.two);
    bench.scaler.retry_unanswered();
    EXPECT_TRUE(bench.bodies.empty());
}

}  // namespace
}  // namespace coralhitch::leader

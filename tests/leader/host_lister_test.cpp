// Tests of HostLister: the cloud's list adds unknown machines to the cluster state. The list lags behind, so
// it must not add a deleted machine again.
#include "leader/host_lister.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "leader/parts_fixture.hpp"

namespace coralhitch::leader {
namespace {
using cluster::Machine;
using testing::IsEmpty;
using testing::SizeIs;

// Returns one row of the cloud's list.
nlohmann::json host(const std::string& id, const std::string& host_state) {
    nlohmann::json row;
    row["id"] = id;
    row["addr"] = addr_of(id);
    row["hull"] = "g4";
    row["reef"] = "a";
    row["driftwood"] = false;
    row["status"] = host_state;
    row["age_s"] = 40;
    return row;
}

// Returns the cloud's answer with these hosts.
http::Response list(const std::vector<nlohmann::json>& hosts) {
    return {200, nlohmann::json{{"berths", hosts}, {"more", false}}.dump()};
}

struct Bench : PartsFixture {
    HostLister hosts{*context, cloud, commands, deletion};
};

TEST(HostLister, AsksAgainOnceTheListMayHaveChanged) {
    Bench bench;
    bench.hosts.list_if_due();
    ASSERT_THAT(bench.sent, SizeIs(1));
    bench.answer(list({}));
    bench.wait(bench.settings.list_lag_s);
    bench.hosts.list_if_due();
    EXPECT_THAT(bench.sent, IsEmpty());
    bench.wait(0.01);
    bench.hosts.list_if_due();
    EXPECT_THAT(bench.sent, SizeIs(1));
    bench.wait(bench.settings.list_lag_s * 2);
    bench.hosts.list_if_due();
    EXPECT_THAT(bench.sent, SizeIs(1)) << "only one request at a time";
}

TEST(HostLister, AsksForNothingWithoutAuthority) {
    Bench bench;
    bench.lose_authority();
    bench.hosts.list_if_due();
    EXPECT_THAT(bench.sent, IsEmpty());
}

TEST(HostLister, HasListedOnceAListWasReceived) {
    Bench bench;
    bench.hosts.list_if_due();
    bench.answer(http::Response{503, "{}"});
    EXPECT_FALSE(bench.hosts.has_listed());
    bench.wait(bench.settings.list_lag_s + 1);
    bench.hosts.list_if_due();
    bench.answer(list({}));
    EXPECT_TRUE(bench.hosts.has_listed());
}

TEST(HostLister, AddsNewMachinesAsBootingAndProbesRunningOnes) {
    Bench bench;
    bench.hosts.list_if_due();
    bench.answer(list({host("vm-1", "booting"), host("vm-2", "running")}));
    bench.wait(0);
    for (auto* id : {"vm-1", "vm-2"}) {
        auto* machine = bench.state->cluster.find(id);
        ASSERT_NE(machine, nullptr) << id;
        EXPECT_EQ(machine->lifecycle, Machine::Lifecycle::booting) << id;
        EXPECT_DOUBLE_EQ(machine->created_at, bench.timers.now() - 40) << id;
    }
    ASSERT_THAT(bench.sent, SizeIs(1));
    EXPECT_EQ(bench.sent[0].addr, addr_of("vm-2"));
}

TEST(HostLister, NeverAddsADeletedMachineAgain) {
    Bench bench;
    bench.add_machine("vm-1");
    (void)bench.state->cluster.remove_deleted("vm-1");
    bench.hosts.list_if_due();
    bench.answer(list({host("vm-1", "running")}));
    bench.wait(0);
    EXPECT_EQ(bench.state->cluster.find("vm-1"), nullptr);
    EXPECT_THAT(bench.sent, IsEmpty());
}

TEST(HostLister, MarksFailedHostsForDeletion) {
    Bench bench;
    auto& machine = bench.add_reconciled_machine("vm-1");
    bench.hosts.list_if_due();
    bench.answer(list({host("vm-1", "failed")}));
    EXPECT_EQ(machine.lifecycle, Machine::Lifecycle::marked_for_deletion);
    EXPECT_EQ(machine.deletion, Machine::Deletion::not_allowed) << "the mark must be stored first";
}

TEST(HostLister, IgnoresAListAfterTheLeadershipsEnd) {
    Bench bench;
    auto& machine = bench.add_reconciled_machine("vm-1");
    bench.hosts.list_if_due();
    bench.authority->end();
    bench.answer(list({host("vm-1", "failed"), host("vm-2", "running")}));
    EXPECT_EQ(machine.lifecycle, Machine::Lifecycle::up);
    EXPECT_EQ(bench.state->cluster.find("vm-2"), nullptr);
    EXPECT_FALSE(bench.hosts.has_listed());
}

}  // namespace
}  // namespace coralhitch::leader

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

struct HostListerFixture : PartsFixture {
    HostLister hosts{*context, cloud, commands, deletion};
};

TEST(HostLister, AsksAgainOnceTheListMayHaveChanged) {
    HostListerFixture fixture;
    fixture.hosts.list_if_due();
    ASSERT_THAT(fixture.sent, SizeIs(1));
    fixture.answer(list({}));
    fixture.wait(fixture.settings.list_lag_s);
    fixture.hosts.list_if_due();
    EXPECT_THAT(fixture.sent, IsEmpty());
    fixture.wait(0.01);
    fixture.hosts.list_if_due();
    EXPECT_THAT(fixture.sent, SizeIs(1));
    fixture.wait(fixture.settings.list_lag_s * 2);
    fixture.hosts.list_if_due();
    EXPECT_THAT(fixture.sent, SizeIs(1)) << "only one request at a time";
}

TEST(HostLister, AsksForNothingWithoutAuthority) {
    HostListerFixture fixture;
    fixture.lose_authority();
    fixture.hosts.list_if_due();
    EXPECT_THAT(fixture.sent, IsEmpty());
}

TEST(HostLister, HasListedOnceAListWasReceived) {
    HostListerFixture fixture;
    fixture.hosts.list_if_due();
    fixture.answer(http::Response{503, "{}"});
    EXPECT_FALSE(fixture.hosts.has_listed());
    fixture.wait(fixture.settings.list_lag_s + 1);
    fixture.hosts.list_if_due();
    fixture.answer(list({}));
    EXPECT_TRUE(fixture.hosts.has_listed());
}

TEST(HostLister, AddsNewMachinesAsBootingAndProbesRunningOnes) {
    HostListerFixture fixture;
    fixture.hosts.list_if_due();
    fixture.answer(list({host("vm-1", "booting"), host("vm-2", "running")}));
    fixture.wait(0);
    for (auto* id : {"vm-1", "vm-2"}) {
        auto* machine = fixture.state->cluster.find(id);
        ASSERT_NE(machine, nullptr) << id;
        EXPECT_EQ(machine->lifecycle, Machine::Lifecycle::booting) << id;
        EXPECT_DOUBLE_EQ(machine->created_at, fixture.timers.now() - 40) << id;
    }
    ASSERT_THAT(fixture.sent, SizeIs(1));
    EXPECT_EQ(fixture.sent[0].addr, addr_of("vm-2"));
}

TEST(HostLister, NeverAddsADeletedMachineAgain) {
    HostListerFixture fixture;
    fixture.add_machine("vm-1");
    (void)fixture.state->cluster.remove_deleted("vm-1");
    fixture.hosts.list_if_due();
    fixture.answer(list({host("vm-1", "running")}));
    fixture.wait(0);
    EXPECT_EQ(fixture.state->cluster.find("vm-1"), nullptr);
    EXPECT_THAT(fixture.sent, IsEmpty());
}

TEST(HostLister, MarksFailedHostsForDeletion) {
    HostListerFixture fixture;
    auto& machine = fixture.add_reconciled_machine("vm-1");
    fixture.hosts.list_if_due();
    fixture.answer(list({host("vm-1", "failed")}));
    EXPECT_EQ(machine.lifecycle, Machine::Lifecycle::marked_for_deletion);
    EXPECT_EQ(machine.deletion, Machine::Deletion::not_allowed) << "the mark must be stored first";
}

TEST(HostLister, IgnoresAListAfterTheLeadershipsEnd) {
    HostListerFixture fixture;
    auto& machine = fixture.add_reconciled_machine("vm-1");
    fixture.hosts.list_if_due();
    fixture.authority->end();
    fixture.answer(list({host("vm-1", "failed"), host("vm-2", "running")}));
    EXPECT_EQ(machine.lifecycle, Machine::Lifecycle::up);
    EXPECT_EQ(fixture.state->cluster.find("vm-2"), nullptr);
    EXPECT_FALSE(fixture.hosts.has_listed());
}

}  // namespace
}  // namespace coralhitch::leader

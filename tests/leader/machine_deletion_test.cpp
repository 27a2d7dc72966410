// Tests of MachineDeletion: a machine is deleted only after its mark has been stored, and its tasks count as
// terminated only after the cloud has confirmed the deletion.
#include "leader/machine_deletion.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "leader/parts_fixture.hpp"

namespace coralhitch::leader {
namespace {
using cluster::Machine;
using testing::ElementsAre;
using testing::IsEmpty;

struct MachineDeletionFixture : PartsFixture {
    MachineDeletionFixture() : machine(add_reconciled_machine("vm-1")) {}
    // Marks the machine, and waits until the mark is stored and the deletion has been requested.
    void request_deletion() {
        deletion.mark(machine, "is not needed");
        machine_store.flush();
        wait(1);
        ASSERT_EQ(requested(), 1u);
    }
    // Returns the number of deletion calls that wait for the cloud's answer.
    std::size_t requested() {
        for (auto& request : sent) EXPECT_EQ(request.addr, settings.cloud_addr);
        return sent.size();
    }
    Machine& machine;
    const http::Response ok{200, "{}"};
};

TEST(MachineDeletion, AsksForNoDeletionBeforeTheMarkIsStored) {
    MachineDeletionFixture fixture;
    fixture.deletion.mark(fixture.machine, "is not needed");
    EXPECT_EQ(fixture.machine.lifecycle, Machine::Lifecycle::marked_for_deletion);
    fixture.deletion.delete_marked();
    fixture.machine_store.flush();
    fixture.deletion.delete_marked();
    EXPECT_EQ(fixture.requested(), 0u) << "otherwise a later leader could start tasks there";
    fixture.wait(1);
    ASSERT_EQ(fixture.requested(), 1u);
    EXPECT_EQ(nlohmann::json::parse(fixture.sent[0].request.body)["berths"], nlohmann::json({"vm-1"}));
}

TEST(MachineDeletion, AsksForNoDeletionIfTheMarkCannotBeStored) {
    MachineDeletionFixture fixture;
    fixture.service.kv[kv::keys::leader].version = ++fixture.service.revision;  // written by a later leader
    fixture.deletion.mark(fixture.machine, "is not needed");
    fixture.machine_store.flush();
    fixture.wait(1);
    fixture.deletion.delete_marked();
    EXPECT_EQ(fixture.requested(), 0u);
}

TEST(MachineDeletion, DeletesAMachineThatWasNeverStoredWithoutAWrite) {
    MachineDeletionFixture fixture;
    auto& booting = fixture.add_machine("vm-2");
    fixture.deletion.mark(booting, "has not come up in time");
    fixture.deletion.delete_marked();
    EXPECT_EQ(fixture.requested(), 1u);
}

TEST(MachineDeletion, AsksForNothingWithoutAuthority) {
    MachineDeletionFixture fixture;
    auto& booting = fixture.add_machine("vm-2");
    fixture.deletion.mark(booting, "has not come up in time");
    fixture.lose_authority();
    fixture.deletion.delete_marked();
    EXPECT_EQ(fixture.requested(), 0u);
}

TEST(MachineDeletion, EndsTasksOnlyOnceTheCloudHasAnswered) {
    MachineDeletionFixture fixture;
    fixture.add_running_task("j-1", fixture.machine);
    auto& job = *fixture.state->jobs.find("j-1");
    fixture.request_deletion();
    EXPECT_TRUE(job.active.contains(0));
    fixture.answer(fixture.ok);
    EXPECT_FALSE(job.active.contains(0));
    EXPECT_TRUE(fixture.state->cluster.is_deleted("vm-1"));
    EXPECT_THAT(fixture.removed, ElementsAre("vm-1"));
    EXPECT_EQ(fixture.deletions_answered, 1);
}

TEST(MachineDeletion, RetriesAfterADelayIfTheCloudFails) {
    for (const auto& failure : {std::optional(http::Response{503, "{}"}), std::optional<http::Response>()}) {
        MachineDeletionFixture fixture;
        fixture.add_running_task("j-1", fixture.machine);
        fixture.request_deletion();
        fixture.answer(failure);
        EXPECT_TRUE(fixture.machine.tasks.contains({"j-1", 0}))
            << "a failed call is no evidence of the deletion";
        fixture.deletion.delete_marked();
        EXPECT_EQ(fixture.requested(), 0u);
        fixture.wait(fixture.settings.heartbeat_interval_s / 3);
        fixture.deletion.delete_marked();
        EXPECT_EQ(fixture.requested(), 1u);
    }
}

TEST(MachineDeletion, RevokesTheDelegationOfAMarkedMachine) {
    MachineDeletionFixture fixture;
    fixture.delegate("vm-1", "controller-1", 30);
    fixture.deletion.mark(fixture.machine, "is not needed");
    EXPECT_EQ(fixture.delegations.count(), 0u);
    EXPECT_EQ(fixture.machine.delegation_expiry, 30);
}

TEST(MachineDeletion, IgnoresAnAnswerAfterTheLeadershipsEnd) {
    MachineDeletionFixture fixture;
    fixture.add_running_task("j-1", fixture.machine);
    fixture.request_deletion();
    fixture.authority->end();
    fixture.answer(fixture.ok);
    EXPECT_TRUE(fixture.machine.tasks.contains({"j-1", 0}));
    EXPECT_THAT(fixture.removed, IsEmpty());
}

}  // namespace
}  // namespace coralhitch::leader

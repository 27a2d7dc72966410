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

struct Bench : PartsFixture {
    Bench() : machine(add_reconciled_machine("vm-1")) {}
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
    Bench bench;
    bench.deletion.mark(bench.machine, "is not needed");
    EXPECT_EQ(bench.machine.lifecycle, Machine::Lifecycle::marked_for_deletion);
    bench.deletion.delete_marked();
    bench.machine_store.flush();
    bench.deletion.delete_marked();
    EXPECT_EQ(bench.requested(), 0u) << "otherwise a later leader could start tasks there";
    bench.wait(1);
    ASSERT_EQ(bench.requested(), 1u);
    EXPECT_EQ(nlohmann::json::parse(bench.sent[0].request.body)["berths"], nlohmann::json({"vm-1"}));
}

TEST(MachineDeletion, AsksForNoDeletionIfTheMarkCannotBeStored) {
    Bench bench;
    bench.service.kv[kv::keys::leader].version = ++bench.service.revision;  // written by a later leader
    bench.deletion.mark(bench.machine, "is not needed");
    bench.machine_store.flush();
    bench.wait(1);
    bench.deletion.delete_marked();
    EXPECT_EQ(bench.requested(), 0u);
}

TEST(MachineDeletion, DeletesAMachineThatWasNeverStoredWithoutAWrite) {
    Bench bench;
    auto& booting = bench.add_machine("vm-2");
    bench.deletion.mark(booting, "has not come up in time");
    bench.deletion.delete_marked();
    EXPECT_EQ(bench.requested(), 1u);
}

TEST(MachineDeletion, AsksForNothingWithoutAuthority) {
    Bench bench;
    auto& booting = bench.add_machine("vm-2");
    bench.deletion.mark(booting, "has not come up in time");
    bench.lose_authority();
    bench.deletion.delete_marked();
    EXPECT_EQ(bench.requested(), 0u);
}

TEST(MachineDeletion, EndsTasksOnlyOnceTheCloudHasAnswered) {
    Bench bench;
    bench.add_running_task("j-1", bench.machine);
    auto& job = *bench.state->jobs.find("j-1");
    bench.request_deletion();
    EXPECT_TRUE(job.active.contains(0));
    bench.answer(bench.ok);
    EXPECT_FALSE(job.active.contains(0));
    EXPECT_TRUE(bench.state->cluster.is_deleted("vm-1"));
    EXPECT_THAT(bench.removed, ElementsAre("vm-1"));
    EXPECT_EQ(bench.deletions_answered, 1);
}

TEST(MachineDeletion, RetriesAfterADelayIfTheCloudFails) {
    for (const auto& failure : {std::optional(http::Response{503, "{}"}), std::optional<http::Response>()}) {
        Bench bench;
        bench.add_running_task("j-1", bench.machine);
        bench.request_deletion();
        bench.answer(failure);
        EXPECT_TRUE(bench.machine.tasks.contains({"j-1", 0}))
            << "a failed call is no evidence of the deletion";
        bench.deletion.delete_marked();
        EXPECT_EQ(bench.requested(), 0u);
        bench.wait(bench.settings.heartbeat_interval_s / 3);
        bench.deletion.delete_marked();
        EXPECT_EQ(bench.requested(), 1u);
    }
}

TEST(MachineDeletion, RevokesTheDelegationOfAMarkedMachine) {
    Bench bench;
    bench.delegate("vm-1", "controller-1", 30);
    bench.deletion.mark(bench.machine, "is not needed");
    EXPECT_EQ(bench.delegations.count(), 0u);
    EXPECT_EQ(bench.machine.delegation_expiry, 30);
}

TEST(MachineDeletion, IgnoresAnAnswerAfterTheLeadershipsEnd) {
    Bench bench;
    bench.add_running_task("j-1", bench.machine);
    bench.request_deletion();
    bench.authority->end();
    bench.answer(bench.ok);
    EXPECT_TRUE(bench.machine.tasks.contains({"j-1", 0}));
    EXPECT_THAT(bench.removed, IsEmpty());
}

}  // namespace
}  // namespace coralhitch::leader

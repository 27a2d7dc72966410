// CommandSender: sends no `run` without authority, before the machine is stored, or before it has reconciled.
// A `run` without a response may still arrive, so its instance is kept. Responses from other machines, or
// after the end of the leadership, must not change the state.
#include "leader/command_sender.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "leader/parts_fixture.hpp"

namespace coralhitch::leader {
namespace {
using testing::ElementsAre;
using testing::IsEmpty;
using testing::SizeIs;

// Returns a successful response of the machine's agent, with its status.
http::Response answer_of(const cluster::Machine& machine) {
    return {200, status_of(machine, 4).dump()};
}

TEST(CommandSender, SendsAStartUnderTheMachinesTokenAndAgentEpoch) {
    PartsFixture fixture;
    auto& machine = fixture.add_reconciled_machine("vm-1");
    fixture.add_start("j-1", machine);
    fixture.commands.flush_all();
    ASSERT_THAT(fixture.sent, SizeIs(1));
    EXPECT_EQ(fixture.sent[0].addr, machine.addr);
    auto body = nlohmann::json::parse(fixture.sent[0].request.body);
    EXPECT_EQ(body["helm"], machine.token.value());
    EXPECT_EQ(body["watch"], machine.agent_epoch.value());
    EXPECT_THAT(verbs(fixture.sent[0].request.body), ElementsAre("run"));
}

TEST(CommandSender, SendsNoStartBeforeTheMachineIsStored) {
    PartsFixture fixture;
    auto& machine = fixture.add_reconciled_machine("vm-1");
    machine.registration = cluster::Machine::Registration::none;
    fixture.add_start("j-1", machine);
    fixture.machine_store.store_if_new(machine);
    fixture.commands.flush_all();
    fixture.machine_store.flush();
    fixture.commands.flush_all();
    EXPECT_THAT(fixture.sent, IsEmpty()) << "the write of the machine record is still in flight";
    fixture.wait(1);
    ASSERT_TRUE(machine.is_stored());
    ASSERT_THAT(fixture.sent, SizeIs(1));
    EXPECT_THAT(verbs(fixture.sent[0].request.body), ElementsAre("run"));
}

TEST(CommandSender, SendsNoStartToAMachineThatHasNotReconciled) {
    PartsFixture fixture;
    auto& machine = fixture.add_reconciled_machine("vm-1");
    machine.reconciled = false;
    fixture.add_start("j-1", machine);
    fixture.commands.flush_all();
    EXPECT_THAT(fixture.sent, IsEmpty());
}

TEST(CommandSender, SendsNoStartWithoutAuthority) {
    PartsFixture fixture;
    auto& machine = fixture.add_reconciled_machine("vm-1");
    auto& instance = fixture.add_start("j-1", machine);
    fixture.lose_authority();
    fixture.commands.flush_all();
    EXPECT_THAT(fixture.sent, IsEmpty());
    EXPECT_FALSE(instance.run.highest_token.is_set()) << "no `run` can be in flight";
}

TEST(CommandSender, KeepsAnInstanceWhoseRunGotNoResponse) {
    PartsFixture fixture;
    auto& machine = fixture.add_reconciled_machine("vm-1");
    auto& instance = fixture.add_start("j-1", machine);
    fixture.commands.flush_all();
    fixture.answer(std::nullopt);
    EXPECT_TRUE(machine.tasks.contains({"j-1", 0})) << "the `run` may have arrived, or may still arrive";
    EXPECT_EQ(instance.run.direct_in_flight, 0);
    EXPECT_EQ(instance.run.unacknowledged_token, machine.token)
        << "the `run` must be fenced before the instance may be removed";
}

TEST(CommandSender, RevokesTheDelegationOfAMachineThatItSendsCommandsTo) {
    PartsFixture fixture;
    auto& machine = fixture.add_reconciled_machine("vm-1");
    fixture.delegate("vm-1", "controller-1", fixture.timers.now() + 3);
    fixture.add_start("j-1", machine);
    fixture.commands.flush_all();
    EXPECT_EQ(fixture.delegations.count(), 0u)
        << "the relay would continue to answer heartbeats without commands";
    ASSERT_TRUE(machine.delegation_expiry);
    EXPECT_DOUBLE_EQ(*machine.delegation_expiry, fixture.timers.now() + 3);
}

TEST(CommandSender, AppliesTheStatusInTheResponseToAProbe) {
    PartsFixture fixture;
    auto& machine = fixture.add_machine("vm-1");
    fixture.commands.probe(machine);
    fixture.wait(0);
    ASSERT_THAT(fixture.sent, SizeIs(1));
    EXPECT_THAT(verbs(fixture.sent[0].request.body), IsEmpty());
    fixture.answer(answer_of(machine));
    ASSERT_THAT(fixture.statuses, SizeIs(1));
    EXPECT_EQ(fixture.statuses[0].machine, "vm-1");
    EXPECT_EQ(fixture.commands.last_answer_at(), fixture.timers.now());
    EXPECT_FALSE(machine.probe_pending);
}

TEST(CommandSender, IgnoresTheStatusOfAnotherMachine) {
    PartsFixture fixture;
    auto& machine = fixture.add_machine("vm-1");
    auto& other = fixture.add_machine("vm-2");  // uses the address of a deleted machine
    fixture.commands.probe(machine);
    fixture.wait(0);
    fixture.answer(answer_of(other));
    EXPECT_THAT(fixture.statuses, IsEmpty());
}

TEST(CommandSender, IgnoresAResponseAfterTheEndOfTheLeadership) {
    PartsFixture fixture;
    auto& machine = fixture.add_machine("vm-1");
    fixture.commands.probe(machine);
    fixture.wait(0);
    fixture.authority->end();
    fixture.answer(answer_of(machine));
    EXPECT_THAT(fixture.statuses, IsEmpty());
    EXPECT_FALSE(fixture.commands.last_answer_at());
}

TEST(CommandSender, SendsNoQueuedProbeAfterTheEndOfTheLeadership) {
    PartsFixture fixture;
    fixture.commands.probe(fixture.add_machine("vm-1"));
    fixture.authority->end();
    fixture.wait(0);
    EXPECT_THAT(fixture.sent, IsEmpty());
}

}  // namespace
}  // namespace coralhitch::leader

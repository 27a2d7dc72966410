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

using Bench = PartsFixture;

// Returns a successful response of the machine's agent, with its status.
http::Response answer_of(const cluster::Machine& machine) {
    return {200, status_of(machine, 4).dump()};
}

TEST(CommandSender, SendsAStartUnderTheMachinesTokenAndAgentEpoch) {
    Bench bench;
    auto& machine = bench.add_reconciled_machine("vm-1");
    bench.add_start("j-1", machine);
    bench.commands.flush_all();
    ASSERT_THAT(bench.sent, SizeIs(1));
    EXPECT_EQ(bench.sent[0].addr, machine.addr);
    auto body = nlohmann::json::parse(bench.sent[0].request.body);
    EXPECT_EQ(body["helm"], machine.token.value());
    EXPECT_EQ(body["watch"], machine.agent_epoch.value());
    EXPECT_THAT(verbs(bench.sent[0].request.body), ElementsAre("run"));
}

TEST(CommandSender, SendsNoStartBeforeTheMachineIsStored) {
    Bench bench;
    auto& machine = bench.add_reconciled_machine("vm-1");
    machine.registration = cluster::Machine::Registration::none;
    bench.add_start("j-1", machine);
    bench.machine_store.store_if_new(machine);
    bench.commands.flush_all();
    bench.machine_store.flush();
    bench.commands.flush_all();
    EXPECT_THAT(bench.sent, IsEmpty()) << "the write of the machine record is still in flight";
    bench.wait(1);
    ASSERT_TRUE(machine.is_stored());
    ASSERT_THAT(bench.sent, SizeIs(1));
    EXPECT_THAT(verbs(bench.sent[0].request.body), ElementsAre("run"));
}

TEST(CommandSender, SendsNoStartToAMachineThatHasNotReconciled) {
    Bench bench;
    auto& machine = bench.add_reconciled_machine("vm-1");
    machine.reconciled = false;
    bench.add_start("j-1", machine);
    bench.commands.flush_all();
    EXPECT_THAT(bench.sent, IsEmpty());
}

TEST(CommandSender, SendsNoStartWithoutAuthority) {
    Bench bench;
    auto& machine = bench.add_reconciled_machine("vm-1");
    auto& instance = bench.add_start("j-1", machine);
    bench.lose_authority();
    bench.commands.flush_all();
    EXPECT_THAT(bench.sent, IsEmpty());
    EXPECT_FALSE(instance.run.highest_token.is_set()) << "no `run` can be in flight";
}

TEST(CommandSender, KeepsAnInstanceWhoseRunGotNoResponse) {
    Bench bench;
    auto& machine = bench.add_reconciled_machine("vm-1");
    auto& instance = bench.add_start("j-1", machine);
    bench.commands.flush_all();
    bench.answer(std::nullopt);
    EXPECT_TRUE(machine.tasks.contains({"j-1", 0})) << "the `run` may have arrived, or may still arrive";
    EXPECT_EQ(instance.run.direct_in_flight, 0);
    EXPECT_EQ(instance.run.unacknowledged_token, machine.token)
        << "the `run` must be fenced before the instance may be removed";
}

TEST(CommandSender, RevokesTheDelegationOfAMachineThatItSendsCommandsTo) {
    Bench bench;
    auto& machine = bench.add_reconciled_machine("vm-1");
    bench.delegate("vm-1", "controller-1", bench.timers.now() + 3);
    bench.add_start("j-1", machine);
    bench.commands.flush_all();
    EXPECT_EQ(bench.delegations.count(), 0u)
        << "the relay would continue to answer heartbeats without commands";
    ASSERT_TRUE(machine.delegation_expiry);
    EXPECT_DOUBLE_EQ(*machine.delegation_expiry, bench.timers.now() + 3);
}

TEST(CommandSender, AppliesTheStatusInTheResponseToAProbe) {
    Bench bench;
    auto& machine = bench.add_machine("vm-1");
    bench.commands.probe(machine);
    bench.wait(0);
    ASSERT_THAT(bench.sent, SizeIs(1));
    EXPECT_THAT(verbs(bench.sent[0].request.body), IsEmpty());
    bench.answer(answer_of(machine));
    ASSERT_THAT(bench.statuses, SizeIs(1));
    EXPECT_EQ(bench.statuses[0].machine, "vm-1");
    EXPECT_EQ(bench.commands.last_answer_at(), bench.timers.now());
    EXPECT_FALSE(machine.probe_pending);
}

TEST(CommandSender, IgnoresTheStatusOfAnotherMachine) {
    Bench bench;
    auto& machine = bench.add_machine("vm-1");
    auto& other = bench.add_machine("vm-2");  // uses the address of a deleted machine
    bench.commands.probe(machine);
    bench.wait(0);
    bench.answer(answer_of(other));
    EXPECT_THAT(bench.statuses, IsEmpty());
}

TEST(CommandSender, IgnoresAResponseAfterTheEndOfTheLeadership) {
    Bench bench;
    auto& machine = bench.add_machine("vm-1");
    bench.commands.probe(machine);
    bench.wait(0);
    bench.authority->end();
    bench.answer(answer_of(machine));
    EXPECT_THAT(bench.statuses, IsEmpty());
    EXPECT_FALSE(bench.commands.last_answer_at());
}

TEST(CommandSender, SendsNoQueuedProbeAfterTheEndOfTheLeadership) {
    Bench bench;
    bench.commands.probe(bench.add_machine("vm-1"));
    bench.authority->end();
    bench.wait(0);
    EXPECT_THAT(bench.sent, IsEmpty());
}

}  // namespace
}  // namespace coralhitch::leader

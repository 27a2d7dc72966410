// Tests which commands a machine gets, and when its agent may be told to forget an attempt.
#include "cluster/machine_commands.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>

#include "cluster/cluster_state_fixture.hpp"
#include "protocol/model.hpp"

namespace coralhitch::cluster {
namespace {
using protocol::CommandKind;
using protocol::ExitCause;
using protocol::TaskState;

TEST(MachineCommands, StartsOnlyWithAuthorityOnReconciledStoredMachines) {
    for (auto [reconciled, stored, authority] :
         {std::tuple(false, true, true), {true, false, true}, {true, true, false}, {true, true, true}}) {
        ClusterStateFixture fixture;
        fixture.apply_heartbeat(reconciled ? fixture.base() : protocol::FencingToken::none());
        fixture.machine().registration = stored ? Machine::Registration::stored : Machine::Registration::none;
        fixture.cluster_state.place(fixture.machine(), task, fixture.spec, protocol::AttemptNumber{5}, 0);
        EXPECT_EQ(fixture.cluster_state.take_direct_commands(fixture.machine(), 0, authority).size(),
                  reconciled && stored && authority ? 1u : 0u);
    }
}

// Stopping a task whose `run` the agent may not have received raises the machine's token by one. The
// leadership must end before a token reaches the range of the next leadership.
TEST(MachineCommands, ReportsTokensNearlyExhaustedBeforeNextLeadershipsBegin) {
    ClusterStateFixture fixture;
    fixture.apply_heartbeat(fixture.base());
    auto& machine = fixture.machine();
    machine.registration = Machine::Registration::stored;
    auto raise = [&] {
        fixture.cluster_state.place(machine, task, fixture.spec, protocol::AttemptNumber{5}, 0);
        fixture.cluster_state.take_direct_commands(machine, 0, true);
        fixture.cluster_state.stop(machine, task, 0);
    };
    constexpr std::uint64_t next_leadership = 1ull << 20;
    std::uint64_t raised = 0;
    for (; !fixture.cluster_state.tokens_nearly_exhausted() && raised < next_leadership; ++raised) raise();
    EXPECT_EQ(machine.token.value(), fixture.base().value() + raised);
    EXPECT_GT(raised, 900000u);  // leadership must not end too early either
    // Raises before the leader resigns, at its next tick, stay within the range as well.
    for (int extra = 0; extra < 60000; ++extra) raise();
    EXPECT_LT(machine.token.value(), fixture.base().value() + next_leadership);
}

// A relay may answer the heartbeats of a machine with nothing pending by itself. Anything that was pending
// all the same would be delayed for as long as the machine's heartbeats keep the same content.
TEST(MachineCommands, HasNothingPendingOnlyWhenNoCommandOrChangeIsDue) {
    struct Case {
        const char* what;
        std::function<void(ClusterStateFixture&)> change;
        bool nothing_pending;
    };
    const Case cases[] = {
        {"the only task runs and was reported", [](ClusterStateFixture&) {}, true},
        {"no task is on the machine", [](ClusterStateFixture& fixture) { fixture.machine().tasks.clear(); },
         true},
        {"another task was placed and its `run` not sent yet",
         [](ClusterStateFixture& fixture) {
             fixture.cluster_state.place(fixture.machine(), {"j-1", 1}, fixture.spec,
                                         protocol::AttemptNumber{6}, 0);
         },
         false},
        {"a `run` was sent and not answered yet",
         [](ClusterStateFixture& fixture) {
             fixture.cluster_state.place(fixture.machine(), {"j-1", 1}, fixture.spec,
                                         protocol::AttemptNumber{6}, 0);
             fixture.cluster_state.take_direct_commands(fixture.machine(), 0, true);
         },
         false},
        {"a task is to be stopped",
         [](ClusterStateFixture& fixture) {
             fixture.cluster_state.stop(fixture.machine(), task, 0);
             fixture.cluster_state.take_direct_commands(fixture.machine(), 0, true);
         },
         false},
        {"a task belongs to an unknown job",
         [](ClusterStateFixture& fixture) { fixture.machine().tasks.begin()->second.spec = nullptr; }, false},
        {"an exited attempt is still reported",
         [](ClusterStateFixture& fixture) {
             fixture.reported_tasks[0].state = TaskState::exited;
             fixture.reported_tasks[0].cause = ExitCause::done;
             fixture.apply_heartbeat(fixture.base());
         },
         false},
        {"the agent has not seen the current token",
         [](ClusterStateFixture& fixture) { fixture.machine().token = fixture.machine().token.next(); },
         false},
        {"the machine is marked for deletion",
         [](ClusterStateFixture& fixture) {
             fixture.machine().lifecycle = Machine::Lifecycle::marked_for_deletion;
         },
         false},
        {"the machine has a preemption notice",
         [](ClusterStateFixture& fixture) { fixture.machine().preemption_deadline = 9; }, false},
        {"the machine is not reconciled",
         [](ClusterStateFixture& fixture) { fixture.machine().reconciled = false; }, false},
        {"the machine is not stored yet",
         [](ClusterStateFixture& fixture) { fixture.machine().registration = Machine::Registration::none; },
         false},
    };
    for (auto& c : cases) {
        ClusterStateFixture fixture;
        auto sent = fixture.place_and_send_run();
        fixture.cluster_state.complete_direct_commands(fixture.machine(), sent, fixture.base(), true);
        fixture.reported_tasks = {
            {task, protocol::AttemptNumber{5}, TaskState::running, ExitCause::none, false}};
        fixture.apply_heartbeat(fixture.base());
        c.change(fixture);
        EXPECT_EQ(fixture.cluster_state.nothing_pending(fixture.machine()), c.nothing_pending) << c.what;
    }
}

TEST(MachineCommands, FencesUnwantedRunWithHigherToken) {
    ClusterStateFixture fixture;
    auto sent = fixture.place_and_send_run();
    fixture.cluster_state.complete_direct_commands(fixture.machine(), sent, fixture.base(), false);
    fixture.cluster_state.stop(fixture.machine(), task, 0);
    EXPECT_GT(fixture.machine().token, fixture.base());
    EXPECT_FALSE(fixture.reply_contains(CommandKind::start));
    EXPECT_TRUE(fixture.apply_heartbeat(fixture.base())
                    .ends.empty());  // the agent would still execute the late `run`
    EXPECT_EQ(fixture.apply_heartbeat(fixture.machine().token).ends.size(),
              1u);  // the agent drops the late `run` now
    EXPECT_TRUE(fixture.machine().tasks.empty());
}

// An agent that has forgotten an attempt would start it again on receiving a late copy of its `run`.
TEST(MachineCommands, ForgetsAttemptUnderTokenAboveThatOfItsRun) {
    ClusterStateFixture fixture;
    auto sent = fixture.place_and_send_run();
    fixture.cluster_state.complete_direct_commands(fixture.machine(), sent, fixture.base(), true);
    fixture.reported_tasks = {{task, protocol::AttemptNumber{5}, TaskState::exited, ExitCause::stopped}};
    fixture.apply_heartbeat(fixture.base());
    ASSERT_TRUE(fixture.reply_contains(CommandKind::forget));
    EXPECT_GT(fixture.machine().token, fixture.base());
}

TEST(MachineCommands, ForgetsAttemptOnlyWhenStoredAndNoRunMayBeLate) {
    ClusterStateFixture fixture;
    auto sent = fixture.place_and_send_run();
    fixture.reported_tasks = {{task, protocol::AttemptNumber{5}, TaskState::exited, ExitCause::done}};
    fixture.apply_heartbeat(fixture.base());
    EXPECT_FALSE(fixture.reply_contains(CommandKind::forget));  // the outcome is not stored
    fixture.cluster_state.record_outcome_stored("j-1");
    fixture.apply_heartbeat(fixture.base());
    EXPECT_FALSE(fixture.reply_contains(CommandKind::forget));  // the direct `run` is still in flight
    fixture.cluster_state.complete_direct_commands(fixture.machine(), sent, fixture.base(), false);
    fixture.apply_heartbeat(fixture.base());
    EXPECT_FALSE(fixture.reply_contains(
        CommandKind::forget));  // the `run` got no answer: a higher token is sent first
    EXPECT_GT(fixture.machine().token, fixture.base());
    fixture.apply_heartbeat(fixture.machine().token);
    EXPECT_TRUE(fixture.reply_contains(CommandKind::forget));
}

TEST(MachineCommands, ForgetsAttemptOnlyAfterHeartbeatThatFollowsReplyWithRun) {
    ClusterStateFixture fixture;
    auto sent = fixture.place_and_send_run();
    fixture.cluster_state.complete_direct_commands(fixture.machine(), sent, fixture.base(), true);
    fixture.apply_heartbeat(fixture.base());
    EXPECT_TRUE(
        fixture.reply_contains(CommandKind::start));  // this reply may reach the agent a few seconds late
    fixture.reported_tasks = {
        {task, protocol::AttemptNumber{5}, TaskState::exited, ExitCause::insufficient_resources}};
    fixture.apply_heartbeat(fixture.base(), HeartbeatChannel::direct_reply);  // a direct reply overtakes it
    EXPECT_FALSE(fixture.reply_contains(CommandKind::forget));
    fixture.apply_heartbeat(fixture.base());
    EXPECT_TRUE(fixture.reply_contains(CommandKind::forget));
}

}  // namespace
}  // namespace coralhitch::cluster

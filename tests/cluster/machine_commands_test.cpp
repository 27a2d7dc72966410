// Which commands a machine gets, and when the agent may be told to forget an attempt.
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

// Each `run` that is called back before it is seen raises its machine's token by one.
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
    EXPECT_GT(raised, 900000u);  // not more hand-overs than need be
    // What happens until the hand-over, at the leader's next tick, stays below too.
    for (int k = 0; k < 60000; ++k) raise();
    EXPECT_LT(machine.token.value(), fixture.base().value() + next_leadership);
}

// Another controller may go on answering a machine for which nothing is to be said. Each of these would be
// left unsaid for as long as its reports repeat.
TEST(MachineCommands, HasNothingPendingOnlyWhenNoCommandOrReportIsDue) {
    struct Case {
        const char* what;
        std::function<void(ClusterStateFixture&)> then;
        bool nothing_pending;
    };
    const Case cases[] = {
        {"a task runs, and was shown", [](ClusterStateFixture&) {}, true},
        {"nothing is on it", [](ClusterStateFixture& fixture) { fixture.machine().tasks.clear(); }, true},
        {"another task was placed, not sent yet",
         [](ClusterStateFixture& fixture) {
             fixture.cluster_state.place(fixture.machine(), {"j-1", 1}, fixture.spec,
                                         protocol::AttemptNumber{6}, 0);
         },
         false},
        {"a start was sent, its answer is missing",
         [](ClusterStateFixture& fixture) {
             fixture.cluster_state.place(fixture.machine(), {"j-1", 1}, fixture.spec,
                                         protocol::AttemptNumber{6}, 0);
             fixture.cluster_state.take_direct_commands(fixture.machine(), 0, true);
         },
         false},
        {"a task is to stop",
         [](ClusterStateFixture& fixture) {
             fixture.cluster_state.stop(fixture.machine(), task, 0);
             fixture.cluster_state.take_direct_commands(fixture.machine(), 0, true);
         },
         false},
        {"a task of a job that nobody knows",
         [](ClusterStateFixture& fixture) { fixture.machine().tasks.begin()->second.spec = nullptr; }, false},
        {"an end that the worker may forget soon",
         [](ClusterStateFixture& fixture) {
             fixture.reported_tasks[0].state = TaskState::exited;
             fixture.reported_tasks[0].cause = ExitCause::done;
             fixture.apply_heartbeat(fixture.base());
         },
         false},
        {"a higher token that it has not seen",
         [](ClusterStateFixture& fixture) { fixture.machine().token = fixture.machine().token.next(); },
         false},
        {"it is to be deleted",
         [](ClusterStateFixture& fixture) {
             fixture.machine().lifecycle = Machine::Lifecycle::marked_for_deletion;
         },
         false},
        {"it has notice", [](ClusterStateFixture& fixture) { fixture.machine().preemption_deadline = 9; },
         false},
        {"it is not reconciled", [](ClusterStateFixture& fixture) { fixture.machine().reconciled = false; },
         false},
        {"it is not stored yet",
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
        c.then(fixture);
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
                    .ends.empty());  // the worker would still take the late command
    EXPECT_EQ(fixture.apply_heartbeat(fixture.machine().token).ends.size(), 1u);  // now it drops it
    EXPECT_TRUE(fixture.machine().tasks.empty());
}

// Forgotten, an attempt is started again by a copy of its `run`.
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
    EXPECT_FALSE(fixture.reply_contains(CommandKind::forget));  // not stored
    fixture.cluster_state.record_outcome_stored("j-1");
    fixture.apply_heartbeat(fixture.base());
    EXPECT_FALSE(fixture.reply_contains(CommandKind::forget));  // the direct `run` is still under way
    fixture.cluster_state.complete_direct_commands(fixture.machine(), sent, fixture.base(), false);
    fixture.apply_heartbeat(fixture.base());
    EXPECT_FALSE(
        fixture.reply_contains(CommandKind::forget));  // it got no answer: a higher token goes out first
    EXPECT_GT(fixture.machine().token, fixture.base());
    fixture.apply_heartbeat(fixture.machine().token);
    EXPECT_TRUE(fixture.reply_contains(CommandKind::forget));
}

TEST(MachineCommands, ForgetsAttemptOnlyAfterHeartbeatThatFollowsReplyWithRun) {
    ClusterStateFixture fixture;
    auto sent = fixture.place_and_send_run();
    fixture.cluster_state.complete_direct_commands(fixture.machine(), sent, fixture.base(), true);
    fixture.apply_heartbeat(fixture.base());
    EXPECT_TRUE(fixture.reply_contains(
        CommandKind::start));  // this answer may reach the worker up to a few seconds later
    fixture.reported_tasks = {
        {task, protocol::AttemptNumber{5}, TaskState::exited, ExitCause::insufficient_resources}};
    fixture.apply_heartbeat(fixture.base(), HeartbeatChannel::direct_reply);  // a direct answer overtakes it
    EXPECT_FALSE(fixture.reply_contains(CommandKind::forget));
    fixture.apply_heartbeat(fixture.base());
    EXPECT_TRUE(fixture.reply_contains(CommandKind::forget));
}

}  // namespace
}  // namespace coralhitch::cluster

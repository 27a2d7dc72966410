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
        ClusterStateFixture b;
        b.apply_heartbeat(reconciled ? b.base() : protocol::FencingToken::none());
        b.machine().registration = stored ? Machine::Registration::stored : Machine::Registration::none;
        b.cluster_state.place(b.machine(), task, b.spec, protocol::AttemptNumber{5}, 0);
        EXPECT_EQ(b.cluster_state.take_direct_commands(b.machine(), 0, authority).size(),
                  reconciled && stored && authority ? 1u : 0u);
    }
}

// Each `run` that is called back before it is seen raises its machine's token by one.
TEST(MachineCommands, ReportsTokensNearlyExhaustedBeforeNextLeadershipsBegin) {
    ClusterStateFixture b;
    b.apply_heartbeat(b.base());
    auto& m = b.machine();
    m.registration = Machine::Registration::stored;
    auto raise = [&] {
        b.cluster_state.place(m, task, b.spec, protocol::AttemptNumber{5}, 0);
        b.cluster_state.take_direct_commands(m, 0, true);
        b.cluster_state.stop(m, task, 0);
    };
    constexpr std::uint64_t next_leadership = 1ull << 20;
    std::uint64_t raised = 0;
    for (; !b.cluster_state.tokens_nearly_exhausted() && raised < next_leadership; ++raised) raise();
    EXPECT_EQ(m.token.value(), b.base().value() + raised);
    EXPECT_GT(raised, 900000u);  // not more hand-overs than need be
    // What happens until the hand-over, at the leader's next tick, stays below too.
    for (int k = 0; k < 60000; ++k) raise();
    EXPECT_LT(m.token.value(), b.base().value() + next_leadership);
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
        {"nothing is on it", [](ClusterStateFixture& b) { b.machine().tasks.clear(); }, true},
        {"another task was placed, not sent yet",
         [](ClusterStateFixture& b) {
             b.cluster_state.place(b.machine(), {"j-1", 1}, b.spec, protocol::AttemptNumber{6}, 0);
         },
         false},
        {"a start was sent, its answer is missing",
         [](ClusterStateFixture& b) {
             b.cluster_state.place(b.machine(), {"j-1", 1}, b.spec, protocol::AttemptNumber{6}, 0);
             b.cluster_state.take_direct_commands(b.machine(), 0, true);
         },
         false},
        {"a task is to stop",
         [](ClusterStateFixture& b) {
             b.cluster_state.stop(b.machine(), task, 0);
             b.cluster_state.take_direct_commands(b.machine(), 0, true);
         },
         false},
        {"a task of a job that nobody knows",
         [](ClusterStateFixture& b) { b.machine().tasks.begin()->second.spec = nullptr; }, false},
        {"an end that the worker may forget soon",
         [](ClusterStateFixture& b) {
             b.reported_tasks[0].state = TaskState::exited;
             b.reported_tasks[0].cause = ExitCause::done;
             b.apply_heartbeat(b.base());
         },
         false},
        {"a higher token that it has not seen",
         [](ClusterStateFixture& b) { b.machine().token = b.machine().token.next(); }, false},
        {"it is to be deleted",
         [](ClusterStateFixture& b) { b.machine().lifecycle = Machine::Lifecycle::marked_for_deletion; },
         false},
        {"it has notice", [](ClusterStateFixture& b) { b.machine().preemption_deadline = 9; }, false},
        {"it is not reconciled", [](ClusterStateFixture& b) { b.machine().reconciled = false; }, false},
        {"it is not stored yet",
         [](ClusterStateFixture& b) { b.machine().registration = Machine::Registration::none; }, false},
    };
    for (auto& c : cases) {
        ClusterStateFixture b;
        auto sent = b.place_and_send_run();
        b.cluster_state.complete_direct_commands(b.machine(), sent, b.base(), true);
        b.reported_tasks = {{task, protocol::AttemptNumber{5}, TaskState::running, ExitCause::none, false}};
        b.apply_heartbeat(b.base());
        c.then(b);
        EXPECT_EQ(b.cluster_state.nothing_pending(b.machine()), c.nothing_pending) << c.what;
    }
}

TEST(MachineCommands, FencesUnwantedRunWithHigherToken) {
    ClusterStateFixture b;
    auto sent = b.place_and_send_run();
    b.cluster_state.complete_direct_commands(b.machine(), sent, b.base(), false);
    b.cluster_state.stop(b.machine(), task, 0);
    EXPECT_GT(b.machine().token, b.base());
    EXPECT_FALSE(b.reply_contains(CommandKind::start));
    EXPECT_TRUE(b.apply_heartbeat(b.base()).ends.empty());  // the worker would still take the late command
    EXPECT_EQ(b.apply_heartbeat(b.machine().token).ends.size(), 1u);  // now it drops it
    EXPECT_TRUE(b.machine().tasks.empty());
}

// Forgotten, an attempt is started again by a copy of its `run`.
TEST(MachineCommands, ForgetsAttemptUnderTokenAboveThatOfItsRun) {
    ClusterStateFixture b;
    auto sent = b.place_and_send_run();
    b.cluster_state.complete_direct_commands(b.machine(), sent, b.base(), true);
    b.reported_tasks = {{task, protocol::AttemptNumber{5}, TaskState::exited, ExitCause::stopped}};
    b.apply_heartbeat(b.base());
    ASSERT_TRUE(b.reply_contains(CommandKind::forget));
    EXPECT_GT(b.machine().token, b.base());
}

TEST(MachineCommands, ForgetsAttemptOnlyWhenStoredAndNoRunMayBeLate) {
    ClusterStateFixture b;
    auto sent = b.place_and_send_run();
    b.reported_tasks = {{task, protocol::AttemptNumber{5}, TaskState::exited, ExitCause::done}};
    b.apply_heartbeat(b.base());
    EXPECT_FALSE(b.reply_contains(CommandKind::forget));  // not stored
    b.cluster_state.record_outcome_stored("j-1");
    b.apply_heartbeat(b.base());
    EXPECT_FALSE(b.reply_contains(CommandKind::forget));  // the direct `run` is still under way
    b.cluster_state.complete_direct_commands(b.machine(), sent, b.base(), false);
    b.apply_heartbeat(b.base());
    EXPECT_FALSE(b.reply_contains(CommandKind::forget));  // it got no answer: a higher token goes out first
    EXPECT_GT(b.machine().token, b.base());
    b.apply_heartbeat(b.machine().token);
    EXPECT_TRUE(b.reply_contains(CommandKind::forget));
}

TEST(MachineCommands, ForgetsAttemptOnlyAfterHeartbeatThatFollowsReplyWithRun) {
    ClusterStateFixture b;
    auto sent = b.place_and_send_run();
    b.cluster_state.complete_direct_commands(b.machine(), sent, b.base(), true);
    b.apply_heartbeat(b.base());
    EXPECT_TRUE(
        b.reply_contains(CommandKind::start));  // this answer may reach the worker up to a few seconds later
    b.reported_tasks = {
        {task, protocol::AttemptNumber{5}, TaskState::exited, ExitCause::insufficient_resources}};
    b.apply_heartbeat(b.base(), HeartbeatChannel::direct_reply);  // a direct answer overtakes it
    EXPECT_FALSE(b.reply_contains(CommandKind::forget));
    b.apply_heartbeat(b.base());
    EXPECT_TRUE(b.reply_contains(CommandKind::forget));
}

}  // namespace
}  // namespace coralhitch::cluster

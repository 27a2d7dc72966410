// What a report changes, and when a task counts as terminated.
#include "cluster/heartbeat_application.hpp"

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

TEST(HeartbeatApplication, KeepsUnreportedTaskWhileItsRunMayStillArrive) {
    ClusterStateFixture fixture;
    auto sent = fixture.place_and_send_run();
    fixture.cluster_state.complete_direct_commands(fixture.machine(), sent, fixture.base(),
                                                   false);  // no answer: not a proof
    EXPECT_TRUE(fixture.apply_heartbeat(fixture.base()).ends.empty());
    EXPECT_EQ(fixture.machine().tasks.size(), 1u);
    EXPECT_TRUE(fixture.reply_contains(CommandKind::start));  // wanted: sent again
    EXPECT_DOUBLE_EQ(fixture.machine().free().gpus, 3);
}

TEST(HeartbeatApplication, EndsInstanceOnEachProofOfExit) {
    struct Case {
        const char* name;
        std::function<std::vector<InstanceEnd>(ClusterStateFixture&)> proof;
    };
    const Case cases[] = {
        {"reported as exited",
         [](ClusterStateFixture& fixture) {
             fixture.reported_tasks = {
                 {task, protocol::AttemptNumber{5}, TaskState::exited, ExitCause::stopped, true}};
             return fixture.apply_heartbeat(fixture.base()).ends;
         }},
        {"a new agent epoch",
         [](ClusterStateFixture& fixture) {
             fixture.sequence = 0;
             return fixture.apply_heartbeat(fixture.base(), HeartbeatChannel::heartbeat, 2).ends;
         }},
        {"deletion answered",
         [](ClusterStateFixture& fixture) { return fixture.cluster_state.remove_deleted("vm-1"); }},
        {"the lease has expired",
         [](ClusterStateFixture& fixture) { return fixture.cluster_state.expire_lease(fixture.machine()); }},
    };
    for (auto& c : cases) {
        ClusterStateFixture fixture;
        fixture.place_and_send_run();
        fixture.reported_tasks = {{task, protocol::AttemptNumber{5}, TaskState::running}};
        EXPECT_TRUE(fixture.apply_heartbeat(fixture.base(), HeartbeatChannel::direct_reply).ends.empty())
            << c.name;
        auto ends = c.proof(fixture);
        ASSERT_EQ(ends.size(), 1u) << c.name;
        EXPECT_EQ(ends[0].attempt, protocol::AttemptNumber{5}) << c.name;
    }
}

TEST(HeartbeatApplication, IgnoresOlderHeartbeat) {
    ClusterStateFixture fixture;
    fixture.place_and_send_run();
    fixture.reported_tasks = {{task, protocol::AttemptNumber{5}, TaskState::running}};
    fixture.sequence = 10;
    fixture.apply_heartbeat(fixture.base());
    fixture.reported_tasks = {{task, protocol::AttemptNumber{5}, TaskState::exited, ExitCause::done}};
    fixture.sequence = 3;
    auto outcome = fixture.apply_heartbeat(fixture.base());
    EXPECT_FALSE(outcome.is_newer());
    // A worker has one report under way: nobody waits for this one's answer.
    EXPECT_FALSE(outcome.may_be_answered());
    EXPECT_EQ(fixture.machine().tasks.size(), 1u);
    fixture.sequence = 10;
    outcome = fixture.apply_heartbeat(fixture.base());
    // The newest once more: its sender may wait.
    EXPECT_TRUE(outcome.is_repeated() && outcome.may_be_answered() && !outcome.is_newer());
}

// Copies of reports come well over a lease late, after any number of newer ones, also to a leader that has
// received none of those.
TEST(HeartbeatApplication, IgnoresLateCopiesOfTerminatedInstances) {
    ClusterStateFixture
        fixture;  // a new leader: the machine was deleted under the one before, and is in no page
    fixture.reported_tasks = {{task, protocol::AttemptNumber{5}, TaskState::running}};
    EXPECT_TRUE(fixture.apply_heartbeat(fixture.below_base(1)).is_terminated());
    EXPECT_EQ(fixture.cluster_state.find("vm-1"), nullptr);
    // What it answers now counts.
    EXPECT_FALSE(fixture.apply_heartbeat(fixture.base(), HeartbeatChannel::direct_reply).is_terminated());
    EXPECT_EQ(fixture.machine().tasks.size(), 1u);

    ClusterStateFixture c;  // its lease was out: the task may run elsewhere by now
    c.place_and_send_run();
    c.reported_tasks = {{task, protocol::AttemptNumber{5}, TaskState::running}};
    c.apply_heartbeat(c.base());
    EXPECT_EQ(c.cluster_state.expire_lease(c.machine()).size(), 1u);
    EXPECT_TRUE(c.apply_heartbeat(c.base()).is_terminated());
    EXPECT_TRUE(c.machine().tasks.empty());
    c.reported_tasks.clear();
    EXPECT_TRUE(c.apply_heartbeat(c.base(), HeartbeatChannel::heartbeat, 2).is_newer());

    ClusterStateFixture d;  // the same, of a machine that this leader had no report of
    d.store_by_earlier_leader();
    d.cluster_state.expire_lease(d.machine());
    d.reported_tasks = {{task, protocol::AttemptNumber{5}, TaskState::running}};
    EXPECT_TRUE(d.apply_heartbeat(d.base()).is_terminated());
    EXPECT_FALSE(d.apply_heartbeat(d.base(), HeartbeatChannel::direct_reply).is_terminated());
}

// What a report from before this leader began shows takes up its resources, but is no evidence of where the
// task is before the machine confirms it, and none against what is known from the replica.
TEST(HeartbeatApplication, ConfirmsInstancesOnlyByReportsToThisLeader) {
    struct Case {
        const char* what;
        std::function<void(ClusterStateFixture&)> then;
        std::size_t found_instances, ends;  // by it
        bool there, confirmed;              // afterwards
    };
    const protocol::TaskStatus shown{task, protocol::AttemptNumber{3}, TaskState::running, ExitCause::none,
                                     false};
    auto known_from_replica = [&](ClusterStateFixture& fixture, protocol::AttemptNumber attempt) {
        fixture.store_by_earlier_leader();
        fixture.machine().known_from_replica = true;
        fixture.cluster_state.place_from_replica(fixture.machine(), task, fixture.spec, attempt, 0);
    };
    std::size_t found_instances = 0, ends = 0;
    auto apply = [&](ClusterStateFixture& fixture, protocol::FencingToken token,
                     HeartbeatChannel channel = HeartbeatChannel::heartbeat, std::uint64_t agent_epoch = 1) {
        auto o = fixture.apply_heartbeat(token, channel, agent_epoch);
        found_instances += o.found_instances.size();
        ends += o.ends.size();
        return o;
    };
    auto old = [&](ClusterStateFixture& fixture) {
        fixture.reported_tasks = {shown};
        return apply(fixture, fixture.below_base(1));
    };
    const Case cases[] = {
        {"it alone", [&](ClusterStateFixture& fixture) { fixture.store_by_earlier_leader(), old(fixture); },
         1, 0, true, false},
        {"reported again in a direct reply",
         [&](ClusterStateFixture& fixture) {
             fixture.store_by_earlier_leader(), old(fixture),
                 apply(fixture, fixture.below_base(1), HeartbeatChannel::direct_reply);
         },
         2, 0, true, true},
        {"shown again under this leader's token",
         [&](ClusterStateFixture& fixture) {
             fixture.store_by_earlier_leader(), old(fixture), apply(fixture, fixture.base());
         },
         2, 0, true, true},
        {"not reported under this leader's token",
         [&](ClusterStateFixture& fixture) {
             fixture.store_by_earlier_leader(), old(fixture), fixture.reported_tasks.clear(),
                 apply(fixture, fixture.base());
         },
         1, 0, false, false},
        {"not reported in a direct reply",
         [&](ClusterStateFixture& fixture) {
             fixture.store_by_earlier_leader(), old(fixture), fixture.reported_tasks.clear(),
                 apply(fixture, protocol::FencingToken{1}, HeartbeatChannel::direct_reply);
         },
         1, 0, false, false},
        {"terminated by a new agent epoch",
         [&](ClusterStateFixture& fixture) {
             fixture.store_by_earlier_leader(), old(fixture), fixture.reported_tasks.clear(),
                 apply(fixture, protocol::FencingToken{1}, HeartbeatChannel::heartbeat, 2);
         },
         1, 0, false, false},
        {"exited",
         [&](ClusterStateFixture& fixture) {
             fixture.store_by_earlier_leader(), old(fixture),
                 fixture.reported_tasks[0].state = TaskState::exited,
                 apply(fixture, protocol::FencingToken{1});
         },
         1, 1, false, false},
        {"known from the replica",
         [&](ClusterStateFixture& fixture) {
             known_from_replica(fixture, protocol::AttemptNumber{3}), old(fixture);
         },
         0, 0, true, true},
        {"known from the replica that nothing is there",
         [&](ClusterStateFixture& fixture) {
             fixture.store_by_earlier_leader(), fixture.machine().known_from_replica = true, old(fixture);
         },
         0, 0, false, false},
        {"of an earlier attempt than the one in the replica",
         [&](ClusterStateFixture& fixture) {
             known_from_replica(fixture, protocol::AttemptNumber{5}), old(fixture);
             EXPECT_EQ(fixture.machine().tasks.at(task).attempt, protocol::AttemptNumber{5});
         },
         0, 0, true, true},
        {"of a later agent epoch than one that is terminated",
         [&](ClusterStateFixture& fixture) {
             fixture.store_by_earlier_leader(), apply(fixture, fixture.below_base(1)),
                 fixture.cluster_state.expire_lease(fixture.machine()), fixture.reported_tasks = {shown};
             EXPECT_TRUE(
                 apply(fixture, fixture.below_base(1), HeartbeatChannel::heartbeat, 2).is_terminated());
         },
         0, 0, false, false},
        {"of a machine that only this leader stored",
         [&](ClusterStateFixture& fixture) {
             apply(fixture, fixture.below_base(1)),
                 fixture.machine().registration = Machine::Registration::stored;
             EXPECT_TRUE(old(fixture).is_terminated());
         },
         0, 0, false, false},
    };
    for (auto& c : cases) {
        ClusterStateFixture fixture;
        found_instances = ends = 0;
        c.then(fixture);
        EXPECT_EQ(found_instances, c.found_instances) << c.what;
        EXPECT_EQ(ends, c.ends) << c.what;
        auto* machine = fixture.cluster_state.find("vm-1");
        ASSERT_TRUE(machine) << c.what;
        EXPECT_EQ(machine->tasks.contains(task), c.there) << c.what;
        EXPECT_EQ(c.there && machine->tasks.at(task).confirmed, c.confirmed) << c.what;
    }
}

// A machine back under its name begins with low numbers: copies of its earlier lifecycle, received first, had
// made a new leader refuse it until its lease was out.
TEST(HeartbeatApplication, PrefersMachineOverReportsOfItsEarlierLife) {
    struct Case {
        std::uint64_t agent_epoch, sequence;  // of the earlier lifecycle
        std::uint64_t tokens_below;  // below this leader's: the agent epoch asked for was not its own
        HeartbeatChannel channel;
        bool fresh;
    };
    const Case cases[] = {
        {1, 500, 0, HeartbeatChannel::heartbeat, true},     {1, 500, 0, HeartbeatChannel::direct_reply, true},
        {3, 500, 1, HeartbeatChannel::direct_reply, true},  {3, 500, 1, HeartbeatChannel::heartbeat, false},
        {1, 500, 1, HeartbeatChannel::direct_reply, false}, {1, 500, 1, HeartbeatChannel::heartbeat, false}};
    for (auto& c : cases) {
        ClusterStateFixture fixture;
        fixture.store_by_earlier_leader();
        fixture.reported_tasks = {
            {task, protocol::AttemptNumber{3}, TaskState::running, ExitCause::none, false}};
        fixture.sequence = c.sequence;
        fixture.apply_heartbeat(fixture.below_base(1), HeartbeatChannel::heartbeat, c.agent_epoch);
        fixture.sequence = 7;
        fixture.reported_tasks.clear();
        EXPECT_EQ(fixture.apply_heartbeat(fixture.below_base(c.tokens_below), c.channel).is_newer(), c.fresh);
        EXPECT_EQ(fixture.machine().sequence.value(), c.fresh ? 8 : c.sequence + 1);
        EXPECT_EQ(fixture.machine().tasks.empty(), c.fresh);
        fixture.apply_heartbeat(fixture.base());
        EXPECT_TRUE(fixture.machine().reconciled);
        // From here on the larger is the newer.
        fixture.sequence = 3;
        EXPECT_FALSE(fixture.apply_heartbeat(fixture.base()).is_newer());
    }
}

TEST(HeartbeatApplication, NeverPostponesPreemptionDeadline) {
    ClusterStateFixture fixture;
    fixture.store_by_earlier_leader();
    fixture.preemption_notice_s = 90;
    fixture.apply_heartbeat(fixture.below_base(1));
    fixture.preemption_notice_s = 20;
    fixture.apply_heartbeat(fixture.base());
    EXPECT_DOUBLE_EQ(fixture.machine().preemption_deadline.value(), 20);
    fixture.preemption_notice_s = 30;
    fixture.apply_heartbeat(fixture.base());
    EXPECT_DOUBLE_EQ(fixture.machine().preemption_deadline.value(), 20);
}

TEST(HeartbeatApplication, IgnoresLateHeartbeatOfDeletedMachine) {
    ClusterStateFixture fixture;
    fixture.place_and_send_run();
    fixture.cluster_state.remove_deleted("vm-1");
    EXPECT_TRUE(fixture.apply_heartbeat(fixture.base()).is_terminated());
    EXPECT_EQ(fixture.cluster_state.find("vm-1"), nullptr);
}

TEST(HeartbeatApplication, ReconcilesMachineOnlyByReportUnderThisLeadersToken) {
    ClusterStateFixture fixture;
    fixture.store_by_earlier_leader();
    fixture.reported_tasks = {{task, protocol::AttemptNumber{3}, TaskState::running}};
    auto outcome = fixture.apply_heartbeat(fixture.below_base(1));
    EXPECT_EQ(outcome.found_instances.size(), 1u);
    EXPECT_FALSE(fixture.machine().reconciled);
    fixture.apply_heartbeat(fixture.base());
    EXPECT_TRUE(fixture.machine().reconciled);
    fixture.sequence += 1;
    EXPECT_TRUE(
        fixture.apply_heartbeat(protocol::FencingToken{(version.value() + 1) << ClusterState::token_bits})
            .is_deposed());
}

TEST(HeartbeatApplication, StopsTasksOfUnknownJobs) {
    ClusterStateFixture fixture;
    fixture.store_by_earlier_leader();
    fixture.reported_tasks = {{{"j-2", 0}, protocol::AttemptNumber{3}, TaskState::running}};
    fixture.apply_heartbeat(fixture.base());
    EXPECT_TRUE(fixture.machine().has_instance_of_unknown_job());
    EXPECT_TRUE(fixture.reply_contains(CommandKind::stop));
}

}  // namespace
}  // namespace coralhitch::cluster

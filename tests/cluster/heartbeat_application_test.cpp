// Tests what a heartbeat changes, and which heartbeats are evidence that a task has terminated.
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
    // The `run` got no answer, which is no evidence that it was not executed.
    fixture.cluster_state.complete_direct_commands(fixture.machine(), sent, fixture.base(), false);
    EXPECT_TRUE(fixture.apply_heartbeat(fixture.base()).ends.empty());
    EXPECT_EQ(fixture.machine().tasks.size(), 1u);
    EXPECT_TRUE(fixture.reply_contains(CommandKind::start));  // the `run` is sent again
    EXPECT_DOUBLE_EQ(fixture.machine().free().gpus, 3);
}

TEST(HeartbeatApplication, EndsInstanceOnEachKindOfEvidence) {
    struct Case {
        const char* name;
        std::function<std::vector<InstanceEnd>(ClusterStateFixture&)> apply_evidence;
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
        {"deletion confirmed by the cloud",
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
        auto ends = c.apply_evidence(fixture);
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
    // An agent has only one heartbeat in flight, so it does not wait for the reply to this one any more.
    EXPECT_FALSE(outcome.may_be_answered());
    EXPECT_EQ(fixture.machine().tasks.size(), 1u);
    fixture.sequence = 10;
    outcome = fixture.apply_heartbeat(fixture.base());
    // A repetition of the newest heartbeat may be answered, because the agent may be waiting for the reply.
    EXPECT_TRUE(outcome.is_repeated() && outcome.may_be_answered() && !outcome.is_newer());
}

// Copies of heartbeats may arrive more than a lease duration late, after any number of newer ones, and also
// at a leader that has received none of the newer ones. They must not bring terminated instances back.
TEST(HeartbeatApplication, IgnoresLateCopiesOfTerminatedInstances) {
    // The machine was deleted under the previous leader, so the new leader finds no stored record of it.
    ClusterStateFixture fixture;
    fixture.reported_tasks = {{task, protocol::AttemptNumber{5}, TaskState::running}};
    EXPECT_TRUE(fixture.apply_heartbeat(fixture.below_base(1)).is_terminated());
    EXPECT_EQ(fixture.cluster_state.find("vm-1"), nullptr);
    // A reply to a command of this leader is current, so it is applied.
    EXPECT_FALSE(fixture.apply_heartbeat(fixture.base(), HeartbeatChannel::direct_reply).is_terminated());
    EXPECT_EQ(fixture.machine().tasks.size(), 1u);

    // The lease of the machine has expired, so the task may run on another machine by now.
    ClusterStateFixture with_expired_lease;
    with_expired_lease.place_and_send_run();
    with_expired_lease.reported_tasks = {{task, protocol::AttemptNumber{5}, TaskState::running}};
    with_expired_lease.apply_heartbeat(with_expired_lease.base());
    EXPECT_EQ(with_expired_lease.cluster_state.expire_lease(with_expired_lease.machine()).size(), 1u);
    EXPECT_TRUE(with_expired_lease.apply_heartbeat(with_expired_lease.base()).is_terminated());
    EXPECT_TRUE(with_expired_lease.machine().tasks.empty());
    with_expired_lease.reported_tasks.clear();
    EXPECT_TRUE(with_expired_lease.apply_heartbeat(with_expired_lease.base(), HeartbeatChannel::heartbeat, 2)
                    .is_newer());

    // This leader has received no heartbeat of the machine before its lease expired.
    ClusterStateFixture without_heartbeat;
    without_heartbeat.store_by_earlier_leader();
    without_heartbeat.cluster_state.expire_lease(without_heartbeat.machine());
    without_heartbeat.reported_tasks = {{task, protocol::AttemptNumber{5}, TaskState::running}};
    EXPECT_TRUE(without_heartbeat.apply_heartbeat(without_heartbeat.base()).is_terminated());
    EXPECT_FALSE(without_heartbeat.apply_heartbeat(without_heartbeat.base(), HeartbeatChannel::direct_reply)
                     .is_terminated());
}

// An instance that only a heartbeat from before this leadership shows holds its resources, but is not
// confirmed before the machine shows it to this leader. Such a heartbeat never overrides what is known from
// the replica.
TEST(HeartbeatApplication, ConfirmsInstancesOnlyByHeartbeatsToThisLeader) {
    struct Case {
        const char* what;
        std::function<void(ClusterStateFixture&)> apply_heartbeats;
        std::size_t found_instances, ends;  // totals over all heartbeats of the case
        bool there, confirmed;              // the instance, afterwards
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
        auto outcome = fixture.apply_heartbeat(token, channel, agent_epoch);
        found_instances += outcome.found_instances.size();
        ends += outcome.ends.size();
        return outcome;
    };
    auto apply_earlier_heartbeat = [&](ClusterStateFixture& fixture) {
        fixture.reported_tasks = {shown};
        return apply(fixture, fixture.below_base(1));
    };
    const Case cases[] = {
        {"only a heartbeat from before this leadership",
         [&](ClusterStateFixture& fixture) {
             fixture.store_by_earlier_leader(), apply_earlier_heartbeat(fixture);
         },
         1, 0, true, false},
        {"reported again in a direct reply",
         [&](ClusterStateFixture& fixture) {
             fixture.store_by_earlier_leader(), apply_earlier_heartbeat(fixture),
                 apply(fixture, fixture.below_base(1), HeartbeatChannel::direct_reply);
         },
         2, 0, true, true},
        {"shown again under this leader's token",
         [&](ClusterStateFixture& fixture) {
             fixture.store_by_earlier_leader(), apply_earlier_heartbeat(fixture),
                 apply(fixture, fixture.base());
         },
         2, 0, true, true},
        {"not reported under this leader's token",
         [&](ClusterStateFixture& fixture) {
             fixture.store_by_earlier_leader(), apply_earlier_heartbeat(fixture),
                 fixture.reported_tasks.clear(), apply(fixture, fixture.base());
         },
         1, 0, false, false},
        {"not reported in a direct reply",
         [&](ClusterStateFixture& fixture) {
             fixture.store_by_earlier_leader(), apply_earlier_heartbeat(fixture),
                 fixture.reported_tasks.clear(),
                 apply(fixture, protocol::FencingToken{1}, HeartbeatChannel::direct_reply);
         },
         1, 0, false, false},
        {"terminated by a new agent epoch",
         [&](ClusterStateFixture& fixture) {
             fixture.store_by_earlier_leader(), apply_earlier_heartbeat(fixture),
                 fixture.reported_tasks.clear(),
                 apply(fixture, protocol::FencingToken{1}, HeartbeatChannel::heartbeat, 2);
         },
         1, 0, false, false},
        {"exited",
         [&](ClusterStateFixture& fixture) {
             fixture.store_by_earlier_leader(), apply_earlier_heartbeat(fixture),
                 fixture.reported_tasks[0].state = TaskState::exited,
                 apply(fixture, protocol::FencingToken{1});
         },
         1, 1, false, false},
        {"known from the replica",
         [&](ClusterStateFixture& fixture) {
             known_from_replica(fixture, protocol::AttemptNumber{3}), apply_earlier_heartbeat(fixture);
         },
         0, 0, true, true},
        {"the replica shows that nothing is on the machine",
         [&](ClusterStateFixture& fixture) {
             fixture.store_by_earlier_leader(), fixture.machine().known_from_replica = true,
                                                apply_earlier_heartbeat(fixture);
         },
         0, 0, false, false},
        {"of an earlier attempt than the one in the replica",
         [&](ClusterStateFixture& fixture) {
             known_from_replica(fixture, protocol::AttemptNumber{5}), apply_earlier_heartbeat(fixture);
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
             EXPECT_TRUE(apply_earlier_heartbeat(fixture).is_terminated());
         },
         0, 0, false, false},
    };
    for (auto& c : cases) {
        ClusterStateFixture fixture;
        found_instances = ends = 0;
        c.apply_heartbeats(fixture);
        EXPECT_EQ(found_instances, c.found_instances) << c.what;
        EXPECT_EQ(ends, c.ends) << c.what;
        auto* machine = fixture.cluster_state.find("vm-1");
        ASSERT_TRUE(machine) << c.what;
        EXPECT_EQ(machine->tasks.contains(task), c.there) << c.what;
        EXPECT_EQ(c.there && machine->tasks.at(task).confirmed, c.confirmed) << c.what;
    }
}

// A machine that is set up anew under the same id begins with low agent epochs and sequence numbers. When a
// new leader first received delayed heartbeats of the earlier machine, it rejected those of the present one
// until the lease had expired.
TEST(HeartbeatApplication, PrefersMachineOverHeartbeatsOfEarlierMachineWithSameId) {
    struct Case {
        std::uint64_t agent_epoch, sequence;  // of the earlier machine
        // Distance of the token in the present machine's heartbeat below this leader's first token. It is not
        // zero if the agent refused the leader's command because the command named another agent epoch.
        std::uint64_t tokens_below;
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
        // From here on the heartbeat with the larger numbers is the newer one.
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

TEST(HeartbeatApplication, ReconcilesMachineOnlyByHeartbeatUnderThisLeadersToken) {
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

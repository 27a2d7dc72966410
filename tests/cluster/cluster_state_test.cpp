// When a task counts as gone from a machine, and when the worker may be told to forget it.
#include "cluster/cluster_state.hpp"

#include <gtest/gtest.h>

#include <functional>

namespace coralhitch::cluster {
namespace {
using protocol::Command;
using protocol::CommandKind;
using protocol::ExitCause;
using protocol::TaskState;

constexpr std::uint64_t version = 7;
const protocol::TaskId task{"j-1", 0};

struct ClusterStateFixture {
    ClusterState cluster_state{version, {{"g4", {16, 4, 64}, 100, 1, 10, 4, 30, {"a"}}}};
    JobSpec spec = [] {
        auto j = std::make_shared<protocol::Job>();
        j->id = "j-1";
        j->request = {1, 1, 1};
        j->image = "img";
        return j;
    }();
    std::uint64_t sequence = 0;
    std::vector<protocol::TaskStatus> on;
    std::optional<double> preemption_notice_s;
    HeartbeatOutcome apply_heartbeat(std::uint64_t token, ReportChannel channel = ReportChannel::heartbeat,
                                     std::uint64_t agent_epoch = 1) {
        protocol::Heartbeat r{"vm-1", "10.1.0.1:9",        "g4", "a", false, agent_epoch, ++sequence,
                              token,  preemption_notice_s, on};
        return cluster_state.apply_heartbeat(
            r, channel, 0, [this](const std::string& id) { return id == "j-1" ? spec : nullptr; });
    }
    Machine& machine() { return *cluster_state.find("vm-1"); }
    // Known to the leader from what is stored: tasks may be on it.
    void store() {
        auto& m = cluster_state.add("vm-1", "10.1.0.1:9", "g4", "a", false, Machine::Life::up, 0);
        m.registration = Machine::Registration::stored, m.stored_by_earlier_leader = true;
    }
    std::uint64_t base() { return cluster_state.base_token(); }
    // A machine known and stored, with a `run` sent directly.
    std::vector<Command> run() {
        apply_heartbeat(base());
        machine().registration = Machine::Registration::stored;
        cluster_state.place(machine(), task, spec, 5, 0);
        return cluster_state.take_direct_commands(machine(), 0, true);
    }
    bool sends(CommandKind op) {
        for (auto& c : cluster_state.reply_commands(machine(), 0, true))
            if (c.op == op) return true;
        return false;
    }
};

TEST(ClusterState, StartsOnlyWithAuthorityOnReconciledStoredMachines) {
    for (auto [reconciled, stored, authority] :
         {std::tuple(false, true, true), {true, false, true}, {true, true, false}, {true, true, true}}) {
        ClusterStateFixture b;
        b.apply_heartbeat(reconciled ? b.base() : 0);
        b.machine().registration = stored ? Machine::Registration::stored : Machine::Registration::none;
        b.cluster_state.place(b.machine(), task, b.spec, 5, 0);
        EXPECT_EQ(b.cluster_state.take_direct_commands(b.machine(), 0, authority).size(),
                  reconciled && stored && authority ? 1u : 0u);
    }
}

// Each `run` that is called back before it is seen raises its machine's token by one.
TEST(ClusterState, ReportsTokensNearlyExhaustedBeforeNextLeadershipsBegin) {
    ClusterStateFixture b;
    b.apply_heartbeat(b.base());
    auto& m = b.machine();
    m.registration = Machine::Registration::stored;
    auto raise = [&] {
        b.cluster_state.place(m, task, b.spec, 5, 0);
        b.cluster_state.take_direct_commands(m, 0, true);
        b.cluster_state.stop(m, task, 0);
    };
    constexpr std::uint64_t next_leadership = 1ull << 20;
    std::uint64_t raised = 0;
    for (; !b.cluster_state.tokens_nearly_exhausted() && raised < next_leadership; ++raised) raise();
    EXPECT_EQ(m.token, b.base() + raised);
    EXPECT_GT(raised, 900000u);  // not more hand-overs than need be
    // What happens until the hand-over, at the leader's next tick, stays below too.
    for (int k = 0; k < 60000; ++k) raise();
    EXPECT_LT(m.token, b.base() + next_leadership);
}

TEST(ClusterState, KeepsUnreportedTaskWhileItsRunMayStillArrive) {
    ClusterStateFixture b;
    auto sent = b.run();
    b.cluster_state.complete_direct_commands(b.machine(), sent, b.base(), false);  // no answer: not a proof
    EXPECT_TRUE(b.apply_heartbeat(b.base()).ends.empty());
    EXPECT_EQ(b.machine().tasks.size(), 1u);
    EXPECT_TRUE(b.sends(CommandKind::start));  // wanted: sent again
    EXPECT_DOUBLE_EQ(b.machine().free().gpus, 3);
}

// Another controller may go on answering a machine for which nothing is to be said. Each of these would be
// left unsaid for as long as its reports repeat.
TEST(ClusterState, HasNothingPendingOnlyWhenNoCommandOrReportIsDue) {
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
             b.cluster_state.place(b.machine(), {"j-1", 1}, b.spec, 6, 0);
         },
         false},
        {"a start was sent, its answer is missing",
         [](ClusterStateFixture& b) {
             b.cluster_state.place(b.machine(), {"j-1", 1}, b.spec, 6, 0);
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
             b.on[0].state = TaskState::exited;
             b.on[0].cause = ExitCause::done;
             b.apply_heartbeat(b.base());
         },
         false},
        {"a higher token that it has not seen", [](ClusterStateFixture& b) { ++b.machine().token; }, false},
        {"it is to be deleted",
         [](ClusterStateFixture& b) { b.machine().life = Machine::Life::marked_for_deletion; }, false},
        {"it has notice", [](ClusterStateFixture& b) { b.machine().preemption_deadline = 9; }, false},
        {"it is not reconciled", [](ClusterStateFixture& b) { b.machine().reconciled = false; }, false},
        {"it is not stored yet",
         [](ClusterStateFixture& b) { b.machine().registration = Machine::Registration::none; }, false},
    };
    for (auto& c : cases) {
        ClusterStateFixture b;
        auto sent = b.run();
        b.cluster_state.complete_direct_commands(b.machine(), sent, b.base(), true);
        b.on = {{task, 5, TaskState::running, ExitCause::none, false}};
        b.apply_heartbeat(b.base());
        c.then(b);
        EXPECT_EQ(b.cluster_state.nothing_pending(b.machine()), c.nothing_pending) << c.what;
    }
}

TEST(ClusterState, FencesUnwantedRunWithHigherToken) {
    ClusterStateFixture b;
    auto sent = b.run();
    b.cluster_state.complete_direct_commands(b.machine(), sent, b.base(), false);
    b.cluster_state.stop(b.machine(), task, 0);
    EXPECT_GT(b.machine().token, b.base());
    EXPECT_FALSE(b.sends(CommandKind::start));
    EXPECT_TRUE(b.apply_heartbeat(b.base()).ends.empty());  // the worker would still take the late command
    EXPECT_EQ(b.apply_heartbeat(b.machine().token).ends.size(), 1u);  // now it drops it
    EXPECT_TRUE(b.machine().tasks.empty());
}

TEST(ClusterState, EndsInstanceOnEachProofOfExit) {
    struct Case {
        const char* name;
        std::function<std::vector<InstanceEnd>(ClusterStateFixture&)> proof;
    };
    const Case cases[] = {
        {"reported as exited",
         [](ClusterStateFixture& b) {
             b.on = {{task, 5, TaskState::exited, ExitCause::stopped, true}};
             return b.apply_heartbeat(b.base()).ends;
         }},
        {"a new agent epoch",
         [](ClusterStateFixture& b) {
             b.sequence = 0;
             return b.apply_heartbeat(b.base(), ReportChannel::heartbeat, 2).ends;
         }},
        {"deletion answered", [](ClusterStateFixture& b) { return b.cluster_state.remove_deleted("vm-1"); }},
        {"the lease has expired",
         [](ClusterStateFixture& b) { return b.cluster_state.expire_lease(b.machine()); }},
    };
    for (auto& c : cases) {
        ClusterStateFixture b;
        b.run();
        b.on = {{task, 5, TaskState::running}};
        EXPECT_TRUE(b.apply_heartbeat(b.base(), ReportChannel::direct_reply).ends.empty()) << c.name;
        auto ends = c.proof(b);
        ASSERT_EQ(ends.size(), 1u) << c.name;
        EXPECT_EQ(ends[0].attempt, 5u) << c.name;
    }
}

TEST(ClusterState, IgnoresOlderHeartbeat) {
    ClusterStateFixture b;
    b.run();
    b.on = {{task, 5, TaskState::running}};
    b.sequence = 10;
    b.apply_heartbeat(b.base());
    b.on = {{task, 5, TaskState::exited, ExitCause::done}};
    b.sequence = 3;
    auto outcome = b.apply_heartbeat(b.base());
    EXPECT_FALSE(outcome.is_newer());
    // A worker has one report under way: nobody waits for this one's answer.
    EXPECT_FALSE(outcome.may_be_answered());
    EXPECT_EQ(b.machine().tasks.size(), 1u);
    b.sequence = 10;
    outcome = b.apply_heartbeat(b.base());
    // The newest once more: its sender may wait.
    EXPECT_TRUE(outcome.is_repeated() && outcome.may_be_answered() && !outcome.is_newer());
}

// Copies of reports come well over a lease late, after any number of newer ones, also to a leader that has
// received none of those.
TEST(ClusterState, IgnoresLateCopiesOfTerminatedInstances) {
    ClusterStateFixture b;  // a new leader: the machine was deleted under the one before, and is in no page
    b.on = {{task, 5, TaskState::running}};
    EXPECT_TRUE(b.apply_heartbeat(b.base() - 1).is_terminated());
    EXPECT_EQ(b.cluster_state.find("vm-1"), nullptr);
    // What it answers now counts.
    EXPECT_FALSE(b.apply_heartbeat(b.base(), ReportChannel::direct_reply).is_terminated());
    EXPECT_EQ(b.machine().tasks.size(), 1u);

    ClusterStateFixture c;  // its lease was out: the task may run elsewhere by now
    c.run();
    c.on = {{task, 5, TaskState::running}};
    c.apply_heartbeat(c.base());
    EXPECT_EQ(c.cluster_state.expire_lease(c.machine()).size(), 1u);
    EXPECT_TRUE(c.apply_heartbeat(c.base()).is_terminated());
    EXPECT_TRUE(c.machine().tasks.empty());
    c.on.clear();
    EXPECT_TRUE(c.apply_heartbeat(c.base(), ReportChannel::heartbeat, 2).is_newer());

    ClusterStateFixture d;  // the same, of a machine that this leader had no report of
    d.store();
    d.cluster_state.expire_lease(d.machine());
    d.on = {{task, 5, TaskState::running}};
    EXPECT_TRUE(d.apply_heartbeat(d.base()).is_terminated());
    EXPECT_FALSE(d.apply_heartbeat(d.base(), ReportChannel::direct_reply).is_terminated());
}

// What a report from before this leader began shows takes up its resources, but is no evidence of where the
// task is before the machine confirms it, and none against what is known from the replica.
TEST(ClusterState, ConfirmsInstancesOnlyByReportsToThisLeader) {
    struct Case {
        const char* what;
        std::function<void(ClusterStateFixture&)> then;
        std::size_t found, ends;  // by it
        bool there, confirmed;    // afterwards
    };
    const protocol::TaskStatus shown{task, 3, TaskState::running, ExitCause::none, false};
    auto known_from_replica = [&](ClusterStateFixture& b, std::uint64_t attempt) {
        b.store();
        b.machine().known_from_replica = true;
        b.cluster_state.place_from_replica(b.machine(), task, b.spec, attempt, 0);
    };
    std::size_t found = 0, ends = 0;
    auto apply = [&](ClusterStateFixture& b, std::uint64_t token,
                     ReportChannel channel = ReportChannel::heartbeat, std::uint64_t agent_epoch = 1) {
        auto o = b.apply_heartbeat(token, channel, agent_epoch);
        found += o.found.size();
        ends += o.ends.size();
        return o;
    };
    auto old = [&](ClusterStateFixture& b) {
        b.on = {shown};
        return apply(b, b.base() - 1);
    };
    const Case cases[] = {
        {"it alone", [&](ClusterStateFixture& b) { b.store(), old(b); }, 1, 0, true, false},
        {"reported again in a direct reply",
         [&](ClusterStateFixture& b) {
             b.store(), old(b), apply(b, b.base() - 1, ReportChannel::direct_reply);
         },
         2, 0, true, true},
        {"shown again under this leader's token",
         [&](ClusterStateFixture& b) { b.store(), old(b), apply(b, b.base()); }, 2, 0, true, true},
        {"not reported under this leader's token",
         [&](ClusterStateFixture& b) { b.store(), old(b), b.on.clear(), apply(b, b.base()); }, 1, 0, false,
         false},
        {"not reported in a direct reply",
         [&](ClusterStateFixture& b) {
             b.store(), old(b), b.on.clear(), apply(b, 1, ReportChannel::direct_reply);
         },
         1, 0, false, false},
        {"terminated by a new agent epoch",
         [&](ClusterStateFixture& b) {
             b.store(), old(b), b.on.clear(), apply(b, 1, ReportChannel::heartbeat, 2);
         },
         1, 0, false, false},
        {"exited",
         [&](ClusterStateFixture& b) { b.store(), old(b), b.on[0].state = TaskState::exited, apply(b, 1); },
         1, 1, false, false},
        {"known from the replica", [&](ClusterStateFixture& b) { known_from_replica(b, 3), old(b); }, 0, 0,
         true, true},
        {"known from the replica that nothing is there",
         [&](ClusterStateFixture& b) { b.store(), b.machine().known_from_replica = true, old(b); }, 0, 0,
         false, false},
        {"of an earlier attempt than the one in the replica",
         [&](ClusterStateFixture& b) {
             known_from_replica(b, 5), old(b);
             EXPECT_EQ(b.machine().tasks.at(task).attempt, 5u);
         },
         0, 0, true, true},
        {"of a later agent epoch than one that is terminated",
         [&](ClusterStateFixture& b) {
             b.store(), apply(b, b.base() - 1), b.cluster_state.expire_lease(b.machine()), b.on = {shown};
             EXPECT_TRUE(apply(b, b.base() - 1, ReportChannel::heartbeat, 2).is_terminated());
         },
         0, 0, false, false},
        {"of a machine that only this leader stored",
         [&](ClusterStateFixture& b) {
             apply(b, b.base() - 1), b.machine().registration = Machine::Registration::stored;
             EXPECT_TRUE(old(b).is_terminated());
         },
         0, 0, false, false},
    };
    for (auto& c : cases) {
        ClusterStateFixture b;
        found = ends = 0;
        c.then(b);
        EXPECT_EQ(found, c.found) << c.what;
        EXPECT_EQ(ends, c.ends) << c.what;
        auto* m = b.cluster_state.find("vm-1");
        ASSERT_TRUE(m) << c.what;
        EXPECT_EQ(m->tasks.contains(task), c.there) << c.what;
        EXPECT_EQ(c.there && m->tasks.at(task).confirmed, c.confirmed) << c.what;
    }
}

// A machine back under its name begins with low numbers: copies of its earlier life, received first, had made
// a new leader refuse it until its lease was out.
TEST(ClusterState, PrefersMachineOverReportsOfItsEarlierLife) {
    struct Case {
        std::uint64_t agent_epoch, sequence;  // of the earlier life
        std::uint64_t token;  // below this leader's: the agent epoch asked for was not its own
        ReportChannel channel;
        bool fresh;
    };
    const Case cases[] = {
        {1, 500, 0, ReportChannel::heartbeat, true},     {1, 500, 0, ReportChannel::direct_reply, true},
        {3, 500, 1, ReportChannel::direct_reply, true},  {3, 500, 1, ReportChannel::heartbeat, false},
        {1, 500, 1, ReportChannel::direct_reply, false}, {1, 500, 1, ReportChannel::heartbeat, false}};
    for (auto& c : cases) {
        ClusterStateFixture b;
        b.store();
        b.on = {{task, 3, TaskState::running, ExitCause::none, false}};
        b.sequence = c.sequence;
        b.apply_heartbeat(b.base() - 1, ReportChannel::heartbeat, c.agent_epoch);
        b.sequence = 7;
        b.on.clear();
        EXPECT_EQ(b.apply_heartbeat(b.base() - c.token, c.channel).is_newer(), c.fresh);
        EXPECT_EQ(b.machine().sequence, c.fresh ? 8 : c.sequence + 1);
        EXPECT_EQ(b.machine().tasks.empty(), c.fresh);
        b.apply_heartbeat(b.base());
        EXPECT_TRUE(b.machine().reconciled);
        // From here on the larger is the newer.
        b.sequence = 3;
        EXPECT_FALSE(b.apply_heartbeat(b.base()).is_newer());
    }
}

TEST(ClusterState, NeverPostponesPreemptionDeadline) {
    ClusterStateFixture b;
    b.store();
    b.preemption_notice_s = 90;
    b.apply_heartbeat(b.base() - 1);
    b.preemption_notice_s = 20;
    b.apply_heartbeat(b.base());
    EXPECT_DOUBLE_EQ(b.machine().preemption_deadline.value(), 20);
    b.preemption_notice_s = 30;
    b.apply_heartbeat(b.base());
    EXPECT_DOUBLE_EQ(b.machine().preemption_deadline.value(), 20);
}

// Forgotten, an attempt is started again by a copy of its `run`.
TEST(ClusterState, ForgetsAttemptUnderTokenAboveThatOfItsRun) {
    ClusterStateFixture b;
    auto sent = b.run();
    b.cluster_state.complete_direct_commands(b.machine(), sent, b.base(), true);
    b.on = {{task, 5, TaskState::exited, ExitCause::stopped}};
    b.apply_heartbeat(b.base());
    ASSERT_TRUE(b.sends(CommandKind::forget));
    EXPECT_GT(b.machine().token, b.base());
}

TEST(ClusterState, IgnoresLateHeartbeatOfDeletedMachine) {
    ClusterStateFixture b;
    b.run();
    b.cluster_state.remove_deleted("vm-1");
    EXPECT_TRUE(b.apply_heartbeat(b.base()).is_terminated());
    EXPECT_EQ(b.cluster_state.find("vm-1"), nullptr);
}

TEST(ClusterState, ForgetsAttemptOnlyWhenStoredAndNoRunMayBeLate) {
    ClusterStateFixture b;
    auto sent = b.run();
    b.on = {{task, 5, TaskState::exited, ExitCause::done}};
    b.apply_heartbeat(b.base());
    EXPECT_FALSE(b.sends(CommandKind::forget));  // not stored
    b.cluster_state.record_outcome_stored("j-1");
    b.apply_heartbeat(b.base());
    EXPECT_FALSE(b.sends(CommandKind::forget));  // the direct `run` is still under way
    b.cluster_state.complete_direct_commands(b.machine(), sent, b.base(), false);
    b.apply_heartbeat(b.base());
    EXPECT_FALSE(b.sends(CommandKind::forget));  // it got no answer: a higher token goes out first
    EXPECT_GT(b.machine().token, b.base());
    b.apply_heartbeat(b.machine().token);
    EXPECT_TRUE(b.sends(CommandKind::forget));
}

TEST(ClusterState, ForgetsAttemptOnlyAfterHeartbeatThatFollowsReplyWithRun) {
    ClusterStateFixture b;
    auto sent = b.run();
    b.cluster_state.complete_direct_commands(b.machine(), sent, b.base(), true);
    b.apply_heartbeat(b.base());
    EXPECT_TRUE(b.sends(CommandKind::start));  // this answer may reach the worker up to a few seconds later
    b.on = {{task, 5, TaskState::exited, ExitCause::no_room}};
    b.apply_heartbeat(b.base(), ReportChannel::direct_reply);  // a direct answer overtakes it
    EXPECT_FALSE(b.sends(CommandKind::forget));
    b.apply_heartbeat(b.base());
    EXPECT_TRUE(b.sends(CommandKind::forget));
}

TEST(ClusterState, ReconcilesMachineOnlyByReportUnderThisLeadersToken) {
    ClusterStateFixture b;
    b.store();
    b.on = {{task, 3, TaskState::running}};
    auto outcome = b.apply_heartbeat(b.base() - 1);
    EXPECT_EQ(outcome.found.size(), 1u);
    EXPECT_FALSE(b.machine().reconciled);
    b.apply_heartbeat(b.base());
    EXPECT_TRUE(b.machine().reconciled);
    b.sequence += 1;
    EXPECT_TRUE(b.apply_heartbeat((version + 1) << ClusterState::token_bits).is_deposed());
}

TEST(ClusterState, StopsTasksOfUnknownJobs) {
    ClusterStateFixture b;
    b.store();
    b.on = {{{"j-2", 0}, 3, TaskState::running}};
    b.apply_heartbeat(b.base());
    EXPECT_TRUE(b.machine().has_instance_of_unknown_job());
    EXPECT_TRUE(b.sends(CommandKind::stop));
}

// Cache of 100 GB: what does not fit any more is dropped, the image used longest ago first.
TEST(ImageCache, DropsImagesThatDoNotFit) {
    struct Case {
        std::vector<int> uses;  // images of 40 GB each, by number
        std::vector<int> there;
    };
    const Case cases[] = {{{1}, {1}}, {{1, 2}, {1, 2}}, {{1, 2, 3}, {2, 3}}, {{1, 2, 1, 3}, {1, 3}}};
    for (auto& c : cases) {
        ClusterStateFixture b;
        b.store();
        std::vector<JobSpec> specs;
        for (int image : c.uses) {
            auto j = std::make_shared<protocol::Job>(*b.spec);
            j->image = "img-" + std::to_string(image);
            j->image_gb = 40;
            b.spec = j;
            b.on = {{{"j-1", static_cast<std::uint32_t>(specs.size())}, 5, TaskState::running}};
            specs.push_back(j);
            b.apply_heartbeat(b.base());
        }
        protocol::Images expected;
        for (int image : c.there)
            expected.push_back(b.cluster_state.image_number("img-" + std::to_string(image)));
        std::sort(expected.begin(), expected.end());
        ASSERT_TRUE(b.machine().image_cache.images());
        EXPECT_EQ(*b.machine().image_cache.images(), expected);
    }
}

// What an earlier leader knew counts until something newer is known.
TEST(ImageCache, IsRestoredUnlessNewerImagesAreKnown) {
    for (bool newer : {false, true}) {
        ClusterStateFixture b;
        b.store();
        if (newer) b.on = {{task, 5, TaskState::running}};
        b.apply_heartbeat(b.base());
        auto old = b.cluster_state.image_number("old");
        b.cluster_state.restore_image_cache(b.machine(),
                                            {{old, 30}, {b.cluster_state.image_number("older"), 80}});
        ASSERT_TRUE(b.machine().image_cache.images());
        // 100 GB: of the recalled ones only the last used fits.
        EXPECT_EQ(*b.machine().image_cache.images(),
                  protocol::Images{b.cluster_state.image_number(newer ? "img" : "older")});
    }
}

}  // namespace
}  // namespace coralhitch::cluster

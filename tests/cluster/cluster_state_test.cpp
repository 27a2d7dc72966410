// When a task counts as gone from a machine, and when the worker may be told to forget it.
#include "cluster/cluster_state.hpp"

#include <gtest/gtest.h>

#include <functional>

#include "cluster/team_usage.hpp"

namespace coralhitch::cluster {
namespace {
using protocol::Command;
using protocol::CommandKind;
using protocol::ExitCause;
using protocol::TaskState;

constexpr std::uint64_t version = 7;
const protocol::TaskId task{"j-1", 0};

struct Bench {
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
    HeartbeatOutcome apply_heartbeat(std::uint64_t token, Via via = Via::heartbeat,
                                     std::uint64_t agent_epoch = 1) {
        protocol::Heartbeat r{"vm-1", "10.1.0.1:9",        "g4", "a", false, agent_epoch, ++sequence,
                              token,  preemption_notice_s, on};
        return cluster_state.apply_heartbeat(
            r, via, 0, [this](const std::string& id) { return id == "j-1" ? spec : nullptr; });
    }
    Machine& machine() { return *cluster_state.find("vm-1"); }
    // Known to the leader from what is stored: tasks may be on it.
    void store() {
        auto& m = cluster_state.add("vm-1", "10.1.0.1:9", "g4", "a", false, Machine::Life::up, 0);
        m.stored = m.stored_before = true;
    }
    std::uint64_t base() { return cluster_state.base_token(); }
    // A machine known and stored, with a `run` sent directly.
    std::vector<Command> run() {
        apply_heartbeat(base());
        machine().stored = true;
        cluster_state.place(machine(), task, spec, 5, 0);
        return cluster_state.direct_now(machine(), 0, true);
    }
    bool sends(CommandKind op) {
        for (auto& c : cluster_state.answer(machine(), 0, true))
            if (c.op == op) return true;
        return false;
    }
};

TEST(ClusterState, RunGoesOutOnlyWithAuthorityToSettledStoredMachines) {
    for (auto [reconciled, stored, authority] :
         {std::tuple(false, true, true), {true, false, true}, {true, true, false}, {true, true, true}}) {
        Bench b;
        b.apply_heartbeat(reconciled ? b.base() : 0);
        b.machine().stored = stored;
        b.cluster_state.place(b.machine(), task, b.spec, 5, 0);
        EXPECT_EQ(b.cluster_state.direct_now(b.machine(), 0, authority).size(),
                  reconciled && stored && authority ? 1u : 0u);
    }
}

// Each `run` that is called back before it is seen raises its machine's token by one.
TEST(ClusterState, SaysThatTokensRunOutBeforeALaterLeadershipsAreReached) {
    Bench b;
    b.apply_heartbeat(b.base());
    auto& m = b.machine();
    m.stored = true;
    auto raise = [&] {
        b.cluster_state.place(m, task, b.spec, 5, 0);
        b.cluster_state.direct_now(m, 0, true);
        b.cluster_state.stop(m, task, 0);
    };
    constexpr std::uint64_t next_leadership = 1ull << 20;
    std::uint64_t raised = 0;
    for (; !b.cluster_state.tokens_run_out() && raised < next_leadership; ++raised) raise();
    EXPECT_EQ(m.token, b.base() + raised);
    EXPECT_GT(raised, 900000u);  // not more hand-overs than need be
    // What happens until the hand-over, at the leader's next tick, stays below too.
    for (int k = 0; k < 60000; ++k) raise();
    EXPECT_LT(m.token, b.base() + next_leadership);
}

TEST(ClusterState, ATaskNotShownStaysWhileItsRunMayStillArrive) {
    Bench b;
    auto sent = b.run();
    b.cluster_state.direct_done(b.machine(), sent, b.base(), false);  // no answer: not a proof
    EXPECT_TRUE(b.apply_heartbeat(b.base()).ends.empty());
    EXPECT_EQ(b.machine().tasks.size(), 1u);
    EXPECT_TRUE(b.sends(CommandKind::start));  // wanted: sent again
    EXPECT_DOUBLE_EQ(b.machine().free().gpus, 3);
}

// Another controller may go on answering a machine for which nothing is to be said. Each of these would be
// left unsaid for as long as its reports repeat.
TEST(ClusterState, AMachineIsQuietOnlyIfNothingIsLeftToSay) {
    struct Case {
        const char* what;
        std::function<void(Bench&)> then;
        bool quiet;
    };
    const Case cases[] = {
        {"a task runs, and was shown", [](Bench&) {}, true},
        {"nothing is on it", [](Bench& b) { b.machine().tasks.clear(); }, true},
        {"another task was placed, not told yet",
         [](Bench& b) {
             b.cluster_state.place(b.machine(), {"j-1", 1}, b.spec, 6, 0);
         },
         false},
        {"a start was told, its answer is missing",
         [](Bench& b) {
             b.cluster_state.place(b.machine(), {"j-1", 1}, b.spec, 6, 0);
             b.cluster_state.direct_now(b.machine(), 0, true);
         },
         false},
        {"a task is to stop",
         [](Bench& b) {
             b.cluster_state.stop(b.machine(), task, 0);
             b.cluster_state.direct_now(b.machine(), 0, true);
         },
         false},
        {"a task of a job that nobody knows",
         [](Bench& b) { b.machine().tasks.begin()->second.spec = nullptr; }, false},
        {"an end that the worker may forget soon",
         [](Bench& b) {
             b.on[0].state = TaskState::exited;
             b.on[0].cause = ExitCause::done;
             b.apply_heartbeat(b.base());
         },
         false},
        {"a higher token that it has not seen", [](Bench& b) { ++b.machine().token; }, false},
        {"it is to be deleted", [](Bench& b) { b.machine().life = Machine::Life::marked_for_deletion; },
         false},
        {"it has notice", [](Bench& b) { b.machine().preemption_notice_until = 9; }, false},
        {"it has not settled", [](Bench& b) { b.machine().reconciled = false; }, false},
        {"it is not stored yet", [](Bench& b) { b.machine().stored = false; }, false},
    };
    for (auto& c : cases) {
        Bench b;
        auto sent = b.run();
        b.cluster_state.direct_done(b.machine(), sent, b.base(), true);
        b.on = {{task, 5, TaskState::running, ExitCause::none, false}};
        b.apply_heartbeat(b.base());
        c.then(b);
        EXPECT_EQ(b.cluster_state.quiet(b.machine()), c.quiet) << c.what;
    }
}

TEST(ClusterState, AnUnwantedRunIsFencedWithAHigherToken) {
    Bench b;
    auto sent = b.run();
    b.cluster_state.direct_done(b.machine(), sent, b.base(), false);
    b.cluster_state.stop(b.machine(), task, 0);
    EXPECT_GT(b.machine().token, b.base());
    EXPECT_FALSE(b.sends(CommandKind::start));
    EXPECT_TRUE(b.apply_heartbeat(b.base()).ends.empty());  // the worker would still take the late command
    EXPECT_EQ(b.apply_heartbeat(b.machine().token).ends.size(), 1u);  // now it drops it
    EXPECT_TRUE(b.machine().tasks.empty());
}

TEST(ClusterState, ProofsOfExit) {
    struct Case {
        const char* name;
        std::function<std::vector<InstanceEnd>(Bench&)> proof;
    };
    const Case cases[] = {
        {"reported as exited",
         [](Bench& b) {
             b.on = {{task, 5, TaskState::exited, ExitCause::stopped, true}};
             return b.apply_heartbeat(b.base()).ends;
         }},
        {"a new session",
         [](Bench& b) {
             b.sequence = 0;
             return b.apply_heartbeat(b.base(), Via::heartbeat, 2).ends;
         }},
        {"deletion answered", [](Bench& b) { return b.cluster_state.removed("vm-1"); }},
        {"the lease is out", [](Bench& b) { return b.cluster_state.expire_lease(b.machine()); }},
    };
    for (auto& c : cases) {
        Bench b;
        b.run();
        b.on = {{task, 5, TaskState::running}};
        EXPECT_TRUE(b.apply_heartbeat(b.base(), Via::direct).ends.empty()) << c.name;
        auto ends = c.proof(b);
        ASSERT_EQ(ends.size(), 1u) << c.name;
        EXPECT_EQ(ends[0].attempt, 5u) << c.name;
    }
}

TEST(ClusterState, AnOlderReportChangesNothing) {
    Bench b;
    b.run();
    b.on = {{task, 5, TaskState::running}};
    b.sequence = 10;
    b.apply_heartbeat(b.base());
    b.on = {{task, 5, TaskState::exited, ExitCause::done}};
    b.sequence = 3;
    auto heard = b.apply_heartbeat(b.base());
    EXPECT_FALSE(heard.fresh);
    EXPECT_FALSE(heard.current);  // a worker has one report under way: nobody waits for this one's answer
    EXPECT_EQ(b.machine().tasks.size(), 1u);
    b.sequence = 10;
    heard = b.apply_heartbeat(b.base());
    EXPECT_TRUE(heard.again && heard.current && !heard.fresh);  // the newest once more: its sender may wait
}

// Copies of reports come well over a lease late, after any number of newer ones, also to a leader that has
// heard none of those.
TEST(ClusterState, ALateCopyBringsNothingBack) {
    Bench b;  // a new leader: the machine was deleted under the one before, and is in no page
    b.on = {{task, 5, TaskState::running}};
    EXPECT_TRUE(b.apply_heartbeat(b.base() - 1).gone);
    EXPECT_EQ(b.cluster_state.find("vm-1"), nullptr);
    EXPECT_FALSE(b.apply_heartbeat(b.base(), Via::direct).gone);  // what it answers now counts
    EXPECT_EQ(b.machine().tasks.size(), 1u);

    Bench c;  // its lease was out: the task may run elsewhere by now
    c.run();
    c.on = {{task, 5, TaskState::running}};
    c.apply_heartbeat(c.base());
    EXPECT_EQ(c.cluster_state.expire_lease(c.machine()).size(), 1u);
    EXPECT_TRUE(c.apply_heartbeat(c.base()).gone);
    EXPECT_TRUE(c.machine().tasks.empty());
    c.on.clear();
    EXPECT_TRUE(c.apply_heartbeat(c.base(), Via::heartbeat, 2).fresh);

    Bench d;  // the same, of a machine that this leader had never heard
    d.store();
    d.cluster_state.expire_lease(d.machine());
    d.on = {{task, 5, TaskState::running}};
    EXPECT_TRUE(d.apply_heartbeat(d.base()).gone);
    EXPECT_FALSE(d.apply_heartbeat(d.base(), Via::direct).gone);
}

// What a report from before this leader began shows takes its place, but is no evidence of where the task is
// before the machine confirms it, and none against what the leader before told.
TEST(ClusterState, AnOldReportIsNoEvidence) {
    struct Case {
        const char* what;
        std::function<void(Bench&)> then;
        std::size_t found, ends;  // by it
        bool there, confirmed;    // afterwards
    };
    const protocol::TaskStatus shown{task, 3, TaskState::running, ExitCause::none, false};
    auto known = [&](Bench& b, std::uint64_t attempt) {
        b.store();
        b.machine().known = true;
        b.cluster_state.inherit(b.machine(), task, b.spec, attempt, 0);
    };
    std::size_t found = 0, ends = 0;
    auto hears = [&](Bench& b, std::uint64_t token, Via via = Via::heartbeat, std::uint64_t agent_epoch = 1) {
        auto o = b.apply_heartbeat(token, via, agent_epoch);
        found += o.found.size();
        ends += o.ends.size();
        return o;
    };
    auto old = [&](Bench& b) {
        b.on = {shown};
        return hears(b, b.base() - 1);
    };
    const Case cases[] = {
        {"it alone", [&](Bench& b) { b.store(), old(b); }, 1, 0, true, false},
        {"shown again in answer to a question",
         [&](Bench& b) { b.store(), old(b), hears(b, b.base() - 1, Via::direct); }, 2, 0, true, true},
        {"shown again under this leader's token", [&](Bench& b) { b.store(), old(b), hears(b, b.base()); }, 2,
         0, true, true},
        {"gone by this leader's token",
         [&](Bench& b) { b.store(), old(b), b.on.clear(), hears(b, b.base()); }, 1, 0, false, false},
        {"gone by an answer", [&](Bench& b) { b.store(), old(b), b.on.clear(), hears(b, 1, Via::direct); }, 1,
         0, false, false},
        {"gone by a new session",
         [&](Bench& b) { b.store(), old(b), b.on.clear(), hears(b, 1, Via::heartbeat, 2); }, 1, 0, false,
         false},
        {"exited", [&](Bench& b) { b.store(), old(b), b.on[0].state = TaskState::exited, hears(b, 1); }, 1, 1,
         false, false},
        {"the leader before told of it", [&](Bench& b) { known(b, 3), old(b); }, 0, 0, true, true},
        {"the leader before told that nothing is there",
         [&](Bench& b) { b.store(), b.machine().known = true, old(b); }, 0, 0, false, false},
        {"of an earlier attempt than the one told of",
         [&](Bench& b) {
             known(b, 5), old(b);
             EXPECT_EQ(b.machine().tasks.at(task).attempt, 5u);
         },
         0, 0, true, true},
        {"of a later session than one that is over",
         [&](Bench& b) {
             b.store(), hears(b, b.base() - 1), b.cluster_state.expire_lease(b.machine()), b.on = {shown};
             EXPECT_TRUE(hears(b, b.base() - 1, Via::heartbeat, 2).gone);
         },
         0, 0, false, false},
        {"of a machine that only this leader stored",
         [&](Bench& b) {
             hears(b, b.base() - 1), b.machine().stored = true;
             EXPECT_TRUE(old(b).gone);
         },
         0, 0, false, false},
    };
    for (auto& c : cases) {
        Bench b;
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

// A machine back under its name begins with low numbers: copies of its earlier life, heard first, had made a
// new leader refuse it until its lease was out.
TEST(ClusterState, TheMachineItselfCountsMoreThanItsEarlierLife) {
    struct Case {
        std::uint64_t agent_epoch, sequence;  // of the earlier life
        std::uint64_t token;  // below this leader's: the agent epoch asked for was not its own
        Via via;
        bool fresh;
    };
    const Case cases[] = {{1, 500, 0, Via::heartbeat, true}, {1, 500, 0, Via::direct, true},
                          {3, 500, 1, Via::direct, true},    {3, 500, 1, Via::heartbeat, false},
                          {1, 500, 1, Via::direct, false},   {1, 500, 1, Via::heartbeat, false}};
    for (auto& c : cases) {
        Bench b;
        b.store();
        b.on = {{task, 3, TaskState::running, ExitCause::none, false}};
        b.sequence = c.sequence;
        b.apply_heartbeat(b.base() - 1, Via::heartbeat, c.agent_epoch);
        b.sequence = 7;
        b.on.clear();
        EXPECT_EQ(b.apply_heartbeat(b.base() - c.token, c.via).fresh, c.fresh);
        EXPECT_EQ(b.machine().sequence, c.fresh ? 8 : c.sequence + 1);
        EXPECT_EQ(b.machine().tasks.empty(), c.fresh);
        b.apply_heartbeat(b.base());
        EXPECT_TRUE(b.machine().reconciled);
        // From here on the larger is the newer.
        b.sequence = 3;
        EXPECT_FALSE(b.apply_heartbeat(b.base()).fresh);
    }
}

TEST(ClusterState, ANoticeIsNeverPutOff) {
    Bench b;
    b.store();
    b.preemption_notice_s = 90;
    b.apply_heartbeat(b.base() - 1);
    b.preemption_notice_s = 20;
    b.apply_heartbeat(b.base());
    EXPECT_DOUBLE_EQ(b.machine().preemption_notice_until, 20);
    b.preemption_notice_s = 30;
    b.apply_heartbeat(b.base());
    EXPECT_DOUBLE_EQ(b.machine().preemption_notice_until, 20);
}

// Forgotten, an attempt is started again by a copy of its `run`.
TEST(ClusterState, ClearComesWithATokenAboveThatOfTheRun) {
    Bench b;
    auto sent = b.run();
    b.cluster_state.direct_done(b.machine(), sent, b.base(), true);
    b.on = {{task, 5, TaskState::exited, ExitCause::stopped}};
    b.apply_heartbeat(b.base());
    ASSERT_TRUE(b.sends(CommandKind::forget));
    EXPECT_GT(b.machine().token, b.base());
}

TEST(ClusterState, ALateReportOfADeletedMachineIsIgnored) {
    Bench b;
    b.run();
    b.cluster_state.removed("vm-1");
    EXPECT_TRUE(b.apply_heartbeat(b.base()).gone);
    EXPECT_EQ(b.cluster_state.find("vm-1"), nullptr);
}

TEST(ClusterState, ClearWaitsForStorageAndForEveryRunThatMayBeLate) {
    Bench b;
    auto sent = b.run();
    b.on = {{task, 5, TaskState::exited, ExitCause::done}};
    b.apply_heartbeat(b.base());
    EXPECT_FALSE(b.sends(CommandKind::forget));  // not stored
    b.cluster_state.stored("j-1");
    b.apply_heartbeat(b.base());
    EXPECT_FALSE(b.sends(CommandKind::forget));  // the direct `run` is still under way
    b.cluster_state.direct_done(b.machine(), sent, b.base(), false);
    b.apply_heartbeat(b.base());
    EXPECT_FALSE(b.sends(CommandKind::forget));  // it got no answer: a higher token goes out first
    EXPECT_GT(b.machine().token, b.base());
    b.apply_heartbeat(b.machine().token);
    EXPECT_TRUE(b.sends(CommandKind::forget));
}

TEST(ClusterState, ClearWaitsForTheReportAfterAnAnswerWithRun) {
    Bench b;
    auto sent = b.run();
    b.cluster_state.direct_done(b.machine(), sent, b.base(), true);
    b.apply_heartbeat(b.base());
    EXPECT_TRUE(b.sends(CommandKind::start));  // this answer may reach the worker up to a few seconds later
    b.on = {{task, 5, TaskState::exited, ExitCause::no_room}};
    b.apply_heartbeat(b.base(), Via::direct);  // a direct answer overtakes it
    EXPECT_FALSE(b.sends(CommandKind::forget));
    b.apply_heartbeat(b.base());
    EXPECT_TRUE(b.sends(CommandKind::forget));
}

TEST(ClusterState, SettlesOnlyByAReportUnderThisLeadersToken) {
    Bench b;
    b.store();
    b.on = {{task, 3, TaskState::running}};
    auto heard = b.apply_heartbeat(b.base() - 1);
    EXPECT_EQ(heard.found.size(), 1u);
    EXPECT_FALSE(b.machine().reconciled);
    b.apply_heartbeat(b.base());
    EXPECT_TRUE(b.machine().reconciled);
    b.sequence += 1;
    EXPECT_TRUE(b.apply_heartbeat((version + 1) << ClusterState::token_bits).deposed);
}

TEST(ClusterState, TasksOfUnknownJobsAreStoppedAndKeepTheMachineClosed) {
    Bench b;
    b.store();
    b.on = {{{"j-2", 0}, 3, TaskState::running}};
    b.apply_heartbeat(b.base());
    EXPECT_TRUE(b.machine().has_orphaned_instance());
    EXPECT_TRUE(b.sends(CommandKind::stop));
}

// Cache of 100 GB: what does not fit any more is dropped, the image used longest ago first.
TEST(ClusterState, ImagesThatTheCacheHasDroppedDoNotCountAsThere) {
    struct Case {
        std::vector<int> uses;  // images of 40 GB each, by number
        std::vector<int> there;
    };
    const Case cases[] = {{{1}, {1}}, {{1, 2}, {1, 2}}, {{1, 2, 3}, {2, 3}}, {{1, 2, 1, 3}, {1, 3}}};
    for (auto& c : cases) {
        Bench b;
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
        for (int image : c.there) expected.push_back(b.cluster_state.image("img-" + std::to_string(image)));
        std::sort(expected.begin(), expected.end());
        ASSERT_TRUE(b.machine().images);
        EXPECT_EQ(*b.machine().images, expected);
    }
}

// What an earlier leader knew counts until something newer is known.
TEST(ClusterState, ACacheIsRecalledUnlessNewerIsKnown) {
    for (bool newer : {false, true}) {
        Bench b;
        b.store();
        if (newer) b.on = {{task, 5, TaskState::running}};
        b.apply_heartbeat(b.base());
        auto old = b.cluster_state.image("old");
        b.cluster_state.recall_cache(b.machine(), {{old, 30}, {b.cluster_state.image("older"), 80}});
        ASSERT_TRUE(b.machine().images);
        // 100 GB: of the recalled ones only the last used fits.
        EXPECT_EQ(*b.machine().images, protocol::Images{b.cluster_state.image(newer ? "img" : "older")});
    }
}

// A limit holds against tasks of a job that is over, whose team a new leader can't know.
TEST(Usage, WhatNobodyKnowsCountsAgainstEachTeam) {
    std::vector<protocol::MachineType> types(1);
    types[0].name = "g";
    types[0].room = {16, 4, 64};
    ClusterState p(7, types);
    auto spec = std::make_shared<protocol::Job>();
    spec->id = "j-1";
    spec->team = "a";
    spec->request = {2, 1, 4};
    std::vector<config::Team> teams(2);
    teams[0].name = "a";
    teams[1].name = "b";
    auto& m = p.add("vm-1", "a:1", "g", "z", false, Machine::Life::up, 0);
    p.inherit(m, {"j-1", 0}, spec, 1, 0);
    auto before = team_used(p, teams);
    EXPECT_EQ(before["a"].gpus, 1);
    EXPECT_EQ(before["b"].gpus, 0);
    p.inherit(m, {"j-0", 5}, nullptr, 1, 0);
    auto after = team_used(p, teams);
    EXPECT_EQ(after["a"].gpus, 4);
    EXPECT_EQ(after["b"].gpus, 3);
    EXPECT_EQ(after["b"].cpus, 14);
    p.removed("vm-1");
    EXPECT_EQ(team_used(p, teams)["b"].gpus, 0);
}

// Of a machine whose type is not known a known task seems to take more than there is.
TEST(Usage, WhatNobodyKnowsOnAMachineOfAnUnknownTypeLowersNoSum) {
    ClusterState p(7, {});
    auto spec = std::make_shared<protocol::Job>();
    spec->id = "j-1";
    spec->team = "a";
    spec->request = {2, 1, 4};
    std::vector<config::Team> teams(1);
    teams[0].name = "a";
    auto& m = p.add("vm-1", "a:1", "g", "z", false, Machine::Life::up, 0);
    p.inherit(m, {"j-1", 0}, spec, 1, 0);
    p.inherit(m, {"j-0", 5}, nullptr, 1, 0);
    EXPECT_EQ(team_used(p, teams)["a"].gpus, 1);
    EXPECT_EQ(team_used(p, teams)["a"].cpus, 2);
}

}  // namespace
}  // namespace coralhitch::cluster

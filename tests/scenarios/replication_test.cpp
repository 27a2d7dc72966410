// What others take in of a leader's machines, and when a new leader may rely on it.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <random>

#include "cluster/cluster_state.hpp"
#include "failover/reconciliation.hpp"
#include "kv/keys.hpp"
#include "replication/eligibility_checks.hpp"
#include "replication/follower.hpp"
#include "replication/replication_sender.hpp"
#include "scenarios/fault_scenarios.hpp"
#include "support/fake_key_value_store.hpp"

namespace coralhitch::replication {
namespace {
using nlohmann::json;

protocol::PeerMachineRow row_of(const std::string& id, std::uint64_t agent_epoch = 1) {
    return {id, true, false, agent_epoch, 0, {}};
}

TEST(Follower, AppliesBatchesInOrderOfOneLeadershipAtATime) {
    Follower f(9);
    struct Case {
        const char* name;
        std::uint64_t version, number;
        protocol::PeerMachineRow row;
        bool taken;
        std::size_t rows;
    };
    auto gone = row_of("vm-1");
    gone.gone = true;
    const Case cases[] = {
        {"the first", 5, 3, row_of("vm-1"), true, 1},
        {"more", 5, 4, row_of("vm-2"), true, 2},
        {"held up, and older than what came", 5, 2, gone, false, 2},
        {"again", 5, 4, gone, false, 2},
        {"a machine is gone", 5, 6, gone, true, 1},
        {"of the leader before, which woke", 4, 90, row_of("vm-7"), false, 1},
        {"of the next leader: what came before is over", 8, 1, row_of("vm-3"), true, 1},
    };
    for (auto& c : cases) {
        SCOPED_TRACE(c.name);
        auto a = f.apply({c.version, c.number, {c.row}});
        EXPECT_EQ(a.taken, c.taken);
        EXPECT_EQ(a.incarnation, 9u);
        EXPECT_EQ(f.replica().machines.size(), c.rows);
    }
    EXPECT_EQ(f.replica().leader_version, 8u);
}

// Each check, left out, would let a start that was sent go unnoticed: the rule in doubt is `ran_twice`.
TEST(EligibilityChecks, AcceptAReplicaOnlyIfNothingCanBeMissing) {
    ReplicaState replica{20, 7, 20, true, {}};
    ReplicaEvidence good{"me",
                         3,
                         40,
                         protocol::StandbyRecord{20, {{"me", 3, 20}, {"other", 4, 20}}},
                         {{{10, false}, {20, true}}, 25},
                         true,
                         {},
                         &replica};
    struct Case {
        const char* name;
        std::function<void(ReplicaEvidence&)> change;
        bool proof;
    };
    ReplicaState older{10, 7, 10, true, {}}, carried{20, 7, 10, true, {}}, later{30, 7, 20, true, {}};
    auto goes_on_from = [](ReplicaEvidence& e, std::uint64_t begun) { e.record->members[0].begun = begun; };
    const Case cases[] = {
        {"all is well", [](ReplicaEvidence&) {}, true},
        {"no record: the leader may never have waited for anybody",
         [](ReplicaEvidence& e) { e.record.reset(); }, false},
        {"the record is of this leadership", [](ReplicaEvidence& e) { e.record->version = 40; }, false},
        {"it was taken out, and starts have gone without it since",
         [](ReplicaEvidence& e) {
             e.record->members = {{"other", 4, 20}};
         },
         false},
        {"another process of this controller was named",
         [](ReplicaEvidence& e) {
             e.record->members = {{"me", 2, 20}};
         },
         false},
        {"the copy is of the leader before", [&](ReplicaEvidence& e) { e.replica = &older; }, false},
        {"it goes on from the copy of a leader before, as the record says",
         [&](ReplicaEvidence& e) {
             e.replica = &carried;
             goes_on_from(e, 10);
         },
         true},
        {"the leader of the record sent no start, and has told nothing",
         [&](ReplicaEvidence& e) {
             e.replica = &older;
             goes_on_from(e, 10);
         },
         true},
        {"a leader that came to nothing has wiped the copy that is meant",
         [&](ReplicaEvidence& e) { goes_on_from(e, 10); }, false},
        {"it goes on from another copy than the record says",
         [&](ReplicaEvidence& e) { e.replica = &carried; }, false},
        {"a leader without a record of its own has told more",
         [&](ReplicaEvidence& e) { e.replica = &later; }, false},
        {"nothing was taken in", [](ReplicaEvidence& e) { e.replica = nullptr; }, false},
        {"what came after the last watch is not known",
         [](ReplicaEvidence& e) { e.history_complete = false; }, false},
        {"it was away, and saw only a later leader",
         [](ReplicaEvidence& e) {
             e.chain.links = {{30, true}};
         },
         false},
        {"a leader that keeps a record won and ended before it started anything",
         [](ReplicaEvidence& e) {
             e.chain.links.push_back({30, true});
         },
         true},
        {"an old version led in between",
         [](ReplicaEvidence& e) {
             e.chain.links.push_back({30, false});
         },
         false},
        {"an old version led in between, found after the claim",
         [](ReplicaEvidence& e) {
             e.later_leaders = {{30, false}};
         },
         false},
        {"two that keep records led in between, found after the claim",
         [](ReplicaEvidence& e) {
             e.later_leaders = {{30, true}, {35, true}};
         },
         true},
    };
    for (auto& c : cases) {
        SCOPED_TRACE(c.name);
        auto e = good;
        c.change(e);
        auto* failed = evaluate_eligibility(e);
        EXPECT_EQ(!failed, c.proof) << (failed ? failed->failure : "");
    }
    EXPECT_EQ(eligibility_checks().size(), 6u);
}

struct Bench {
    static config::Settings settings_for() {
        config::Settings s;
        s.report_s = 4;
        s.lease_s = 30;
        s.state_rps = 100;
        s.state_write_rps = 50;
        s.value_kb = s.safe_value_kb = 16;
        s.txn_ops = 8;
        s.peers = {{"x", "a", "x:1"}, {"y", "b", "y:1"}};
        return s;
    }
    Bench() {
        spdlog::set_level(spdlog::level::off);
        ping("x", 1);
        ping("y", 2);
        service.others = [this](const std::string& addr, const http::Request& r, double timeout,
                                http::Result result) {
            auto& f = followers.at(addr.substr(0, 1));
            std::optional<http::Response> answer;
            if (!f.silent && f.fails) {
                answer = http::Response{503, {}};
            } else if (!f.silent) {
                auto piece = protocol::unpack_peer<protocol::PeerFleet>(r.body);
                answer = http::Response{200, protocol::pack_peer(f.follower.apply(std::move(*piece)))};
            }
            timers.after(answer ? 0.01 : timeout, [answer, result] { result(answer); });
        };
    }
    struct Peer {
        Follower follower;
        bool silent = false, fails = false;
    };
    std::set<std::string> named() {
        std::set<std::string> out;
        auto it = service.kv.find(kv::keys::standby);
        if (it != service.kv.end())
            for (auto& m : it->second.first["members"]) out.insert(m["label"].get<std::string>());
        return out;
    }
    FakeTimers timers;
    FakeKeyValueStore service{timers};
    config::Settings settings = settings_for();
    kv::KvClient client{timers, service, settings};
    std::map<std::string, Peer> followers{{"x", {Follower(1)}}, {"y", {Follower(2)}}};
    std::map<std::string, std::uint64_t> machines{{"vm-1", 1}, {"vm-2", 1}};
    bool authority = true;
    std::map<std::string, protocol::PeerPing> pings;
    void ping(const std::string& label, std::uint64_t incarnation) {
        pings[label] = {label, incarnation, 0, "", true, {}, {}, protocol::peer_features, 0};
    }
    ReplicationSender sender{
        timers,
        service,
        settings,
        client,
        50,
        {[this](const std::string& id) { return std::optional(row_of(id, machines.at(id))); },
         [this] {
             std::vector<std::string> ids;
             for (auto& [id, s] : machines) ids.push_back(id);
             return ids;
         },
         [this] { return authority ? std::optional(protocol::Txn{}) : std::nullopt; },
         [this](const std::string& label) { return &pings[label]; }, [] {}}};
    std::uint64_t start(const std::string& id) {
        ++machines[id];
        sender.machine_changed(id);
        sender.flush();
        return sender.log_index();
    }
};

TEST(ReplicationSender, HoldsStartsUntilAllRecordedFollowersAcknowledge) {
    Bench b;
    b.followers.at("y").silent = true;
    b.sender.start(0, std::nullopt);
    EXPECT_FALSE(b.sender.replicated(b.start("vm-1")));  // an earlier record may still stand
    b.timers.run_until(1);
    EXPECT_EQ(b.named(), std::set<std::string>{"x"});
    auto log_index = b.start("vm-1");
    EXPECT_FALSE(b.sender.replicated(log_index));
    b.timers.run_until(1.05);
    EXPECT_TRUE(b.sender.replicated(log_index));
    EXPECT_EQ(b.followers.at("x").follower.replica().machines.at("vm-1").agent_epoch, b.machines["vm-1"]);
    // One that does not answer any more holds starts up until it is taken out, and no longer.
    b.followers.at("x").silent = true;
    log_index = b.start("vm-2");
    for (double t = 1.1; !b.sender.replicated(log_index) && t < 6; t += 0.01) {
        b.timers.run_until(t);
        if (b.sender.replicated(log_index)) {
            EXPECT_TRUE(b.named().empty());
        }
    }
    EXPECT_TRUE(b.sender.replicated(log_index));
    EXPECT_LT(b.timers.now(), 1.1 + 4.0 / 5 + 0.1);
}

// A write that names somebody and was not answered may be executed at any later time, until one on the
// version after it is confirmed.
TEST(ReplicationSender, WaitsForFollowersThatAnUnansweredWriteNames) {
    for (auto fate : {FakeKeyValueStore::Fate::lost_after, FakeKeyValueStore::Fate::late,
                      FakeKeyValueStore::Fate::never}) {
        SCOPED_TRACE(static_cast<int>(fate));
        Bench b;
        b.followers.at("y").silent = true;
        b.service.fates = {FakeKeyValueStore::Fate::answered, fate};  // the first names nobody
        b.sender.start(0, std::nullopt);
        for (double t = 0.1; t < 12; t += 0.05) {
            b.timers.run_until(t);
            if (t > 0.3) b.followers.at("x").silent = true;
            auto log_index = b.start("vm-1");
            bool knows =
                b.followers.at("x").follower.replica().machines.at("vm-1").agent_epoch == b.machines["vm-1"];
            if (!knows && b.sender.replicated(log_index)) {
                EXPECT_FALSE(b.named().contains("x")) << t;
            }
        }
        EXPECT_TRUE(b.named().empty());
        EXPECT_TRUE(b.sender.replicated(b.sender.log_index()));
    }
}

// Three leaders killed a second apart: each names those that its predecessor named, from its first record on,
// as long as each is the process, with the copy, that was meant.
TEST(ReplicationSender, ResumesFollowersOfThePreviousLeader) {
    struct Case {
        const char* name;
        std::uint64_t incarnation, features, begun;  // of `x`: its process, its version, its copy
        bool at_once, carried;
    };
    const Case cases[] = {
        {"it goes on", 1, protocol::peer_features, 40, true, true},
        {"it was started anew", 3, protocol::peer_features, 0, false, false},
        {"its version wipes its copy", 1, protocol::peer_features_follow, 40, false, false},
        {"another leader has wiped its copy since", 1, protocol::peer_features, 45, true, false},
    };
    for (auto& c : cases) {
        SCOPED_TRACE(c.name);
        Bench b;
        b.ping("x", c.incarnation);
        b.pings["x"].features = c.features;
        auto& f = b.followers.at("x").follower = Follower(c.incarnation);
        b.followers.at("y").silent = true;
        if (c.begun) f.apply({c.begun, 1, {row_of("vm-1"), row_of("vm-9")}, 0, true});
        b.sender.start(0, protocol::StandbyRecord{40, {{"x", 1, 40}, {"y", 7, 40}}});
        for (double t = 0; !b.service.kv.contains(kv::keys::standby); t += 0.001) b.timers.run_until(t);
        EXPECT_EQ(b.named().contains("x"), c.at_once);
        auto log_index = b.start("vm-2");
        for (double t = b.timers.now(); t < 0.8; t += 0.01) {
            b.timers.run_until(t);
            b.sender.tick();
            if (b.sender.replicated(log_index) && b.named().contains("x")) {
                EXPECT_EQ(f.replica().machines.at("vm-2").agent_epoch, b.machines["vm-2"]);
                EXPECT_EQ(f.replica().base_version,
                          b.service.kv.at(kv::keys::standby).first["members"][0]["begun"]);
            }
        }
        EXPECT_TRUE(b.sender.replicated(log_index));
        EXPECT_TRUE(b.named().contains("x"));  // by a full copy, if need be
        EXPECT_EQ(f.replica().machines.contains("vm-9"), c.carried);
        EXPECT_TRUE(f.replica().complete);
    }
}

// It used to be left out for half a report period, longer than the next leader lived.
TEST(ReplicationSender, SendsASnapshotToARestartedFollowerAtOnce) {
    for (bool says_so : {true, false}) {
        SCOPED_TRACE(says_so);
        Bench b;
        b.followers.at("y").silent = true;
        b.sender.start(0, std::nullopt);
        b.timers.run_until(1);
        b.followers.at("x").follower = Follower(11);
        b.ping("x", 11);
        if (says_so)
            b.sender.follower_restarted("x", 11);
        else
            b.start("vm-1");  // the answer tells
        b.timers.run_until(1.2);
        auto& members = b.service.kv.at(kv::keys::standby).first["members"];
        ASSERT_EQ(members.size(), 1u);
        EXPECT_EQ(members[0]["incarnation"], 11u);
        EXPECT_EQ(b.followers.at("x").follower.replica().machines.size(), 2u);
    }
}

// Followers that fail, fall silent, begin anew, with hundreds of changes waiting: whatever counts as told is
// known to all that the record names.
TEST(ReplicationSender, ReplicatedChangesAreOnAllRecordedFollowers) {
    std::size_t sent = 0;
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        SCOPED_TRACE(seed);
        Bench b;
        std::mt19937_64 random(seed);
        for (int k = 0; k < 700; ++k) b.machines["vm-" + std::to_string(1000 + k)] = 1;
        b.sender.start(0, std::nullopt);
        struct Start {
            std::uint64_t log_index;
            std::string machine;
            std::uint64_t agent_epoch;
        };
        std::deque<Start> starts;
        for (int step = 0; step < 250; ++step) {
            b.timers.run_until(b.timers.now() + 0.01 * static_cast<double>(1 + random() % 30));
            if (random() % 12 == 0) b.authority = random() % 3 != 0;
            for (auto& [label, f] : b.followers) {
                f.silent = f.silent ? random() % 5 != 0 : random() % 25 == 0;
                f.fails = f.fails ? random() % 3 != 0 : random() % 8 == 0;
            }
            if (random() % 20 == 0)
                b.service.fates.push_back(static_cast<FakeKeyValueStore::Fate>(random() % 4));
            if (random() % 3 == 0) b.sender.tick();
            for (std::size_t n = random() % 10 == 0 ? 500 : random() % 3; n > 0; --n) {
                auto id = "vm-" + std::to_string(1000 + random() % 700);
                auto log_index = b.start(id);
                starts.push_back({log_index, id, b.machines[id]});
            }
            while (!starts.empty() && b.sender.replicated(starts.front().log_index)) {
                auto s = starts.front();
                starts.pop_front();
                ++sent;
                for (auto& label : b.named()) {
                    auto& rows = b.followers.at(label).follower.replica().machines;
                    ASSERT_TRUE(rows.contains(s.machine)) << label << " step " << step;
                    ASSERT_GE(rows.at(s.machine).agent_epoch, s.agent_epoch) << label << " step " << step;
                }
            }
        }
    }
    EXPECT_GT(sent, 10000u);
}

// Silence counts against a machine only while its leader keeps up with what it is told.
TEST(Reconciliation, CountsSilenceOnlyWhileTheLeaderKeepsUp) {
    struct Case {
        const char* name;
        double settles_every, answers_after;  // 0: none settles any more; -1: no answers
        double counted;                       // of the last machine's silence, 20 s after it was asked
    };
    const double report = 4;
    const Case cases[] = {
        {"nothing is heard", 0, -1, 20},
        {"the others settle one after the other", 0.4, 0.01, 0},
        {"none settles any more, answers come at once", 0, 0.01, 20},
        {"answers come late: they waited here", 0, 1.5, 0},
    };
    for (auto& c : cases) {
        SCOPED_TRACE(c.name);
        std::vector<protocol::MachineType> types;
        cluster::ClusterState p(7, types);
        failover::Reconciliation reconciliation(p, report);
        for (int k = 0; k < 60; ++k) {
            auto id = "vm-" + std::to_string(100 + k);
            p.add(id, "a:1", "g", "z", false, cluster::Machine::Life::up, 0).asked = 0;
            reconciliation.expect(id);
        }
        double next = c.settles_every;
        int reconciled = 100;
        for (double t = 0; t <= 20; t += 0.5) {
            for (; next > 0 && next <= t; next += c.settles_every)
                p.find("vm-" + std::to_string(reconciled++))->reconciled = true;
            if (c.answers_after >= 0) reconciliation.record_answer(c.answers_after, t);
            reconciliation.tick(t, 0.7);
        }
        EXPECT_NEAR(reconciliation.attributable_silence_s(*p.find("vm-159"), 20), c.counted, 1);
        EXPECT_FALSE(reconciliation.placement_allowed());
        EXPECT_FALSE(reconciliation.complete());
    }
}

// A few machines of which all is known don't hold up what the others' room decides; one that is not known
// does.
TEST(Reconciliation, IsCompleteDespiteAFewKnownMachines) {
    struct Case {
        const char* name;
        int left;
        bool known, heard;
    };
    const Case cases[] = {{"a few, known", 3, true, true},
                          {"many, known", 8, true, false},
                          {"a few, not known", 3, false, false},
                          {"none", 0, false, true}};
    for (auto& c : cases) {
        SCOPED_TRACE(c.name);
        std::vector<protocol::MachineType> types;
        cluster::ClusterState p(7, types);
        failover::Reconciliation reconciliation(p, 4);
        for (int k = 0; k < 64; ++k) {
            auto id = "vm-" + std::to_string(100 + k);
            auto& m = p.add(id, "a:1", "g", "z", false, cluster::Machine::Life::up, 0);
            m.reconciled = k >= c.left;
            m.known = c.known;
            reconciliation.expect(id);
        }
        reconciliation.tick(1, 0.7);
        EXPECT_EQ(reconciliation.complete(), c.heard);
    }
}

// What the leader before knew stays on the machine until a report under the new token shows otherwise.
TEST(ClusterState, KeepsInheritedTasksUntilProvenEnded) {
    struct Case {
        const char* name;
        std::uint64_t agent_epoch, token;
        bool shown;
        std::size_t left, ends;
    };
    const std::uint64_t mine = 7ull << cluster::ClusterState::token_bits, before = mine - 5;
    const Case cases[] = {
        {"a report from before the takeover does not show it: its `run` may come yet", 3, before, false, 1,
         0},
        {"one under the new token does not show it", 3, mine, false, 0, 1},
        {"one under the new token shows it", 3, mine, true, 1, 0},
        {"a later session: all of the old one was killed", 4, before, false, 0, 1},
        {"a report of an earlier session came late", 2, mine, false, 1, 0},
    };
    for (auto& c : cases) {
        SCOPED_TRACE(c.name);
        std::vector<protocol::MachineType> types;
        cluster::ClusterState p(7, types);
        auto& m = p.add("vm-1", "a:1", "g", "z", false, cluster::Machine::Life::up, 0);
        m.known = m.stored = true;
        m.agent_epoch = 3;
        auto spec = std::make_shared<protocol::Job>();
        spec->id = "j-1";
        p.inherit(m, {"j-1", 0}, spec, 11, 0);
        protocol::Heartbeat r;
        r.machine = "vm-1";
        r.agent_epoch = c.agent_epoch;
        r.sequence = 20;
        r.token = c.token;
        if (c.shown)
            r.tasks.push_back(
                {{"j-1", 0}, 11, protocol::TaskState::running, protocol::ExitCause::none, false});
        auto heard = p.apply_heartbeat(r, cluster::Via::heartbeat, 1, [&](auto&) { return spec; });
        EXPECT_EQ(m.tasks.size(), c.left);
        EXPECT_EQ(heard.ends.size(), c.ends);
        EXPECT_TRUE(heard.found.empty());
    }
}

}  // namespace
}  // namespace coralhitch::replication

namespace coralhitch::simulation {
namespace {

std::size_t lead(SimulatedCluster& w) {
    return static_cast<std::size_t>(std::max(0, w.leader()));
}
bool runs(const http::Request& r) {
    return r.target == protocol::paths::commands && r.body.find("\"run\"") != std::string::npos;
}

void ends_well(SimulatedCluster& w) {
    for (auto& b : wrong(w)) ADD_FAILURE() << b;
}

// Whoever leads after this one ends as soon as it does.
void crash_next(SimulatedCluster& w, std::size_t leader) {
    if (w.leader() >= 0 && lead(w) != leader) return w.crash(lead(w), 3);
    w.at(w.now() + 0.02, [&w, leader] { crash_next(w, leader); });
}

// The leader ends right after a message of some kind is sent, for the n-th time from some moment on; its
// successor likewise, if the case says so. Machines die or hang over it.
struct FaultAt {
    const char* name;
    std::function<bool(const http::Request&)> message;
    std::function<void(SimulatedCluster&, std::size_t leader)> what;
};
const FaultAt faults[] = {
    {"a start is told", [](auto& r) { return r.target == protocol::peer_fleet_path; },
     [](SimulatedCluster& w, std::size_t l) { w.crash(l, 5); }},
    {"a start is sent", runs, [](SimulatedCluster& w, std::size_t l) { w.crash(l, 5); }},
    {"a start is sent, and the next leader ends before it has settled", runs,
     [](SimulatedCluster& w, std::size_t l) {
         w.crash(l, 9);
         crash_next(w, l);
     }},
    {"a page or a record is stored",
     [](auto& r) {
         return r.target == "/txn" && (r.body.find("mach/") != std::string::npos ||
                                       r.body.find("\"standby\"") != std::string::npos);
     },
     [](SimulatedCluster& w, std::size_t l) { w.crash(l, 5); }},
    {"a start is sent, and the leader stands still, then goes on", runs,
     [](SimulatedCluster& w, std::size_t l) { w.stand_still(l, 14); }},
    {"a start is told to one that is cut off, its messages held",
     [](auto& r) { return r.target == protocol::peer_fleet_path; },
     [](SimulatedCluster& w, std::size_t l) {
         w.cut("10.0.0." + std::to_string((l + 1) % 3 + 1), "10.", 25, true);
         w.at(w.now() + 4, [&w, l] { w.crash(l, 5); });
     }},
    {"a start is sent while the state service is out", runs,
     [](SimulatedCluster& w, std::size_t l) {
         w.state_down(10);
         w.crash(l, 5);
     }},
    {"a third of the machines and two controllers at once", runs,
     [](SimulatedCluster& w, std::size_t l) {
         for (std::size_t k = 0; k < 4; ++k) w.die(3 * k);
         w.crash(l, 5);
         w.crash((l + 1) % 3, 7);
     }},
    // Sent all the same, the start would reach a machine that goes on only when the next leader has begun.
    {"a start is told, reaches nobody, and the leader ends while machines hang",
     [](auto& r) { return r.target == protocol::peer_fleet_path; },
     [](SimulatedCluster& w, std::size_t l) {
         for (std::size_t k = 0; k < 12; k += 2) w.hang(k, 7);
         for (std::size_t k = 0; k < 3; ++k)
             if (k != l)
                 w.cut("10.0.0." + std::to_string(l + 1), "10.0.0." + std::to_string(k + 1), 20, false);
         w.at(w.now() + 0.3, [&w, l] { w.crash(l, 5); });
     }},
    {"the leader is cut off with a zone, packets held", runs,
     [](SimulatedCluster& w, std::size_t l) { w.cut("10.0.0." + std::to_string(l + 1), "10.", 30, true); }},
};

void play_at(const FaultAt& f, std::uint64_t seed, std::set<std::size_t> without = {}) {
    SCOPED_TRACE(std::string(f.name) + ", seed " + std::to_string(seed));
    Options o;
    o.seed = seed;
    o.machines = 12;
    o.without_standby = std::move(without);
    SimulatedCluster w(o);
    work(w, 110);
    std::mt19937_64 random(seed);
    for (double t : {30.0, 60.0, 90.0}) {
        std::size_t hung = random() % 12, dead = random() % 12;
        auto left = std::make_shared<std::size_t>(1 + random() % 6);
        auto with_machines = random() % 3;
        w.at(t, [&w, &f, left, hung, dead, with_machines] {
            w.sent = [&w, &f, left, hung, dead, with_machines](const std::string& from, const std::string&,
                                                               const http::Request& r) {
                if (*left == 0 || w.leader() < 0 || from != w.addr_of(lead(w)) || !f.message(r)) return;
                if (--*left > 0) return;
                if (with_machines > 0) w.hang(hung, 8.0 * static_cast<double>(with_machines));
                if (with_machines > 1) w.die(dead);
                f.what(w, lead(w));
            };
        });
    }
    w.run_until(230);
    ends_well(w);
}
// A case for each fault, so that they can be played side by side.
class Ends : public testing::TestWithParam<std::size_t> {
  protected:
    void SetUp() override { spdlog::set_level(spdlog::level::off); }
    const FaultAt& fault() const { return faults[GetParam()]; }
};
INSTANTIATE_TEST_SUITE_P(Standby, Ends, testing::Range<std::size_t>(0, std::size(faults)));
TEST_P(Ends, KeepTheRules) {
    const char* more = std::getenv("CORALHITCH_SEEDS");  // by hand
    std::uint64_t seeds = more ? std::stoull(more) : 16 / seeds_part;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) play_at(fault(), seed);
}
// One of the controllers, or two, are of a version that tells and follows nobody.
TEST_P(Ends, KeepTheRulesBesideAVersionWithoutStandby) {
    play_at(fault(), 51, {0});
    play_at(fault(), 52, {1, 2});
}

// Nobody followed, since all ended together: a dead machine is fenced after some seconds, not only when its
// lease is out.
TEST(Standby, AfterAStartOfAllADeadMachineIsFencedSoon) {
    spdlog::set_level(spdlog::level::off);
    for (std::uint64_t seed : {1, 2, 3}) {
        Options o;
        o.seed = seed;
        o.machines = 12;
        SimulatedCluster w(o);
        w.at(2, [&w] { w.submit("j-1", "service", 30, 0); });
        w.run_until(30);
        w.die(0);
        w.die(4);
        for (std::size_t k = 0; k < 3; ++k) w.crash(k, 3);
        w.at(33, [&w] { w.submit("j-2", "batch", 1, 2); });
        w.run_until(47);
        EXPECT_FALSE(w.jobs["j-2"].tasks_done.empty());
        for (auto& b : w.broken) ADD_FAILURE() << b;
    }
}

// The leader is back about when its lease ends, and must not win before those who followed it.
TEST(Standby, WhoFollowedLeadsBeforeALeaderThatWasStartedAnew) {
    spdlog::set_level(spdlog::level::off);
    for (double back : {1.5, 2.3, 2.4, 2.45, 2.5, 2.6}) {
        SCOPED_TRACE(back);
        SimulatedCluster w({});
        w.at(2, [&w] { w.submit("j-1", "service", 6, 0); });
        for (double t : {30.0, 45.0, 60.0}) {
            w.run_until(t);
            auto before = lead(w);
            w.crash(before, back);
            w.run_until(t + 8);
            EXPECT_GE(w.leader(), 0);
            if (back > 1.6) {  // sooner, it ends its own lease, and nobody else has seen it end yet
                EXPECT_NE(lead(w), before) << t;
            }
        }
    }
}

// One dead machine of many used to hold up the first start until it was proven gone.
TEST(Standby, ADeadMachineHoldsNothingUp) {
    spdlog::set_level(spdlog::level::off);
    for (bool standby : {true, false}) {
        Options o;
        o.machines = 5;
        if (!standby) o.without_standby = {0, 1, 2};
        SimulatedCluster w(o);
        w.at(2, [&w] { w.submit("j-1", "service", 18, 0); });
        w.run_until(30);
        w.cloud_down(60);  // so that it is proven gone by its lease alone
        std::size_t used = 0;
        while (used + 1 < w.workers.size() && w.workers[used]->tasks.empty()) ++used;
        w.die(used);
        w.crash(lead(w), 60);
        w.at(30.1, [&w] { w.submit("j-2", "batch", 1, 2); });
        w.run_until(50);
        EXPECT_EQ(!w.jobs["j-2"].tasks_done.empty(), standby);  // its user may have asked the dead controller
        for (auto& b : w.broken) ADD_FAILURE() << b;
    }
}

}  // namespace
}  // namespace coralhitch::simulation

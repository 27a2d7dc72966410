// Tests when starts may be sent while followers and the key-value store fail, restart or do not answer.
#include "replication/replication_sender.hpp"

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <deque>
#include <random>
#include <set>

#include "kv/keys.hpp"
#include "protocol/kv_api.hpp"
#include "protocol/model.hpp"
#include "protocol/peer_messages.hpp"
#include "replication/follower.hpp"
#include "support/fake_key_value_store.hpp"
#include "support/fake_timers.hpp"
#include "support/test_settings.hpp"

namespace coralhitch::replication {
namespace {

protocol::ReplicatedMachine row_of(const std::string& id, std::uint64_t agent_epoch = 1) {
    return {id, true, false, protocol::AgentEpoch{agent_epoch}, protocol::SequenceNumber::none(), {}};
}

struct SenderFixture {
    static config::Settings settings_for() {
        auto s = settings_of({.heartbeat_interval_s = 4, .lease_s = 30, .txn_ops = 8});
        s.peers = {{"x", "a", "x:1"}, {"y", "b", "y:1"}};
        return s;
    }
    SenderFixture() {
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
                auto piece = protocol::unpack_peer<protocol::ReplicationRequest>(r.body);
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
        auto it = service.kv.find(kv::keys::in_sync_replicas);
        if (it != service.kv.end())
            for (auto& m : it->second.value["members"]) out.insert(m["label"].get<std::string>());
        return out;
    }
    FakeTimers timers;
    FakeKeyValueStore service{timers};
    config::Settings settings = settings_for();
    kv::KvClient client{timers, service, settings};
    std::map<std::string, Peer> followers{{"x", {Follower(protocol::Incarnation{1})}},
                                          {"y", {Follower(protocol::Incarnation{2})}}};
    std::map<std::string, std::uint64_t> machines{{"vm-1", 1}, {"vm-2", 1}};
    bool authority = true;
    std::map<std::string, protocol::PeerPing> pings;
    void ping(const std::string& label, std::uint64_t incarnation) {
        pings[label] = {
            label, protocol::Incarnation{incarnation}, protocol::LeaderVersion::none(), "", true, {},
            {},    protocol::peer_features::latest,    protocol::LeaderVersion::none()};
    }
    ReplicationSender sender{
        timers,
        service,
        settings,
        client,
        protocol::LeaderVersion{50},
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
        sender.record_machine_change(id);
        sender.flush();
        return sender.log_index();
    }
};

TEST(ReplicationSender, HoldsStartsUntilAllRecordedFollowersAcknowledge) {
    SenderFixture fixture;
    fixture.followers.at("y").silent = true;
    fixture.sender.start(0, std::nullopt);
    EXPECT_FALSE(
        fixture.sender.replicated(fixture.start("vm-1")));  // an earlier leader's record may still be stored
    fixture.timers.run_until(1);
    EXPECT_EQ(fixture.named(), std::set<std::string>{"x"});
    auto log_index = fixture.start("vm-1");
    EXPECT_FALSE(fixture.sender.replicated(log_index));
    fixture.timers.run_until(1.05);
    EXPECT_TRUE(fixture.sender.replicated(log_index));
    EXPECT_EQ(fixture.followers.at("x").follower.replica().machines.at("vm-1").agent_epoch.value(),
              fixture.machines["vm-1"]);
    // A follower that stops answering delays starts only until it is removed from the record.
    fixture.followers.at("x").silent = true;
    log_index = fixture.start("vm-2");
    for (double t = 1.1; !fixture.sender.replicated(log_index) && t < 6; t += 0.01) {
        fixture.timers.run_until(t);
        if (fixture.sender.replicated(log_index)) {
            EXPECT_TRUE(fixture.named().empty());
        }
    }
    EXPECT_TRUE(fixture.sender.replicated(log_index));
    EXPECT_LT(fixture.timers.now(), 1.1 + 4.0 / 5 + 0.1);
}

// An unanswered write that names a follower may be executed at any later time, until a later write, which is
// conditional on the record's version, is confirmed.
TEST(ReplicationSender, WaitsForFollowersThatAnUnansweredWriteNames) {
    for (auto fate : {FakeKeyValueStore::TxnFate::answer_lost, FakeKeyValueStore::TxnFate::executed_late,
                      FakeKeyValueStore::TxnFate::never_executed}) {
        SCOPED_TRACE(static_cast<int>(fate));
        SenderFixture fixture;
        fixture.followers.at("y").silent = true;
        fixture.service.txn_fates = {FakeKeyValueStore::TxnFate::answered,
                                     fate};  // the first names no follower
        fixture.sender.start(0, std::nullopt);
        for (double t = 0.1; t < 12; t += 0.05) {
            fixture.timers.run_until(t);
            if (t > 0.3) fixture.followers.at("x").silent = true;
            auto log_index = fixture.start("vm-1");
            bool knows =
                fixture.followers.at("x").follower.replica().machines.at("vm-1").agent_epoch.value() ==
                fixture.machines["vm-1"];
            if (!knows && fixture.sender.replicated(log_index)) {
                EXPECT_FALSE(fixture.named().contains("x")) << t;
            }
        }
        EXPECT_TRUE(fixture.named().empty());
        EXPECT_TRUE(fixture.sender.replicated(fixture.sender.log_index()));
    }
}

// If leaders are killed a second apart, there is no time for snapshots. Each leader therefore names the
// followers of its predecessor from its first record on, provided that each is still the recorded process and
// has the recorded replica.
TEST(ReplicationSender, ResumesFollowersOfThePreviousLeader) {
    struct Case {
        const char* name;
        // Of follower `x`: its process, its software version and the leadership that its replica began from.
        std::uint64_t incarnation, features, base_version;
        bool in_first_record, resumed;
    };
    const Case cases[] = {
        {"the follower resumes", 1, protocol::peer_features::latest, 40, true, true},
        {"the follower was restarted", 3, protocol::peer_features::latest, 0, false, false},
        {"its software version cannot resume", 1, protocol::peer_features::replication, 40, false, false},
        {"another leader has replaced its replica", 1, protocol::peer_features::latest, 45, true, false},
    };
    for (auto& c : cases) {
        SCOPED_TRACE(c.name);
        SenderFixture fixture;
        fixture.ping("x", c.incarnation);
        fixture.pings["x"].features = c.features;
        auto& f = fixture.followers.at("x").follower = Follower(protocol::Incarnation{c.incarnation});
        fixture.followers.at("y").silent = true;
        if (c.base_version)
            f.apply({protocol::LeaderVersion{c.base_version},
                     1,
                     {row_of("vm-1"), row_of("vm-9")},
                     protocol::LeaderVersion::none(),
                     true});
        fixture.sender.start(
            0, protocol::InSyncReplicas{protocol::LeaderVersion{40},
                                        {{"x", protocol::Incarnation{1}, protocol::LeaderVersion{40}},
                                         {"y", protocol::Incarnation{7}, protocol::LeaderVersion{40}}}});
        for (double t = 0; !fixture.service.kv.contains(kv::keys::in_sync_replicas); t += 0.001)
            fixture.timers.run_until(t);
        EXPECT_EQ(fixture.named().contains("x"), c.in_first_record);
        auto log_index = fixture.start("vm-2");
        for (double t = fixture.timers.now(); t < 0.8; t += 0.01) {
            fixture.timers.run_until(t);
            fixture.sender.tick();
            if (fixture.sender.replicated(log_index) && fixture.named().contains("x")) {
                EXPECT_EQ(f.replica().machines.at("vm-2").agent_epoch.value(), fixture.machines["vm-2"]);
                EXPECT_EQ(f.replica().base_version.value(),
                          fixture.service.kv.at(kv::keys::in_sync_replicas).value["members"][0]["begun"]);
            }
        }
        EXPECT_TRUE(fixture.sender.replicated(log_index));
        EXPECT_TRUE(fixture.named().contains("x"));  // after a snapshot if it could not resume
        EXPECT_EQ(f.replica().machines.contains("vm-9"), c.resumed);
        EXPECT_TRUE(f.replica().complete);
    }
}

// A restarted follower used to wait out a backoff of half a heartbeat period before its snapshot. If the
// leader was killed within that time, it left no follower in sync.
TEST(ReplicationSender, SendsASnapshotToARestartedFollowerAtOnce) {
    for (bool announced : {true, false}) {
        SCOPED_TRACE(announced);
        SenderFixture fixture;
        fixture.followers.at("y").silent = true;
        fixture.sender.start(0, std::nullopt);
        fixture.timers.run_until(1);
        fixture.followers.at("x").follower = Follower(protocol::Incarnation{11});
        fixture.ping("x", 11);
        if (announced)
            fixture.sender.handle_follower_restart("x", protocol::Incarnation{11});
        else
            fixture.start("vm-1");  // the follower's answer carries the new incarnation
        fixture.timers.run_until(1.2);
        auto& members = fixture.service.kv.at(kv::keys::in_sync_replicas).value["members"];
        ASSERT_EQ(members.size(), 1u);
        EXPECT_EQ(members[0]["incarnation"], 11u);
        EXPECT_EQ(fixture.followers.at("x").follower.replica().machines.size(), 2u);
    }
}

// Followers fail or do not answer while hundreds of changes are queued. Every change that counts as
// replicated must be in the replicas of all followers that the record names.
TEST(ReplicationSender, ReplicatedChangesAreOnAllRecordedFollowers) {
    std::size_t sent = 0;
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        SCOPED_TRACE(seed);
        SenderFixture fixture;
        std::mt19937_64 random(seed);
        for (int k = 0; k < 700; ++k) fixture.machines["vm-" + std::to_string(1000 + k)] = 1;
        fixture.sender.start(0, std::nullopt);
        struct Start {
            std::uint64_t log_index;
            std::string machine;
            std::uint64_t agent_epoch;
        };
        std::deque<Start> starts;
        for (int step = 0; step < 250; ++step) {
            fixture.timers.run_until(fixture.timers.now() + 0.01 * static_cast<double>(1 + random() % 30));
            if (random() % 12 == 0) fixture.authority = random() % 3 != 0;
            for (auto& [label, f] : fixture.followers) {
                f.silent = f.silent ? random() % 5 != 0 : random() % 25 == 0;
                f.fails = f.fails ? random() % 3 != 0 : random() % 8 == 0;
            }
            if (random() % 20 == 0)
                fixture.service.txn_fates.push_back(static_cast<FakeKeyValueStore::TxnFate>(random() % 4));
            if (random() % 3 == 0) fixture.sender.tick();
            for (std::size_t n = random() % 10 == 0 ? 500 : random() % 3; n > 0; --n) {
                auto id = "vm-" + std::to_string(1000 + random() % 700);
                auto log_index = fixture.start(id);
                starts.push_back({log_index, id, fixture.machines[id]});
            }
            while (!starts.empty() && fixture.sender.replicated(starts.front().log_index)) {
                auto s = starts.front();
                starts.pop_front();
                ++sent;
                for (auto& label : fixture.named()) {
                    auto& rows = fixture.followers.at(label).follower.replica().machines;
                    ASSERT_TRUE(rows.contains(s.machine)) << label << " step " << step;
                    ASSERT_GE(rows.at(s.machine).agent_epoch.value(), s.agent_epoch)
                        << label << " step " << step;
                }
            }
        }
    }
    EXPECT_GT(sent, 10000u);
}

}  // namespace
}  // namespace coralhitch::replication

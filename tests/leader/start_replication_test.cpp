// StartReplication: sends a start only after every controller that could become the next leader has
// acknowledged it. Otherwise a next leader would not know the instance and could start the task a second
// time.
#include "leader/start_replication.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "leader/parts_fixture.hpp"
#include "protocol/peer_messages.hpp"
#include "replication/follower.hpp"

namespace coralhitch::leader {
namespace {
using cluster::Machine;
using testing::ElementsAre;
using testing::IsEmpty;

constexpr protocol::Incarnation follower_incarnation{9};
const std::string follower_label = "controller-1", follower_addr = "10.1.0.2:7000";

config::Settings settings_with_follower(bool replicates_starts) {
    auto settings = LeadingFixture::single_controller_settings();
    settings.peers = {{follower_label, "b", follower_addr}};
    settings.op.replicate_starts = replicates_starts;
    return settings;
}

struct StartReplicationFixture : PartsFixture {
    explicit StartReplicationFixture(bool replicates_starts = true)
        : PartsFixture(settings_with_follower(replicates_starts)) {
        ping.label = follower_label;
        ping.incarnation = follower_incarnation;
        ping.features = protocol::peer_features::latest;
    }
    // Starts the replication and brings the follower in sync: it has acknowledged all changes, and the stored
    // record names it.
    void begin_in_sync() {
        replication.begin(0, std::nullopt);
        wait(1);
        while (batch_waits()) acknowledge();
        wait(1);
        while (batch_waits()) acknowledge();
        ASSERT_EQ(replication.sender().in_sync_count(), 1u);
    }
    // Starts the job's only task with the same calls as LeaderParts::replicate_starts.
    void start(const std::string& job_id, Machine& machine) {
        add_start(job_id, machine);
        replication.replicate_changes();
        replication.hold_start(machine.id, {job_id, 0});
        replication.flush();
        replication.release_starts();
    }
    bool batch_waits() const { return !sent.empty() && sent.front().addr == follower_addr; }
    // Lets the follower apply the first batch in flight, and delivers its response.
    void acknowledge() {
        ASSERT_TRUE(batch_waits());
        auto batch = protocol::unpack_peer<protocol::ReplicationRequest>(sent.front().request.body);
        ASSERT_TRUE(batch);
        answer(http::Response{200, protocol::pack_peer(follower.apply(std::move(*batch)))});
    }
    // Returns the addresses of the machines to which a `run` was sent.
    std::vector<std::string> started_on() {
        std::vector<std::string> addrs;
        for (auto& request : sent)
            if (request.addr != follower_addr &&
                verbs(request.request.body) == std::vector<std::string>{"run"})
                addrs.push_back(request.addr);
        return addrs;
    }
    protocol::PeerPing ping;  // last ping from the follower
    replication::Follower follower{follower_incarnation};
    StartReplication replication{*context, network, kv, [this](const std::string&) { return &ping; },
                                 [this] { commands.flush_all(); }};
};

TEST(StartReplication, HoldsAStartUntilTheFollowerHasAcknowledgedIt) {
    StartReplicationFixture fixture;
    auto& machine = fixture.add_reconciled_machine("vm-1");
    fixture.begin_in_sync();
    fixture.start("j-1", machine);
    EXPECT_THAT(fixture.started_on(), IsEmpty());
    fixture.acknowledge();
    EXPECT_THAT(fixture.started_on(), ElementsAre(machine.addr));
    auto& rows = fixture.follower.replica().machines;
    ASSERT_TRUE(rows.contains("vm-1"));
    ASSERT_EQ(rows.at("vm-1").tasks.size(), 1u);
    EXPECT_EQ(rows.at("vm-1").tasks[0].attempt, protocol::AttemptNumber{first_attempt});
}

TEST(StartReplication, HoldsOnlyStartsThatTheFollowerLacks) {
    StartReplicationFixture fixture;
    auto& first = fixture.add_reconciled_machine("vm-1");
    auto& second = fixture.add_reconciled_machine("vm-2");
    fixture.begin_in_sync();
    fixture.start("j-1", first);
    fixture.start("j-2", second);  // the batch with the first start is still in flight
    fixture.acknowledge();
    EXPECT_THAT(fixture.started_on(), ElementsAre(first.addr));
    fixture.acknowledge();
    EXPECT_THAT(fixture.started_on(), ElementsAre(first.addr, second.addr));
}

TEST(StartReplication, HoldsStartsUntilItsRecordHasReplacedTheRecordOfThePreviousLeader) {
    StartReplicationFixture fixture;
    fixture.ping.features = 0;  // the peer does not support following
    auto& machine = fixture.add_reconciled_machine("vm-1");
    fixture.service.txn_fates = {FakeKeyValueStore::TxnFate::never_executed};
    fixture.replication.begin(0, std::nullopt);
    fixture.start("j-1", machine);
    fixture.wait(0.5);
    EXPECT_THAT(fixture.started_on(), IsEmpty())
        << "a controller named by the old record would assume that it knows all starts";
    fixture.wait(10);
    ASSERT_TRUE(fixture.service.kv.contains(kv::keys::in_sync_replicas));
    EXPECT_THAT(fixture.started_on(), ElementsAre(machine.addr));
}

TEST(StartReplication, RemovesAnUnresponsiveFollowerFromTheRecordBeforeTheStart) {
    StartReplicationFixture fixture;
    auto& machine = fixture.add_reconciled_machine("vm-1");
    fixture.begin_in_sync();
    fixture.start("j-1", machine);
    fixture.wait(fixture.settings.heartbeat_interval_s / 5 + 0.01);
    fixture.ping.features = 0;
    fixture.answer(std::nullopt);
    EXPECT_THAT(fixture.started_on(), IsEmpty()) << "the record still names the follower";
    fixture.wait(1);
    EXPECT_EQ(fixture.service.kv[kv::keys::in_sync_replicas].value["members"].size(), 0u);
    EXPECT_THAT(fixture.started_on(), ElementsAre(machine.addr));
}

TEST(StartReplication, HoldsNoStartIfReplicationIsSwitchedOff) {
    StartReplicationFixture fixture(false);
    auto& machine = fixture.add_reconciled_machine("vm-1");
    fixture.replication.begin(0, std::nullopt);
    fixture.start("j-1", machine);
    EXPECT_THAT(fixture.started_on(), ElementsAre(machine.addr));
    EXPECT_FALSE(fixture.batch_waits());
}

TEST(StartReplication, ReplicatesWhetherAllInstancesOfAMachineAreKnown) {
    StartReplicationFixture fixture;
    fixture.add_reconciled_machine("vm-1");
    fixture.add_machine("vm-2");  // stored by an earlier leader, not reconciled
    fixture.add_machine("vm-3").lifecycle = Machine::Lifecycle::booting;
    fixture.begin_in_sync();
    auto& rows = fixture.follower.replica().machines;
    EXPECT_TRUE(rows.at("vm-1").tasks_known);
    EXPECT_FALSE(rows.at("vm-2").tasks_known);
    EXPECT_FALSE(rows.contains("vm-3")) << "no command can have been sent to a booting machine";
}

TEST(StartReplication, SendsNoHeldStartAfterTheEndOfTheLeadership) {
    StartReplicationFixture fixture;
    auto& machine = fixture.add_reconciled_machine("vm-1");
    fixture.begin_in_sync();
    fixture.start("j-1", machine);
    fixture.authority->end();
    fixture.acknowledge();
    EXPECT_THAT(fixture.started_on(), IsEmpty());
    EXPECT_FALSE(machine.tasks.at({"j-1", 0}).replicated);
}

}  // namespace
}  // namespace coralhitch::leader

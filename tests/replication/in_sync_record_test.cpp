// Tests which followers the stored record of in-sync followers names, or may name after a pending write.
#include "replication/in_sync_record.hpp"

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "kv/keys.hpp"
#include "protocol/kv_api.hpp"
#include "support/fake_key_value_store.hpp"
#include "support/fake_timers.hpp"
#include "support/test_settings.hpp"

namespace coralhitch::replication {
namespace {

struct RecordFixture {
    RecordFixture() { spdlog::set_level(spdlog::level::off); }
    FakeTimers timers;
    FakeKeyValueStore service{timers};
    config::Settings settings = settings_of({.heartbeat_interval_s = 4, .lease_s = 30, .txn_ops = 8});
    kv::KvClient client{timers, service, settings};
    std::vector<InSyncRecord::Member> members;
    bool authority = true;
    int committed = 0;
    InSyncRecord record{timers,
                        settings,
                        client,
                        protocol::LeaderVersion{50},
                        {[this] { return members; },
                         [this] { return authority ? std::optional(protocol::Txn{}) : std::nullopt; },
                         [this] { ++committed; }, [] {}}};
    std::size_t stored_members() {
        auto it = service.kv.find(kv::keys::in_sync_replicas);
        return it == service.kv.end() ? 0 : it->second.value["members"].size();
    }
};

TEST(InSyncRecord, IsStoredEvenWithoutFollowers) {
    RecordFixture fixture;
    fixture.record.update();
    fixture.timers.run_until(1);
    EXPECT_FALSE(fixture.service.kv.contains(kv::keys::in_sync_replicas)) << "not started";
    fixture.record.start(0);
    fixture.record.update();
    EXPECT_FALSE(fixture.record.owned());
    fixture.timers.run_until(2);
    EXPECT_TRUE(fixture.record.owned());
    EXPECT_EQ(fixture.committed, 1);
    EXPECT_TRUE(fixture.service.kv.contains(kv::keys::in_sync_replicas));
}

TEST(InSyncRecord, WaitsForAuthority) {
    RecordFixture fixture;
    fixture.authority = false;
    fixture.record.start(0);
    fixture.record.update();
    fixture.timers.run_until(2);
    EXPECT_FALSE(fixture.record.owned());
    fixture.authority = true;
    fixture.timers.run_until(3);
    EXPECT_TRUE(fixture.record.owned());
}

// The store may execute an unanswered write at any later time. Followers named by it must count as recorded
// until another write is confirmed.
TEST(InSyncRecord, MayNameFollowersOfAnUnansweredWrite) {
    using TxnFate = FakeKeyValueStore::TxnFate;
    for (auto fate : {TxnFate::answer_lost, TxnFate::executed_late, TxnFate::never_executed}) {
        SCOPED_TRACE(static_cast<int>(fate));
        RecordFixture fixture;
        fixture.service.txn_fates = {TxnFate::answered, fate};
        fixture.record.start(0);
        fixture.record.update();
        fixture.timers.run_until(1);
        EXPECT_FALSE(fixture.record.may_name("x"));
        fixture.members = {{"x", protocol::Incarnation{1}, protocol::LeaderVersion{50}}};
        fixture.record.update();
        EXPECT_TRUE(fixture.record.may_name("x"));
        fixture.members.clear();  // the follower falls out of sync while the write is under way
        for (double t = 1; t < 30; t += 0.1) {
            fixture.timers.run_until(t);
            if (!fixture.record.may_name("x")) {
                ASSERT_EQ(fixture.stored_members(), 0u) << t;
            }
        }
        EXPECT_FALSE(fixture.record.may_name("x"));
        EXPECT_EQ(fixture.record.confirmed_count(), 0u);
    }
}

}  // namespace
}  // namespace coralhitch::replication

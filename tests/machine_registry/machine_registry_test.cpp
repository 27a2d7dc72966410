// Tests of the machine registry: a record that was confirmed as stored is in the store, even if answers of
// the store are lost or late.
#include "machine_registry/machine_registry.hpp"

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <deque>
#include <nlohmann/json.hpp>

#include "kv/keys.hpp"
#include "protocol/kv_api.hpp"
#include "protocol/model.hpp"
#include "support/fake_key_value_store.hpp"

namespace coralhitch::machine_registry {
namespace {
using nlohmann::json;

std::set<std::string> machines_in(const FakeKeyValueStore& store) {
    std::set<std::string> out;
    for (auto& [key, entry] : store.kv)
        if (key.starts_with(coralhitch::kv::keys::machine_pages))
            for (auto& row : entry.value.value("machines", json::array()))
                out.insert(row[0].get<std::string>());
    return out;
}

struct Fixture {
    static config::Settings settings_for(double safe_value_kb, std::uint32_t txn_ops) {
        config::Settings s;
        s.heartbeat_interval_s = 4;
        s.kv_rps = 100;
        s.kv_write_rps = 50;
        s.value_kb = 16;
        s.safe_value_kb = safe_value_kb;
        s.txn_ops = txn_ops;
        return s;
    }
    explicit Fixture(double safe_value_kb = 16, std::uint32_t txn_ops = 24)
        : settings(settings_for(safe_value_kb, txn_ops)) {
        spdlog::set_level(spdlog::level::off);
    }
    FakeTimers timers;
    FakeKeyValueStore service{timers};
    config::Settings settings;
    kv::KvClient client{timers, service, settings};
    std::map<std::string, protocol::MachineRecord> machines;
    std::set<std::string> confirmed;
    bool authority = true;
    MachineRegistry registry{timers,
                             client,
                             settings,
                             {[this](const std::string& id) {
                                  auto it = machines.find(id);
                                  return it == machines.end() ? std::nullopt : std::optional(it->second);
                              },
                              [this] { return authority ? std::optional(protocol::Txn{}) : std::nullopt; },
                              [this](const std::vector<StoredMachine>& records) {
                                  for (auto& [id, record] : records)
                                      if (machines.contains(id)) confirmed.insert(id);
                              }}};
    void add(const std::string& id) {
        machines[id] = {"10.1.0.1:9000", "g4", "z1", false, false};
        registry.put(id);
    }
    void terminate(const std::string& id) {
        machines.erase(id);
        confirmed.erase(id);
        registry.remove(id);
    }
    // Loads the other registry's records, as a new leader does at failover.
    void fail_over(const Fixture& before) {
        service.kv = before.service.kv;
        service.revision = before.service.revision;
        kv::ListResult listed;
        listed.status = kv::ReadStatus::ok;
        for (auto& [key, entry] : service.kv)
            listed.entries.push_back({key, entry.value.dump(), entry.version, 0});
        for (auto& [id, record] : registry.load(listed)) {
            machines[id] = record;
            confirmed.insert(id);
        }
    }
    // Runs the timers for so many seconds, with regular flushes, and checks the invariant after each step.
    void run_scenario(double seconds) {
        for (double t = 0; t < seconds; t += 0.05) {
            if (static_cast<int>(t / 0.05) % 20 == 0) registry.flush();
            timers.run_until(timers.now() + 0.05);
            expect_all_confirmed_stored();
        }
    }
    void expect_all_confirmed_stored() {
        auto stored = machines_in(service);
        for (auto& id : confirmed) EXPECT_TRUE(stored.contains(id)) << id;
    }
};

TEST(MachineRegistry, StoresManyMachinesInAFewChanges) {
    Fixture fixture;
    for (int i = 0; i < 600; ++i) fixture.add("vm-" + std::to_string(100000 + i));
    fixture.timers.run_until(5);
    EXPECT_EQ(fixture.confirmed.size(), 600u);
    EXPECT_LE(fixture.service.changes, 10);
    for (auto& [key, entry] : fixture.service.kv) EXPECT_LE(entry.value.dump().size(), 16u * 1024);
    fixture.expect_all_confirmed_stored();
}
// A write whose answer was lost may be executed late. It must fail then, because otherwise it would remove
// machines that were confirmed in the meantime from their page, and the next leader would not ask for tasks
// on them.
TEST(MachineRegistry, LostAndLateWritesNeverHideAConfirmedMachine) {
    using Fate = FakeKeyValueStore::TxnFate;
    const std::vector<Fate> cases[] = {
        {},
        {Fate::answer_lost},
        {Fate::executed_late},
        {Fate::never_executed},
        {Fate::executed_late, Fate::executed_late, Fate::answer_lost},
        {Fate::answered, Fate::executed_late, Fate::answered, Fate::executed_late, Fate::never_executed}};
    for (auto& fates : cases) {
        Fixture fixture;
        fixture.service.txn_fates.assign(fates.begin(), fates.end());
        for (int i = 0; i < 12; ++i) {
            fixture.add("vm-" + std::to_string(i));
            if (i % 4 == 3) fixture.terminate("vm-" + std::to_string(i - 2));
            for (double t = 0; t < 1.5; t += 0.1) {
                fixture.timers.run_until(fixture.timers.now() + 0.1);
                fixture.expect_all_confirmed_stored();
            }
        }
        for (int i = 0; i < 10; ++i) {
            fixture.registry.flush();
            fixture.timers.run_until(fixture.timers.now() + 5);
        }
        fixture.expect_all_confirmed_stored();
        EXPECT_EQ(fixture.confirmed.size(), fixture.machines.size());
        EXPECT_EQ(machines_in(fixture.service).size(), fixture.machines.size());
    }
}
TEST(MachineRegistry, WritesNothingWithoutAuthority) {
    Fixture fixture;
    fixture.authority = false;
    fixture.add("vm-1");
    fixture.timers.run_until(5);
    EXPECT_TRUE(fixture.confirmed.empty());
    EXPECT_TRUE(fixture.service.kv.empty());
    fixture.authority = true;
    fixture.registry.flush();
    fixture.timers.run_until(6);
    EXPECT_EQ(fixture.confirmed.size(), 1u);
}
TEST(MachineRegistry, LoadsPagesAndTheLayoutWithAKeyForEachMachine) {
    Fixture fixture;
    fixture.add("vm-1");
    fixture.timers.run_until(1);
    kv::ListResult listed;
    listed.status = kv::ReadStatus::ok;
    auto& page = *fixture.service.kv.begin();
    listed.entries = {{kv::keys::machines + "vm-0",
                       R"({"addr":"10.1.0.2:9","type":"g4","zone":"z1","spot":true,"condemned":true})", 3, 0},
                      {page.first, page.second.value.dump(), page.second.version, 0}};
    Fixture next;
    next.service.kv = fixture.service.kv;
    next.service.kv[kv::keys::machines + "vm-0"] = {json::object(), 3};
    for (auto& [id, record] : next.registry.load(listed)) next.machines[id] = record;
    ASSERT_EQ(next.machines.size(), 2u);
    EXPECT_TRUE(next.machines["vm-0"].marked_for_deletion);
    next.registry.flush();
    next.timers.run_until(2);
    EXPECT_EQ(machines_in(next.service), (std::set<std::string>{"vm-0", "vm-1"}));
    EXPECT_FALSE(next.service.kv.contains(kv::keys::machines + "vm-0"));
}

// Pages filled under a larger limit are split, which takes several transactions. Guards against a moment at
// which a machine is missing from the store, even if answers are lost or late: the next leader would not ask
// for tasks on that machine.
TEST(MachineRegistry, SplitsLargePagesWithoutAMachineEverMissing) {
    using Fate = FakeKeyValueStore::TxnFate;
    const std::vector<Fate> cases[] = {{},
                                       {Fate::answer_lost, Fate::executed_late, Fate::never_executed,
                                        Fate::answered, Fate::executed_late, Fate::answer_lost}};
    for (auto& fates : cases) {
        Fixture before;
        for (int i = 0; i < 600; ++i) before.add("vm-" + std::to_string(100000 + i));
        before.timers.run_until(5);
        Fixture fixture(2, 8);
        fixture.fail_over(before);
        ASSERT_EQ(fixture.confirmed.size(), 600u);
        fixture.service.value_bytes = 2048;
        fixture.service.txn_ops = 8;
        fixture.service.txn_fates.assign(fates.begin(), fates.end());
        fixture.registry.flush();
        fixture.timers.run_until(0.3);
        fixture.expect_all_confirmed_stored();
        for (int i = 0; i < 40; ++i)
            fixture.terminate("vm-" +
                              std::to_string(100007 + 11 * i));  // many machines fail during the split
        fixture.add("vm-200000");
        fixture.run_scenario(40);
        EXPECT_EQ(fixture.confirmed.size(), 561u);
        EXPECT_EQ(machines_in(fixture.service).size(), 561u);
        for (auto& [key, entry] : fixture.service.kv) EXPECT_LE(entry.value.dump().size(), 2048u) << key;
        // The checks above show that a leader would also find every machine after a failover during the
        // split.
        Fixture next(2, 8);
        next.fail_over(fixture);
        EXPECT_EQ(next.machines.size(), 561u);
    }
}
// The store's limits may be lowered without notice, to less than the settings state. Guards against
// rejections that repeat endlessly: rejected pages and transactions must become smaller.
TEST(MachineRegistry, WritesSmallerPagesAfterARejection) {
    struct Case {
        std::size_t value_bytes, txn_ops;
    };
    for (auto& c : {Case{16 * 1024, 2}, Case{2048, 24}, Case{600, 3}}) {
        Fixture fixture;
        for (int i = 0; i < 300; ++i) fixture.add("vm-" + std::to_string(100000 + i));
        fixture.timers.run_until(5);
        fixture.service.value_bytes = c.value_bytes;
        fixture.service.txn_ops = c.txn_ops;
        for (int i = 300; i < 420; ++i) fixture.add("vm-" + std::to_string(100000 + i));
        fixture.run_scenario(120);
        EXPECT_EQ(fixture.confirmed.size(), 420u) << c.value_bytes;
        EXPECT_EQ(machines_in(fixture.service).size(), 420u) << c.value_bytes;
        EXPECT_LE(fixture.client.rejections(), 24u) << c.value_bytes;
    }
}
// A page that can't be parsed may hold machines. Guards against deleting it as empty or overwriting it.
TEST(MachineRegistry, LeavesAPageThatItCannotReadAsItIs) {
    for (std::size_t bytes : {10u, 4000u}) {
        Fixture before;
        before.service.kv[kv::keys::machine_page(0)] = {json{{"later", std::string(bytes, 'x')}}, 2};
        Fixture fixture(2, 8);
        fixture.fail_over(before);
        fixture.add("vm-1");
        fixture.run_scenario(12);
        EXPECT_EQ(fixture.service.kv[kv::keys::machine_page(0)].version, 2u) << bytes;
        EXPECT_EQ(fixture.service.kv.size(), 2u) << bytes;
    }
}
TEST(MachineRegistry, MergesAMachineInTwoPagesAndKeepsItsMarkForDeletion) {
    for (bool first : {true, false}) {
        Fixture before;
        auto row = [](bool marked_for_deletion) {
            return json{{"machines", {{"vm-1", "10.1.0.1:9000", "g4", "z1", false, marked_for_deletion}}}};
        };
        before.service.kv[kv::keys::machine_page(0)] = {row(first), 2};
        before.service.kv[kv::keys::machine_page(7)] = {row(!first), 3};
        Fixture fixture;
        fixture.fail_over(before);
        ASSERT_EQ(fixture.machines.size(), 1u);
        EXPECT_TRUE(fixture.machines["vm-1"].marked_for_deletion);
        fixture.run_scenario(12);
        Fixture next;
        next.fail_over(fixture);
        EXPECT_TRUE(next.machines["vm-1"].marked_for_deletion);
        EXPECT_EQ(next.service.kv.size(), 1u);
        fixture.terminate("vm-1");
        fixture.run_scenario(12);
        EXPECT_TRUE(fixture.service.kv.empty());
    }
}

}  // namespace
}  // namespace coralhitch::machine_registry

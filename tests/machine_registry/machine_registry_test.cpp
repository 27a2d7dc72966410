// The machine registry: what is confirmed is stored, whatever becomes of the answers.
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
    for (auto& [k, v] : store.kv)
        if (k.starts_with(coralhitch::kv::keys::machine_pages))
            for (auto& row : v.value.value("machines", json::array())) out.insert(row[0].get<std::string>());
    return out;
}

struct Bench {
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
    explicit Bench(double safe_value_kb = 16, std::uint32_t txn_ops = 24)
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
                                  for (auto& [id, r] : records)
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
    // As a new leader does at failover.
    void fail_over(const Bench& before) {
        service.kv = before.service.kv;
        service.revision = before.service.revision;
        kv::ListResult listed;
        listed.status = kv::ReadStatus::ok;
        for (auto& [k, v] : service.kv) listed.entries.push_back({k, v.value.dump(), v.version, 0});
        for (auto& [id, r] : registry.load(listed)) {
            machines[id] = r;
            confirmed.insert(id);
        }
    }
    // Through everything that becomes due, with a check after each step.
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
    Bench b;
    for (int k = 0; k < 600; ++k) b.add("vm-" + std::to_string(100000 + k));
    b.timers.run_until(5);
    EXPECT_EQ(b.confirmed.size(), 600u);
    EXPECT_LE(b.service.changes, 10);
    for (auto& [k, v] : b.service.kv) EXPECT_LE(v.value.dump().size(), 16u * 1024);
    b.expect_all_confirmed_stored();
}
// A write whose answer was lost may be executed late: it must fail then, or it would take machines that were
// confirmed meanwhile out of their page, and the next leader would not ask for tasks on them.
TEST(MachineRegistry, LostAndLateWritesNeverHideAConfirmedMachine) {
    using F = FakeKeyValueStore::TxnFate;
    const std::vector<F> cases[] = {
        {},
        {F::answer_lost},
        {F::executed_late},
        {F::never_executed},
        {F::executed_late, F::executed_late, F::answer_lost},
        {F::answered, F::executed_late, F::answered, F::executed_late, F::never_executed}};
    for (auto& fates : cases) {
        Bench b;
        b.service.txn_fates.assign(fates.begin(), fates.end());
        for (int k = 0; k < 12; ++k) {
            b.add("vm-" + std::to_string(k));
            if (k % 4 == 3) b.terminate("vm-" + std::to_string(k - 2));
            for (double t = 0; t < 1.5; t += 0.1) {
                b.timers.run_until(b.timers.now() + 0.1);
                b.expect_all_confirmed_stored();
            }
        }
        for (int k = 0; k < 10; ++k) {
            b.registry.flush();
            b.timers.run_until(b.timers.now() + 5);
        }
        b.expect_all_confirmed_stored();
        EXPECT_EQ(b.confirmed.size(), b.machines.size());
        EXPECT_EQ(machines_in(b.service).size(), b.machines.size());
    }
}
TEST(MachineRegistry, WritesNothingWithoutAuthority) {
    Bench b;
    b.authority = false;
    b.add("vm-1");
    b.timers.run_until(5);
    EXPECT_TRUE(b.confirmed.empty());
    EXPECT_TRUE(b.service.kv.empty());
    b.authority = true;
    b.registry.flush();
    b.timers.run_until(6);
    EXPECT_EQ(b.confirmed.size(), 1u);
}
TEST(MachineRegistry, LoadsPagesAndTheLayoutWithAKeyForEachMachine) {
    Bench b;
    b.add("vm-1");
    b.timers.run_until(1);
    kv::ListResult listed;
    listed.status = kv::ReadStatus::ok;
    auto& page = *b.service.kv.begin();
    listed.entries = {{kv::keys::machines + "vm-0",
                       R"({"addr":"10.1.0.2:9","type":"g4","zone":"z1","spot":true,"condemned":true})", 3, 0},
                      {page.first, page.second.value.dump(), page.second.version, 0}};
    Bench next;
    next.service.kv = b.service.kv;
    next.service.kv[kv::keys::machines + "vm-0"] = {json::object(), 3};
    for (auto& [id, r] : next.registry.load(listed)) next.machines[id] = r;
    ASSERT_EQ(next.machines.size(), 2u);
    EXPECT_TRUE(next.machines["vm-0"].marked_for_deletion);
    next.registry.flush();
    next.timers.run_until(2);
    EXPECT_EQ(machines_in(next.service), (std::set<std::string>{"vm-0", "vm-1"}));
    EXPECT_FALSE(next.service.kv.contains(kv::keys::machines + "vm-0"));
}

// Pages filled under a larger limit are split, into more than one transaction takes. No machine may be out of
// the store at any moment, whatever becomes of the answers: the next leader would not ask for tasks on it.
TEST(MachineRegistry, SplitsLargePagesWithoutAMachineEverMissing) {
    using F = FakeKeyValueStore::TxnFate;
    const std::vector<F> cases[] = {
        {},
        {F::answer_lost, F::executed_late, F::never_executed, F::answered, F::executed_late, F::answer_lost}};
    for (auto& fates : cases) {
        Bench before;
        for (int k = 0; k < 600; ++k) before.add("vm-" + std::to_string(100000 + k));
        before.timers.run_until(5);
        Bench b(2, 8);
        b.fail_over(before);
        ASSERT_EQ(b.confirmed.size(), 600u);
        b.service.value_bytes = 2048;
        b.service.txn_ops = 8;
        b.service.txn_fates.assign(fates.begin(), fates.end());
        b.registry.flush();
        b.timers.run_until(0.3);
        b.expect_all_confirmed_stored();
        for (int k = 0; k < 40; ++k)
            b.terminate("vm-" + std::to_string(100007 + 11 * k));  // a wave, right then
        b.add("vm-200000");
        b.run_scenario(40);
        EXPECT_EQ(b.confirmed.size(), 561u);
        EXPECT_EQ(machines_in(b.service).size(), 561u);
        for (auto& [k, v] : b.service.kv) EXPECT_LE(v.value.dump().size(), 2048u) << k;
        // A leader that fails over in the middle of it finds every machine, too: the checks above stand for
        // it.
        Bench next(2, 8);
        next.fail_over(b);
        EXPECT_EQ(next.machines.size(), 561u);
    }
}
// The limits may fall without notice, and lower than the settings say: what is refused is made smaller, and
// refusals do not repeat for ever.
TEST(MachineRegistry, WritesSmallerPagesAfterARejection) {
    struct Case {
        std::size_t value_bytes, txn_ops;
    };
    for (auto& c : {Case{16 * 1024, 2}, Case{2048, 24}, Case{600, 3}}) {
        Bench b;
        for (int k = 0; k < 300; ++k) b.add("vm-" + std::to_string(100000 + k));
        b.timers.run_until(5);
        b.service.value_bytes = c.value_bytes;
        b.service.txn_ops = c.txn_ops;
        for (int k = 300; k < 420; ++k) b.add("vm-" + std::to_string(100000 + k));
        b.run_scenario(120);
        EXPECT_EQ(b.confirmed.size(), 420u) << c.value_bytes;
        EXPECT_EQ(machines_in(b.service).size(), 420u) << c.value_bytes;
        EXPECT_LE(b.client.rejections(), 24u) << c.value_bytes;
    }
}
// A page that can't be read may hold machines all the same: it is neither dropped as empty nor filled anew.
TEST(MachineRegistry, LeavesAPageThatItCannotReadAsItIs) {
    for (std::size_t bytes : {10u, 4000u}) {
        Bench before;
        before.service.kv[kv::keys::machine_page(0)] = {json{{"later", std::string(bytes, 'x')}}, 2};
        Bench b(2, 8);
        b.fail_over(before);
        b.add("vm-1");
        b.run_scenario(12);
        EXPECT_EQ(b.service.kv[kv::keys::machine_page(0)].version, 2u) << bytes;
        EXPECT_EQ(b.service.kv.size(), 2u) << bytes;
    }
}
TEST(MachineRegistry, MergesAMachineInTwoPagesAndKeepsItsMarkForDeletion) {
    for (bool first : {true, false}) {
        Bench before;
        auto row = [](bool marked_for_deletion) {
            return json{{"machines", {{"vm-1", "10.1.0.1:9000", "g4", "z1", false, marked_for_deletion}}}};
        };
        before.service.kv[kv::keys::machine_page(0)] = {row(first), 2};
        before.service.kv[kv::keys::machine_page(7)] = {row(!first), 3};
        Bench b;
        b.fail_over(before);
        ASSERT_EQ(b.machines.size(), 1u);
        EXPECT_TRUE(b.machines["vm-1"].marked_for_deletion);
        b.run_scenario(12);
        Bench next;
        next.fail_over(b);
        EXPECT_TRUE(next.machines["vm-1"].marked_for_deletion);
        EXPECT_EQ(next.service.kv.size(), 1u);
        b.terminate("vm-1");
        b.run_scenario(12);
        EXPECT_TRUE(b.service.kv.empty());
    }
}

}  // namespace
}  // namespace coralhitch::machine_registry

// Tests of StaleKeyRemover: keys are removed a few at a time by fenced transactions, and again until the
// removal has been committed.
#include "leader/stale_key_remover.hpp"

#include <gtest/gtest.h>

#include "leader/leading_fixture.hpp"

namespace coralhitch::leader {
namespace {

struct Bench : LeadingFixture {
    explicit Bench(std::size_t count) {
        for (std::size_t index = 0; index < count; ++index) {
            auto key = kv::keys::progress_of("j-1", std::to_string(index));
            service.kv[key] = {nlohmann::json::array(), ++service.revision};
            remover.add(key);
        }
    }
    void remove_some() {
        remover.remove_some();
        wait(5);
    }
    // Returns the number of keys that have not been removed.
    std::size_t left() {
        std::size_t count = 0;
        for (auto& [key, stored] : service.kv) count += key.starts_with(kv::keys::progress);
        return count;
    }
    StaleKeyRemover remover{*context, kv};
};

TEST(StaleKeyRemover, RemovesNoMoreAtOnceThanATransactionMayHold) {
    Bench bench(30);
    int transactions = bench.service.requests["txn"];
    bench.remover.remove_some();
    bench.remover.remove_some();
    bench.wait(5);
    EXPECT_EQ(bench.service.requests["txn"], transactions + 1) << "only one transaction at a time";
    EXPECT_EQ(bench.left(), 30 - bench.settings.txn_ops);
    bench.remove_some();
    EXPECT_EQ(bench.left(), 0u);
}

TEST(StaleKeyRemover, RemovesNothingWithoutAuthority) {
    Bench bench(1);
    bench.lose_authority();
    bench.remove_some();
    EXPECT_EQ(bench.left(), 1u);
}

TEST(StaleKeyRemover, RemovesNothingAfterALaterLeaderWasElected) {
    Bench bench(1);
    bench.service.kv[kv::keys::leader].version = ++bench.service.revision;
    bench.remove_some();
    EXPECT_EQ(bench.left(), 1u);
}

TEST(StaleKeyRemover, RetriesARemovalThatWasNotConfirmed) {
    Bench bench(1);
    bench.service.txn_fates = {FakeKeyValueStore::TxnFate::never_executed};
    bench.remove_some();
    bench.remove_some();
    EXPECT_EQ(bench.left(), 0u);
}

}  // namespace
}  // namespace coralhitch::leader

// Tests of StaleKeyRemover: keys are removed a few at a time by fenced transactions, and again until the
// removal has been committed.
#include "leader/stale_key_remover.hpp"

#include <gtest/gtest.h>

#include "leader/leading_fixture.hpp"

namespace coralhitch::leader {
namespace {

struct StaleKeyRemoverFixture : LeadingFixture {
    explicit StaleKeyRemoverFixture(std::size_t count) {
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
    StaleKeyRemoverFixture fixture(30);
    int transactions = fixture.service.requests["txn"];
    fixture.remover.remove_some();
    fixture.remover.remove_some();
    fixture.wait(5);
    EXPECT_EQ(fixture.service.requests["txn"], transactions + 1) << "only one transaction at a time";
    EXPECT_EQ(fixture.left(), 30 - fixture.settings.txn_ops);
    fixture.remove_some();
    EXPECT_EQ(fixture.left(), 0u);
}

TEST(StaleKeyRemover, RemovesNothingWithoutAuthority) {
    StaleKeyRemoverFixture fixture(1);
    fixture.lose_authority();
    fixture.remove_some();
    EXPECT_EQ(fixture.left(), 1u);
}

TEST(StaleKeyRemover, RemovesNothingAfterALaterLeaderWasElected) {
    StaleKeyRemoverFixture fixture(1);
    fixture.service.kv[kv::keys::leader].version = ++fixture.service.revision;
    fixture.remove_some();
    EXPECT_EQ(fixture.left(), 1u);
}

TEST(StaleKeyRemover, RetriesARemovalThatWasNotConfirmed) {
    StaleKeyRemoverFixture fixture(1);
    fixture.service.txn_fates = {FakeKeyValueStore::TxnFate::never_executed};
    fixture.remove_some();
    fixture.remove_some();
    EXPECT_EQ(fixture.left(), 0u);
}

}  // namespace
}  // namespace coralhitch::leader

// Numbers of attempts: never one of another leadership, however many a leadership starts.
#include "leader/attempt_numbers.hpp"

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "kv/keys.hpp"
#include "protocol/kv_api.hpp"
#include "support/fake_key_value_store.hpp"
#include "support/test_settings.hpp"

namespace coralhitch::leader {
namespace {

struct Bench {
    Bench() {
        spdlog::set_level(spdlog::level::off);
        claim();
    }
    // Another leadership: its key is written, and its version is the revision of that.
    std::uint64_t claim() {
        service.kv[kv::keys::leader] = {nlohmann::json::object(), ++service.revision};
        return version = service.revision;
    }
    std::unique_ptr<AttemptNumbers> leadership() {
        return std::make_unique<AttemptNumbers>(client, version, [of = version, this] {
            protocol::Txn t;
            t.conditions.push_back({kv::keys::leader, of});
            return authority ? std::optional(t) : std::nullopt;
        });
    }
    FakeTimers timers;
    FakeKeyValueStore service{timers};
    config::Settings settings = settings_of({.heartbeat_interval_s = 3});
    kv::KvClient client{timers, service, settings};
    std::uint64_t version = 0;
    bool authority = true;
};

// Numbers, each above the last, and how many of them there were.
struct Series {
    std::uint64_t first = 0, last = 0, count = 0, missed = 0;
    bool grew = true;
    void take(AttemptNumbers& numbers) {
        auto n = numbers.next();
        if (!n) {
            ++missed;
            return;
        }
        if (count++ == 0) first = *n;
        grew &= *n > last;
        last = *n;
    }
};

// The key-value store sees no other change in that hour, so the next leadership's version is as low as it can
// be. The load is 8,000 machines at the target's peak, 0.2033 starts a machine and second.
TEST(AttemptNumbers, AnHourAtThePeakOf8000MachinesStaysBelowTheNextLeadership) {
    Bench bench;
    auto numbers = bench.leadership();
    Series run;
    constexpr int starts_per_s = 1626, seconds = 3600;
    for (int s = 1; s <= seconds; ++s) {
        for (int k = 0; k < starts_per_s; ++k) run.take(*numbers);
        numbers->extend();
        bench.timers.run_until(s);
    }
    EXPECT_EQ(run.missed, 0u);
    EXPECT_EQ(run.count, 5853600u);
    EXPECT_TRUE(run.grew);
    EXPECT_LE(bench.service.changes, 12);  // changes that it cost: one each half million
    bench.claim();
    auto next = bench.leadership()->next();
    ASSERT_TRUE(next);
    EXPECT_GT(*next, run.last);
}

TEST(AttemptNumbers, TheFirstAreThoseOfTheVersionAsEver) {
    Bench bench;
    auto numbers = bench.leadership();
    for (std::uint64_t k = 1; k <= 100; ++k) EXPECT_EQ(numbers->next(), (bench.version << 20) + k);
    numbers->extend();
    bench.timers.run_until(1);
    EXPECT_EQ(bench.service.changes, 0);  // none is asked for before it is needed
}

// Without an answer nothing is known of the revision; a number beyond might be another leadership's.
TEST(AttemptNumbers, StopsRatherThanUseAnotherLeadershipsNumbers) {
    struct Case {
        const char* name;
        std::function<void(Bench&)> trouble;
    };
    const Case cases[] = {
        {"no authority", [](Bench& b) { b.authority = false; }},
        {"no answer",
         [](Bench& b) { b.service.txn_fates.assign(1000, FakeKeyValueStore::TxnFate::never_executed); }},
        {"another leads", [](Bench& b) { b.claim(); }},
    };
    for (auto& c : cases) {
        SCOPED_TRACE(c.name);
        Bench bench;
        auto numbers = bench.leadership();
        auto bound = (bench.version + 1) << 20;
        c.trouble(bench);
        Series run;
        for (int s = 1; s <= 1400; ++s) {
            for (int k = 0; k < 1000; ++k) run.take(*numbers);
            numbers->extend();
            bench.timers.run_until(s);
        }
        EXPECT_GT(run.missed, 0u);
        EXPECT_LT(run.last, bound);
    }
}

TEST(AttemptNumbers, GoesOnWhenTheAnswerComesAtLast) {
    Bench bench;
    auto numbers = bench.leadership();
    bench.authority = false;
    Series run;
    for (int k = 0; k < 1100000; ++k) run.take(*numbers);
    EXPECT_GT(run.missed, 0u);
    bench.authority = true;
    numbers->extend();
    bench.timers.run_until(10);
    auto before = run.last;
    run.take(*numbers);
    EXPECT_EQ(run.last, before + 1);
}

}  // namespace
}  // namespace coralhitch::leader

// AttemptNumbers: a leadership never returns a number that another leadership may use, however many tasks it
// starts. Otherwise two attempts of a task could have the same number.
#include "leader/attempt_numbers.hpp"

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "kv/keys.hpp"
#include "protocol/kv_api.hpp"
#include "support/fake_key_value_store.hpp"
#include "support/test_settings.hpp"

namespace coralhitch::leader {
namespace {

struct AttemptNumbersFixture {
    AttemptNumbersFixture() {
        spdlog::set_level(spdlog::level::off);
        claim();
    }
    // Begins another leadership: writes the leader key, and returns the revision of that write as its
    // version.
    std::uint64_t claim() {
        service.kv[kv::keys::leader] = {nlohmann::json::object(), ++service.revision};
        return version = service.revision;
    }
    std::unique_ptr<AttemptNumbers> leadership() {
        return std::make_unique<AttemptNumbers>(client, protocol::LeaderVersion{version},
                                                [of = version, this] {
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

// Takes numbers and records the first, the last, how many there were, how often there was none, and whether
// they were strictly increasing.
struct Series {
    std::uint64_t first = 0, last = 0, count = 0, missed = 0;
    bool increasing = true;
    void take(AttemptNumbers& numbers) {
        auto number = numbers.next();
        if (!number) {
            ++missed;
            return;
        }
        if (count++ == 0) first = number->value();
        increasing &= number->value() > last;
        last = number->value();
    }
};

// The key-value store gets no other write in that hour, so the version of the next leadership is as low as
// possible. The load is that of 8,000 machines at the peak of the target, 0.2033 starts per machine and
// second.
TEST(AttemptNumbers, AnHourAtThePeakOf8000MachinesStaysBelowTheNextLeadership) {
    AttemptNumbersFixture fixture;
    auto numbers = fixture.leadership();
    Series run;
    constexpr int starts_per_s = 1626, seconds = 3600;
    for (int s = 1; s <= seconds; ++s) {
        for (int k = 0; k < starts_per_s; ++k) run.take(*numbers);
        numbers->extend();
        fixture.timers.run_until(s);
    }
    EXPECT_EQ(run.missed, 0u);
    EXPECT_EQ(run.count, 5853600u);
    EXPECT_TRUE(run.increasing);
    EXPECT_LE(fixture.service.changes, 12);  // one reservation per half million numbers
    fixture.claim();
    auto next = fixture.leadership()->next();
    ASSERT_TRUE(next);
    EXPECT_GT(next->value(), run.last);
}

TEST(AttemptNumbers, TheFirstNumbersFollowFromTheVersion) {
    AttemptNumbersFixture fixture;
    auto numbers = fixture.leadership();
    for (std::uint64_t k = 1; k <= 100; ++k)
        EXPECT_EQ(numbers->next(), protocol::AttemptNumber{(fixture.version << 20) + k});
    numbers->extend();
    fixture.timers.run_until(1);
    EXPECT_EQ(fixture.service.changes, 0);  // no reservation before one is needed
}

// Without a response to the reservation the current revision is unknown, and a number beyond the bound could
// belong to another leadership.
TEST(AttemptNumbers, StopsRatherThanUseAnotherLeadershipsNumbers) {
    struct Case {
        const char* name;
        std::function<void(AttemptNumbersFixture&)> trouble;
    };
    const Case cases[] = {
        {"no authority", [](AttemptNumbersFixture& b) { b.authority = false; }},
        {"no answer",
         [](AttemptNumbersFixture& b) {
             b.service.txn_fates.assign(1000, FakeKeyValueStore::TxnFate::never_executed);
         }},
        {"another leads", [](AttemptNumbersFixture& b) { b.claim(); }},
    };
    for (auto& c : cases) {
        SCOPED_TRACE(c.name);
        AttemptNumbersFixture fixture;
        auto numbers = fixture.leadership();
        auto bound = (fixture.version + 1) << 20;
        c.trouble(fixture);
        Series run;
        for (int s = 1; s <= 1400; ++s) {
            for (int k = 0; k < 1000; ++k) run.take(*numbers);
            numbers->extend();
            fixture.timers.run_until(s);
        }
        EXPECT_GT(run.missed, 0u);
        EXPECT_LT(run.last, bound);
    }
}

TEST(AttemptNumbers, ContinuesOnceAReservationSucceeds) {
    AttemptNumbersFixture fixture;
    auto numbers = fixture.leadership();
    fixture.authority = false;
    Series run;
    for (int k = 0; k < 1100000; ++k) run.take(*numbers);
    EXPECT_GT(run.missed, 0u);
    fixture.authority = true;
    numbers->extend();
    fixture.timers.run_until(10);
    auto before = run.last;
    run.take(*numbers);
    EXPECT_EQ(run.last, before + 1);
}

}  // namespace
}  // namespace coralhitch::leader

// Tests the estimate of whether a silent machine returns, also when thousands of silences end at once.
#include "membership/heartbeat_history.hpp"

#include <gtest/gtest.h>

#include <random>
#include <vector>

namespace coralhitch::membership {
namespace {

constexpr double retention_s = 248;
constexpr std::size_t machine_count = 8000;

// 500 machines returned after a silence of 9 s. The loss of a third of 8,000 machines, or of all of them,
// must not displace these observations within the retention period.
TEST(HeartbeatHistory, KeepsReturnsWhen8000MachinesAreLost) {
    for (std::size_t lost : {machine_count / 3, machine_count}) {
        SCOPED_TRACE(lost);
        HeartbeatHistory history(retention_s);
        for (int k = 0; k < 500; ++k) history.record_return(9, 10);
        double before = history.return_probability(8, 3);
        EXPECT_NEAR(before, 500.0 / 503, 1e-9);
        for (std::size_t k = 0; k < lost; ++k)
            history.record_eviction(8, 50);  // says nothing of 8 s and more
        EXPECT_NEAR(history.return_probability(8, 3), before, 1e-9);
    }
}

TEST(HeartbeatHistory, DropsExpiredSilences) {
    HeartbeatHistory history(retention_s);
    for (int k = 0; k < 500; ++k) history.record_return(9, 10);
    history.drop_expired(10 + retention_s);
    EXPECT_GT(history.return_probability(8, 3), 0.9);
    history.drop_expired(10.1 + retention_s);
    EXPECT_EQ(history.return_probability(8, 3), 0);
}

// The result computed from sorted lengths must equal that of an iteration over all silences.
TEST(HeartbeatHistory, EqualsCountOverAllSilences) {
    struct Silence {
        double at, length;
        bool returned;
    };
    std::mt19937_64 random(1);
    std::uniform_int_distribution<int> tenths(0, 400), yes(0, 1);
    HeartbeatHistory history(retention_s);
    std::vector<Silence> all;
    for (double now = 0; now < 600; now += 0.25) {
        Silence s{now, tenths(random) / 10.0, yes(random) == 1};
        all.push_back(s);
        s.returned ? history.record_return(s.length, now) : history.record_eviction(s.length, now);
        double silent_s = tenths(random) / 10.0, more_s = 3;
        double longer = 3, returned_in_time = 0;
        for (auto& [at, length, returned] : all) {
            if (now - at > retention_s || length < silent_s) continue;
            if (!returned && length < silent_s + more_s) continue;
            ++longer;
            returned_in_time += returned && length <= silent_s + more_s;
        }
        ASSERT_EQ(history.return_probability(silent_s, more_s), returned_in_time / longer) << now;
    }
}

// The number of silences is bounded, so that a fleet with frequent silences cannot exhaust the memory.
TEST(HeartbeatHistory, DropsOldestAboveMaximum) {
    HeartbeatHistory history(retention_s);
    history.record_return(9, 10);
    for (std::size_t k = 0; k < HeartbeatHistory::max_silences; ++k) history.record_eviction(8, 10);
    EXPECT_EQ(history.return_probability(8, 3), 0);
}

}  // namespace
}  // namespace coralhitch::membership

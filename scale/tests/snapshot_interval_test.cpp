#include "scale/report/snapshot_interval.hpp"

#include <gtest/gtest.h>

namespace coralhitch::scale {
namespace {
using nlohmann::json;

const json before{{"t", 10.0}, {"counts", {{"a", 4}, {"b", 7}}}};
const json after{{"t", 14.0}, {"counts", {{"a", 10}, {"b", 2}, {"text", "no number"}}}};

TEST(SnapshotInterval, CountsGrowthAndRates) {
    SnapshotInterval interval(before, after);
    EXPECT_EQ(interval.seconds(), 4);
    EXPECT_EQ(interval.growth("/counts/a"), 6);
    EXPECT_EQ(interval.rate("/counts/a"), 1.5);
    EXPECT_EQ(interval.growth("/counts/missing"), 0);
}
TEST(SnapshotInterval, TreatsADecreasedCounterAsRestartedFromZero) {
    EXPECT_EQ(SnapshotInterval(before, after).growth("/counts/b"), 2);
}
TEST(SnapshotInterval, ReturnsRatesOfAllNumbers) {
    SnapshotInterval interval(before, after);
    EXPECT_EQ(interval.rates("/counts"), (json{{"a", 1.5}, {"b", 0.5}}));
    EXPECT_EQ(interval.rates("/missing"), json::object());
}

}  // namespace
}  // namespace coralhitch::scale

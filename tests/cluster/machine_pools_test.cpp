// Tests which pools exist, and that their indexes stay valid.
#include "cluster/machine_pools.hpp"

#include <gtest/gtest.h>

#include <limits>

namespace coralhitch::cluster {
namespace {

TEST(MachinePools, HasAnOnDemandAndASpotPoolForEachZoneOfAType) {
    MachinePools pools;
    pools.set_types({{"g4", {16, 4, 64}, 100, 1, 10, 4, 30, {"a", "b"}}});
    EXPECT_EQ(pools.pools().size(), 4u);
    EXPECT_EQ(pools.zone_count(), 2u);
    auto spot_in_b = pools.find_or_add("g4", "b", true);
    EXPECT_EQ(pools.pools()[spot_in_b].zone, "b");
    EXPECT_TRUE(pools.pools()[spot_in_b].spot);
    EXPECT_EQ(pools.pools()[spot_in_b].total.gpus, 4);
    EXPECT_EQ(pools.cache_gb("g4"), 100);
}

// A machine may become known before the list of machine types does.
TEST(MachinePools, KeepsIndexesWhenTypesBecomeKnown) {
    MachinePools pools;
    auto early = pools.find_or_add("g4", "a", false);
    EXPECT_EQ(pools.pools()[early].total.gpus, 0);
    EXPECT_EQ(pools.cache_gb("g4"), std::numeric_limits<double>::max());
    pools.set_types({{"g4", {16, 4, 64}, 100, 1, 10, 4, 30, {"a"}}});
    EXPECT_EQ(pools.find_or_add("g4", "a", false), early);
    EXPECT_EQ(pools.pools()[early].total.gpus, 4);
    EXPECT_EQ(pools.pools().size(), 2u);
}

}  // namespace
}  // namespace coralhitch::cluster

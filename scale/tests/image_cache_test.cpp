#include "scale/workers/image_cache.hpp"

#include <gtest/gtest.h>

namespace coralhitch::scale {
namespace {

TEST(ImageCache, ReturnsTheRemainingTimeOfAFetchInProgress) {
    ImageCache cache(10);
    cache.fetch("a", 4, 100, 8);
    EXPECT_EQ(cache.use("a", 102), 6);
    EXPECT_EQ(cache.use("a", 109), 0);
}
TEST(ImageCache, EvictsTheLeastRecentlyUsedImage) {
    ImageCache cache(10);
    cache.fetch("a", 4, 0, 1);
    cache.fetch("b", 4, 1, 1);
    cache.use("a", 2);
    cache.fetch("c", 4, 3, 1);
    EXPECT_TRUE(cache.has("a"));
    EXPECT_FALSE(cache.has("b"));
    EXPECT_TRUE(cache.has("c"));
}
TEST(ImageCache, KeepsTheLastUsedImageEvenIfItIsTooLarge) {
    ImageCache cache(10);
    cache.fetch("a", 4, 0, 1);
    cache.fetch("b", 11, 1, 1);
    EXPECT_FALSE(cache.has("a"));
    EXPECT_TRUE(cache.has("b"));
}

}  // namespace
}  // namespace coralhitch::scale

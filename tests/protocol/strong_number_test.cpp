#include "protocol/strong_number.hpp"

#include <gtest/gtest.h>
#include <spdlog/fmt/fmt.h>

#include <limits>
#include <type_traits>
#include <unordered_set>

#include "protocol/peer_messages.hpp"

namespace coralhitch::protocol {
namespace {

using Apples = StrongNumber<struct ApplesTag>;
using Pears = StrongNumber<struct PearsTag>;

constexpr std::uint64_t edge_values[] = {
    0,     1,     127,      128,        255,        256,
    65535, 65536, 1u << 31, 4294967295, 4294967296, std::numeric_limits<std::uint64_t>::max()};

TEST(StrongNumber, DoesNotConvertToOrFromOtherNumbers) {
    static_assert(!std::is_convertible_v<std::uint64_t, Apples>);
    static_assert(!std::is_convertible_v<Apples, std::uint64_t>);
    static_assert(!std::is_convertible_v<Apples, bool>);
    static_assert(!std::is_constructible_v<Apples, Pears>);
    static_assert(!std::is_assignable_v<Apples&, Pears>);
    static_assert(!std::equality_comparable_with<Apples, Pears>);
    static_assert(!std::equality_comparable_with<Apples, std::uint64_t>);
    static_assert(sizeof(Apples) == sizeof(std::uint64_t) && std::is_trivially_copyable_v<Apples>);
}

TEST(StrongNumber, OrdersLikeTheInteger) {
    static_assert(Apples{1} < Apples{2} && Apples{2} == Apples{2} && Apples{2}.next() == Apples{3});
    for (auto left : edge_values)
        for (auto right : edge_values) {
            EXPECT_EQ(Apples{left} <=> Apples{right}, left <=> right);
            EXPECT_EQ(Apples{left} == Apples{right}, left == right);
        }
}

TEST(StrongNumber, IsNoneUntilSet) {
    EXPECT_EQ(Apples{}, Apples::none());
    EXPECT_EQ(Apples::none().value(), 0u);
    EXPECT_FALSE(Apples::none().is_set());
    EXPECT_TRUE(Apples::none().next().is_set());
}

TEST(StrongNumber, PacksLikeTheInteger) {
    for (auto value : edge_values) {
        EXPECT_EQ(pack_peer(Apples{value}), pack_peer(value));
        EXPECT_EQ(unpack_peer<Apples>(pack_peer(value)), Apples{value});
    }
    EXPECT_FALSE(unpack_peer<Apples>(pack_peer(std::string("7"))));
    EXPECT_FALSE(unpack_peer<Apples>(pack_peer(-7)));
}

TEST(StrongNumber, PrintsTheSameDigits) {
    for (auto value : edge_values) {
        EXPECT_EQ(fmt::format("{}", Apples{value}), std::to_string(value));
        EXPECT_EQ(testing::PrintToString(Apples{value}), std::to_string(value));
    }
    EXPECT_EQ(fmt::format("{:>4}", Apples{7}), "   7");
}

TEST(StrongNumber, CanBeAKeyOfUnorderedContainers) {
    std::unordered_set<Apples> numbers{Apples{1}, Apples{2}, Apples{1}};
    EXPECT_EQ(numbers.size(), 2u);
}

}  // namespace
}  // namespace coralhitch::protocol

#include "protocol/strong_number.hpp"

#include <gtest/gtest.h>
#include <spdlog/fmt/fmt.h>

#include <limits>
#include <type_traits>
#include <unordered_set>

#include "protocol/peer_messages.hpp"

namespace coralhitch::protocol {
namespace {

using FirstNumber = StrongNumber<struct FirstTag>;
using SecondNumber = StrongNumber<struct SecondTag>;

constexpr std::uint64_t edge_values[] = {
    0,     1,     127,      128,        255,        256,
    65535, 65536, 1u << 31, 4294967295, 4294967296, std::numeric_limits<std::uint64_t>::max()};

TEST(StrongNumber, DoesNotConvertToOrFromOtherNumbers) {
    static_assert(!std::is_convertible_v<std::uint64_t, FirstNumber>);
    static_assert(!std::is_convertible_v<FirstNumber, std::uint64_t>);
    static_assert(!std::is_convertible_v<FirstNumber, bool>);
    static_assert(!std::is_constructible_v<FirstNumber, SecondNumber>);
    static_assert(!std::is_assignable_v<FirstNumber&, SecondNumber>);
    static_assert(!std::equality_comparable_with<FirstNumber, SecondNumber>);
    static_assert(!std::equality_comparable_with<FirstNumber, std::uint64_t>);
    static_assert(sizeof(FirstNumber) == sizeof(std::uint64_t) && std::is_trivially_copyable_v<FirstNumber>);
}

TEST(StrongNumber, OrdersLikeTheInteger) {
    static_assert(FirstNumber{1} < FirstNumber{2} && FirstNumber{2} == FirstNumber{2} &&
                  FirstNumber{2}.next() == FirstNumber{3});
    for (auto left : edge_values)
        for (auto right : edge_values) {
            EXPECT_EQ(FirstNumber{left} <=> FirstNumber{right}, left <=> right);
            EXPECT_EQ(FirstNumber{left} == FirstNumber{right}, left == right);
        }
}

TEST(StrongNumber, IsNoneUntilSet) {
    EXPECT_EQ(FirstNumber{}, FirstNumber::none());
    EXPECT_EQ(FirstNumber::none().value(), 0u);
    EXPECT_FALSE(FirstNumber::none().is_set());
    EXPECT_TRUE(FirstNumber::none().next().is_set());
}

TEST(StrongNumber, PacksLikeTheInteger) {
    for (auto value : edge_values) {
        EXPECT_EQ(pack_peer(FirstNumber{value}), pack_peer(value));
        EXPECT_EQ(unpack_peer<FirstNumber>(pack_peer(value)), FirstNumber{value});
    }
    EXPECT_FALSE(unpack_peer<FirstNumber>(pack_peer(std::string("7"))));
    EXPECT_FALSE(unpack_peer<FirstNumber>(pack_peer(-7)));
}

TEST(StrongNumber, PrintsTheSameDigits) {
    for (auto value : edge_values) {
        EXPECT_EQ(fmt::format("{}", FirstNumber{value}), std::to_string(value));
        EXPECT_EQ(testing::PrintToString(FirstNumber{value}), std::to_string(value));
    }
    EXPECT_EQ(fmt::format("{:>4}", FirstNumber{7}), "   7");
}

TEST(StrongNumber, CanBeAKeyOfUnorderedContainers) {
    std::unordered_set<FirstNumber> numbers{FirstNumber{1}, FirstNumber{2}, FirstNumber{1}};
    EXPECT_EQ(numbers.size(), 2u);
}

}  // namespace
}  // namespace coralhitch::protocol

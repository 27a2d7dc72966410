// Tests until when the lease of a delegated machine can have been renewed.
#include "relay/delegation_table.hpp"

#include <gtest/gtest.h>

namespace coralhitch::relay {
namespace {

TEST(DelegationTable, RenewalBoundCoversEveryDelegationInEffect) {
    DelegationTable table;
    auto none = [](const std::string&, double) { ADD_FAILURE(); };
    ASSERT_TRUE(table.accept_message("b", protocol::Incarnation{1}, 1, 0, none));
    table.delegate("vm-1", "b");
    EXPECT_TRUE(table.extend("b", 100).empty());
    EXPECT_EQ(table.renewal_bound("vm-1", 50), 100);
    EXPECT_EQ(table.renewal_bound("vm-2", 50), 50);
    // The relay may still answer a revoked machine until the last expiry, but not until a later one: each
    // answer that extends the delegation names the revoked machine until the relay acknowledges one of them.
    EXPECT_EQ(table.revoke("vm-1"), 100);
    EXPECT_EQ(table.revoke("vm-1"), std::nullopt);
    EXPECT_FALSE(table.delegated_to("vm-1", "b"));
    EXPECT_FALSE(table.accept_message("b", protocol::Incarnation{1}, 1, 1, none)) << "a delayed message";
    ASSERT_TRUE(table.accept_message("b", protocol::Incarnation{1}, 2, 1, none));
    EXPECT_EQ(table.extend("b", 105), std::vector<std::string>{"vm-1"});
    ASSERT_TRUE(table.accept_message("b", protocol::Incarnation{1}, 3, 1, none))
        << "the answer to the second message was lost";
    EXPECT_EQ(table.extend("b", 106), std::vector<std::string>{"vm-1"});
    ASSERT_TRUE(table.accept_message("b", protocol::Incarnation{1}, 4, 3, none));
    EXPECT_TRUE(table.extend("b", 107).empty());
    // If a relay is restarted, its machines are returned with the bound of its last delegation.
    table.delegate("vm-3", "b");
    std::vector<std::pair<std::string, double>> returned;
    ASSERT_TRUE(table.accept_message("b", protocol::Incarnation{2}, 1, 0,
                                     [&](auto& id, double until) { returned.emplace_back(id, until); }));
    EXPECT_EQ(returned, (std::vector<std::pair<std::string, double>>{{"vm-3", 107}}));
    EXPECT_EQ(table.count("b"), 0u);
    // A machine that moves from one relay to another is revoked from the first.
    table.delegate("vm-4", "b");
    ASSERT_TRUE(table.accept_message("c", protocol::Incarnation{1}, 1, 0, none));
    table.delegate("vm-4", "c");
    EXPECT_EQ(table.extend("b", 108), std::vector<std::string>{"vm-4"});
    EXPECT_EQ(table.count("b"), 0u);
    EXPECT_EQ(table.count("c"), 1u);
    EXPECT_EQ(table.least_loaded(100, 5), "b");
    EXPECT_EQ(table.least_loaded(200, 5), std::nullopt) << "all delegations have expired";
}

}  // namespace
}  // namespace coralhitch::relay

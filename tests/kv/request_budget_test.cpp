#include "kv/request_budget.hpp"

#include <gtest/gtest.h>

namespace coralhitch::kv {
namespace {

config::Settings settings_for(std::uint32_t nodes) {
    config::Settings s;
    s.nodes = nodes;
    s.kv_rps = 200;
    s.kv_write_rps = 100;
    return s;
}

TEST(RequestBudget, SharesKeepWithinTheStoresLimits) {
    for (std::uint32_t nodes : {1u, 3u, 7u}) {
        int requests = 0, changes = 0;
        for (std::uint32_t k = 0; k < nodes; ++k) {
            auto settings = settings_for(nodes);
            RequestBudget budget(settings);
            budget.set_leading(k == 0);
            budget.take(0, {1, false});  // a new budget holds one token and fills up from now on
            EXPECT_GT(budget.wait_s(0, {1, false}), 0) << nodes;
            for (; budget.has(10, {}); ++requests) budget.take(10, {});
            for (; budget.seconds_for_changes(20, 1) == 0; ++changes) budget.take(20, {1, false});
        }
        EXPECT_LE(requests, 200) << nodes;
        EXPECT_GE(requests, 160) << nodes;
        EXPECT_LE(changes, 100) << nodes;
        EXPECT_GE(changes, 80) << nodes;
    }
}
TEST(RequestBudget, LeavesRequestsBesideUserReads) {
    auto settings = settings_for(1);
    RequestBudget budget(settings);
    budget.take(0, {1, true});
    EXPECT_FALSE(budget.short_of_changes(10));
    int reads = 0;
    for (; budget.has(10, {0, true}); ++reads) budget.take(10, {0, true});
    EXPECT_NEAR(reads, 90, 1);
    EXPECT_TRUE(budget.has(10, {}));
    budget.take(10, {60, false});
    EXPECT_TRUE(budget.short_of_changes(10));
}

}  // namespace
}  // namespace coralhitch::kv

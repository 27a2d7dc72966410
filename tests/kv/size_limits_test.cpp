#include "kv/size_limits.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "protocol/kv_api.hpp"

namespace coralhitch::kv {
namespace {

// Rejections first reduce the number of changes, and once it is at its minimum, the size of values.
TEST(SizeLimits, ShrinkWithEachRejectionToAMinimum) {
    config::Settings settings;
    settings.txn_ops = 24;
    settings.safe_value_kb = 16;
    struct Case {
        std::vector<std::size_t> changes;         // number of changes in each rejected transaction
        std::size_t bytes, txn_ops, value_bytes;  // size of each value, then the expected limits
    };
    const Case cases[] = {{{}, 0, 24, 16384},
                          {{24}, 100, 12, 16384},
                          {{24, 12, 6, 3}, 100, 2, 16384},
                          {{24, 12, 6, 3, 2}, 8000, 24, 6000},
                          {{1}, 20000, 24, 15000},
                          {{1, 1, 1}, 300, 24, 256}};
    for (auto& c : cases) {
        SizeLimits limits(settings);
        for (auto n : c.changes) {
            protocol::Txn t;
            for (std::size_t k = 0; k < n; ++k) t.changes.push_back({"k", std::string(c.bytes, 'x'), 0});
            limits.shrink_after_rejection(t);
        }
        EXPECT_EQ(limits.txn_ops(), c.txn_ops) << c.bytes;
        EXPECT_EQ(limits.value_bytes(), c.value_bytes) << c.bytes;
    }
}

}  // namespace
}  // namespace coralhitch::kv

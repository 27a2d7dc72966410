#include "scale/report/run_failures.hpp"

#include <gtest/gtest.h>

namespace coralhitch::scale {
namespace {

TEST(RunFailures, IncludeBrokenRulesAndMissingWork) {
    nlohmann::json end{{"broken", nlohmann::json::array()},
                       {"tasks_begun", 5},
                       {"tasks_done", 4},
                       {"done", 2},
                       {"refused", 0}};
    EXPECT_TRUE(run_failures({{"end", end}}).empty());
    for (auto* zero : {"tasks_begun", "tasks_done", "done"}) {
        auto worse = end;
        worse[zero] = 0;
        EXPECT_EQ(run_failures({{"end", worse}}).size(), 1u) << zero;
    }
    end["broken"] = {"1.0 ran_twice j-1/0", "2.0 quota j-2/0"};
    EXPECT_EQ(run_failures({{"end", end}}).size(), 2u);
}

}  // namespace
}  // namespace coralhitch::scale

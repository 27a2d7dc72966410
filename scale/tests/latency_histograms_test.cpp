#include "scale/load/latency_histograms.hpp"

#include <gtest/gtest.h>

namespace coralhitch::scale {
namespace {

TEST(LatencyHistograms, PercentilesAreWithinATwentieth) {
    LatencyHistograms latencies;
    for (int count = 1; count <= 1000; ++count) latencies.observe("p", "c", "m", count * 0.01);
    auto row = latencies.summary().at("p/c/m");
    EXPECT_EQ(row.at("count"), 1000);
    for (auto& [name, exact] : {std::pair{"p50", 5.0}, {"p90", 9.0}, {"p99", 9.9}}) {
        EXPECT_GE(row.at(name).get<double>(), exact);
        EXPECT_LE(row.at(name).get<double>(), exact * 1.06);
    }
    EXPECT_DOUBLE_EQ(row.at("max").get<double>(), 10);
}

}  // namespace
}  // namespace coralhitch::scale

// Tests that settings are read, and that errors name the field and the value found.
#include "config/settings.hpp"

#include <gtest/gtest.h>

#include "kv/kv_client.hpp"

namespace coralhitch::config {
namespace {

std::string valid_settings() {
    return R"(label = "berth-0"
domain = "z1"
public_addr = "10.0.0.1:8080"
peer_listen = "10.0.0.1:8081"
later = "ignored"
[[seeds]]
label = "berth-1"
domain = "z2"
peer_addr = "10.0.0.2:8081"
[endpoints]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[cluster]
nodes = 3
zones = ["z1", "z2"]
skew_ms = 25.0
[[cluster.teams]]
name = "t"
cpus = 0.0
cpus_max = 8.0
gpus = 8
gpus_max = 16.0
[cluster.workers]
report_s = 3.0
lease_s = 31.0
gang_wait_s = 50.0
gang_peer_s = 5.0
cancel_s = 61.0
[cluster.state]
rps = 200.0
write_rps = 40.0
value_kb = 16.0
txn_ops = 24
[cluster.cloud]
rps = 10.0
list_lag_s = 10.0
[cluster.limits]
core_share = 0.08
memory_mb = 136.0
sockets = 2500
)";
}

TEST(Settings, AreRead) {
    auto s = parse_settings(valid_settings(), "f");
    EXPECT_EQ(s.peers.at(0).addr, "10.0.0.2:8081");
    EXPECT_EQ(s.teams.at(0).gpus, 8);
    EXPECT_EQ(s.txn_ops, 24u);
}
// The store may switch to its next limits without notice, so they apply from the start. The layout of stored
// progress depends on the present limit alone.
TEST(Settings, UseTheSmallerOfThePresentAndNextLimits) {
    struct Case {
        const char* next;
        double write_rps, safe_value_kb;
        std::uint32_t txn_ops;
    };
    const Case cases[] = {
        {"", 40, 16, 24},
        {"[cluster.state.next]\nwrite_rps = 28.0\nvalue_kb = 2.0\ntxn_ops = 8\n", 28, 2, 8},
        {"[cluster.state.next]\nvalue_kb = 2.0\nlater = 1\n", 40, 2, 24},
        {"[cluster.state.next]\nwrite_rps = 80.0\nvalue_kb = 64.0\ntxn_ops = 99\n", 40, 16, 24},
    };
    for (auto& c : cases) {
        auto s = parse_settings(valid_settings() + c.next, "f");
        EXPECT_EQ(s.kv_write_rps, c.write_rps);
        EXPECT_EQ(s.safe_value_kb, c.safe_value_kb);
        EXPECT_EQ(s.txn_ops, c.txn_ops);
        EXPECT_EQ(s.value_kb, 16);
    }
}
TEST(Settings, ExpectedCpuShareGrowsWithTheNumberOfAgents) {
    auto s = parse_settings(valid_settings(), "f");
    double share = expected_cpu_share(s), queries = status_queries_per_s(s);
    EXPECT_GT(queries, 0);
    EXPECT_GT(share, 0);
    s.sockets *= 2;
    EXPECT_DOUBLE_EQ(expected_cpu_share(s), 2 * share);
    s.heartbeat_interval_s *= 4;
    EXPECT_DOUBLE_EQ(expected_cpu_share(s), share / 2);
    s.cpu_share /= 2;
    EXPECT_DOUBLE_EQ(status_queries_per_s(s), queries / 2);
}
TEST(Settings, ErrorsNameFileFieldAndValue) {
    struct Case {
        const char *from, *to, *message;
    };
    const Case cases[] = {
        {"label = \"berth-0\"\n", "", "'label' is missing"},
        {"10.0.0.1:8080", "10.0.0.1",
         "'public_addr' must be an address like 10.0.0.1:8080, found \"10.0.0.1\""},
        {"10.0.0.2:8081", "10.0.0.2:99999",
         "'seeds[0].peer_addr' must be an address like 10.0.0.1:8080, found \"10.0.0.2:99999\""},
        {"report_s = 3.0", "report_s = 0", "'cluster.workers.report_s' must be above 0, found 0"},
        {"report_s = 3.0", "report_s = \"x\"", "'cluster.workers.report_s' must be a number, found \"x\""},
        {"txn_ops = 24", "txn_ops = 1",
         "'cluster.state.txn_ops' must be a whole number from 2 to 4294967295, found 1"},
        {"[cluster.cloud]", "[cluster.clouds]", "'cluster.cloud' is missing"},
        {"nodes = 3", "nodes = ", "f: line"},
        {"core_share = 0.08\n", "", "'cluster.limits.core_share' is missing"},
        {"core_share = 0.08", "core_share = 0",
         "'cluster.limits.core_share' must be at least 0.0001, found 0"},
        {"core_share = 0.08", "core_share = -1",
         "'cluster.limits.core_share' must be at least 0.0001, found -1"},
        {"core_share = 0.08", "core_share = 8000.0",
         "'cluster.limits.core_share' must be at most 1024, found 8000"},
        {"memory_mb = 136.0", "memory_mb = 0.1", "'cluster.limits.memory_mb' must be at least 8, found 0.1"},
        {"memory_mb = 136.0", "memory_mb = 1e9",
         "'cluster.limits.memory_mb' must be at most 1.6e+07, found 1000000000"},
        {"sockets = 2500", "sockets = 0",
         "'cluster.limits.sockets' must be a whole number from 16 to 4294967295, found 0"},
        {"cancel_s = 61.0", "cancel_s = 33.0",
         "'cluster.workers.cancel_s' must be at least lease_s + report_s, found 33"},
        {"gpus = 8", "gpus = -8", "'cluster.teams[0].gpus' must be at least 0, found -8"},
    };
    for (auto& c : cases) {
        auto text = valid_settings();
        text.replace(text.find(c.from), std::string(c.from).size(), c.to);
        try {
            parse_settings(text, "f");
            ADD_FAILURE() << c.message;
        } catch (const BadSettings& e) {
            EXPECT_NE(std::string(e.what()).find(c.message), std::string::npos) << e.what();
            EXPECT_EQ(std::string(e.what()).rfind("f: ", 0), 0u) << e.what();
        }
    }
    EXPECT_THROW(load_settings("/nowhere/at/all.toml"), BadSettings);
}
TEST(Settings, ErrorsCarryTheFileAndTheField) {
    auto text = valid_settings();
    text.replace(text.find("report_s = 3.0"), 14, "report_s = 0.0");
    try {
        parse_settings(text, "f");
        ADD_FAILURE();
    } catch (const BadSettings& error) {
        EXPECT_EQ(error.file(), "f");
        EXPECT_EQ(error.field(), "cluster.workers.report_s");
        EXPECT_STREQ(error.what(), "f: field 'cluster.workers.report_s' must be above 0, found 0");
    }
}
TEST(Operator, ErrorsCarryTheFileAndTheField) {
    try {
        parse_operator("draws: 1", "f");
        ADD_FAILURE();
    } catch (const BadSettings& error) {
        EXPECT_EQ(error.field(), "draws");
        EXPECT_STREQ(error.what(), "f: field 'draws' must be from 2 to 64, found 1");
    }
}
TEST(Operator, IsReadAndRangesAreChecked) {
    auto o = parse_operator("draws: 3 reserve_ratio: 0.5 max_machines: 40", "f");
    EXPECT_EQ(o.draws, 3u);
    EXPECT_EQ(o.max_machines, 40u);
    EXPECT_EQ(o.draw_rounds, Operator{}.draw_rounds);
    for (const char* bad :
         {"draws: 1", "lease_ratio: 0.9", "nonsense: 1", "draws: \"x\"", "reserve_ratio: -1"})
        EXPECT_THROW(parse_operator(bad, "f"), BadSettings) << bad;
}
// Renamed fields are read under both names for one release, because a file may contain both during an
// upgrade.
TEST(Operator, RelayHeartbeatsIsReadUnderBothNames) {
    EXPECT_TRUE(parse_operator("", "f").relay_heartbeats);
    EXPECT_FALSE(parse_operator("relay_heartbeats: false", "f").relay_heartbeats);
    EXPECT_FALSE(parse_operator("hearing: false", "f").relay_heartbeats);
    EXPECT_TRUE(parse_operator("relay_heartbeats: true hearing: false", "f").relay_heartbeats);
    EXPECT_FALSE(parse_operator("hearing: true relay_heartbeats: false", "f").relay_heartbeats);
}
TEST(Operator, ReplicateStartsIsReadUnderBothNames) {
    EXPECT_TRUE(parse_operator("", "f").replicate_starts);
    EXPECT_FALSE(parse_operator("replicate_starts: false", "f").replicate_starts);
    EXPECT_FALSE(parse_operator("standby: false", "f").replicate_starts);
    EXPECT_TRUE(parse_operator("replicate_starts: true standby: false", "f").replicate_starts);
    EXPECT_FALSE(parse_operator("standby: true replicate_starts: false", "f").replicate_starts);
}
TEST(Operator, SuspicionTimeoutPeriodsIsReadUnderBothNames) {
    EXPECT_DOUBLE_EQ(parse_operator("", "f").suspicion_timeout_periods, 1.6);
    EXPECT_DOUBLE_EQ(parse_operator("suspicion_timeout_periods: 3", "f").suspicion_timeout_periods, 3);
    EXPECT_DOUBLE_EQ(parse_operator("silence_reports: 4", "f").suspicion_timeout_periods, 4);
    EXPECT_DOUBLE_EQ(
        parse_operator("suspicion_timeout_periods: 3 silence_reports: 4", "f").suspicion_timeout_periods, 3);
    for (const char* field : {"suspicion_timeout_periods", "silence_reports"}) {
        for (const char* bad : {": 1.4", ": 101"}) {
            try {
                parse_operator(std::string(field) + bad, "f");
                ADD_FAILURE() << field << bad;
            } catch (const BadSettings& error) {
                EXPECT_NE(std::string(error.what()).find(std::string("'") + field + "'"), std::string::npos)
                    << error.what();
            }
        }
    }
}

}  // namespace
}  // namespace coralhitch::config

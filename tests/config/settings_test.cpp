// Settings: what is taken, and complaints that name the field.
#include "config/settings.hpp"

#include <gtest/gtest.h>

#include "kv/kv_client.hpp"

namespace coralhitch::config {
namespace {

std::string good() {
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
    auto s = parse_settings(good(), "f");
    EXPECT_EQ(s.peers.at(0).addr, "10.0.0.2:8081");
    EXPECT_EQ(s.teams.at(0).gpus, 8);
    EXPECT_EQ(s.txn_ops, 24u);
}
// The limits to come are kept to from the start; the layout of stored progress goes by the present one.
TEST(Settings, KeepToTheSmallerOfThePresentAndTheNextLimits) {
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
        auto s = parse_settings(good() + c.next, "f");
        EXPECT_EQ(s.kv_write_rps, c.write_rps);
        EXPECT_EQ(s.safe_value_kb, c.safe_value_kb);
        EXPECT_EQ(s.txn_ops, c.txn_ops);
        EXPECT_EQ(s.value_kb, 16);
    }
}
TEST(Settings, TheShareExpectedGrowsWithTheWorkersThatMayCall) {
    auto s = parse_settings(good(), "f");
    double all = expected_cpu_share(s), questions = status_queries_per_s(s);
    EXPECT_GT(questions, 0);
    EXPECT_GT(all, 0);
    s.sockets *= 2;
    EXPECT_DOUBLE_EQ(expected_cpu_share(s), 2 * all);
    s.heartbeat_interval_s *= 4;
    EXPECT_DOUBLE_EQ(expected_cpu_share(s), all / 2);
    s.cpu_share /= 2;
    EXPECT_DOUBLE_EQ(status_queries_per_s(s), questions / 2);
}
TEST(Settings, ComplaintsNameFileAndField) {
    struct Case {
        const char *from, *to, *says;
    };
    const Case cases[] = {
        {"label = \"berth-0\"\n", "", "'label' is missing"},
        {"10.0.0.1:8080", "10.0.0.1", "'public_addr' must be an address"},
        {"10.0.0.2:8081", "10.0.0.2:99999", "'seeds[0].peer_addr' must be an address"},
        {"report_s = 3.0", "report_s = 0", "'cluster.workers.report_s' must be above 0"},
        {"report_s = 3.0", "report_s = \"x\"", "'cluster.workers.report_s' must be a number"},
        {"txn_ops = 24", "txn_ops = 1", "'cluster.state.txn_ops' must be a whole number"},
        {"[cluster.cloud]", "[cluster.clouds]", "'cluster.cloud' is missing"},
        {"nodes = 3", "nodes = ", "f: line"},
        {"core_share = 0.08\n", "", "'cluster.limits.core_share' is missing"},
        {"core_share = 0.08", "core_share = 0", "'cluster.limits.core_share' must be at least 0.0001"},
        {"core_share = 0.08", "core_share = -1", "'cluster.limits.core_share' must be at least 0.0001"},
        {"core_share = 0.08", "core_share = 8000.0", "'cluster.limits.core_share' must be at most 1024"},
        {"memory_mb = 136.0", "memory_mb = 0.1", "'cluster.limits.memory_mb' must be at least 8"},
        {"memory_mb = 136.0", "memory_mb = 1e9", "'cluster.limits.memory_mb' must be at most 1.6e+07"},
        {"sockets = 2500", "sockets = 0", "'cluster.limits.sockets' must be a whole number"},
        {"cancel_s = 61.0", "cancel_s = 33.0",
         "'cluster.workers.cancel_s' must be at least lease_s + report_s"},
        {"gpus = 8", "gpus = -8", "'cluster.teams[0].gpus' must be at least 0"},
    };
    for (auto& c : cases) {
        auto text = good();
        text.replace(text.find(c.from), std::string(c.from).size(), c.to);
        try {
            parse_settings(text, "f");
            ADD_FAILURE() << c.says;
        } catch (const BadSettings& e) {
            EXPECT_NE(std::string(e.what()).find(c.says), std::string::npos) << e.what();
            EXPECT_EQ(std::string(e.what()).rfind("f: ", 0), 0u) << e.what();
        }
    }
    EXPECT_THROW(load_settings("/nowhere/at/all.toml"), BadSettings);
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

}  // namespace
}  // namespace coralhitch::config

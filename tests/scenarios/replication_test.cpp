// The real controllers in simulated time: leaders end at the moments that matter for replication, against the
// simulated users' rules.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <random>

#include "protocol/agent_api.hpp"
#include "protocol/peer_messages.hpp"
#include "scenarios/fault_scenarios.hpp"

namespace coralhitch::simulation {
namespace {

std::size_t lead(SimulatedCluster& w) {
    return static_cast<std::size_t>(std::max(0, w.leader()));
}
bool runs(const http::Request& r) {
    return r.target == protocol::paths::commands && r.body.find("\"run\"") != std::string::npos;
}

void expect_invariants(SimulatedCluster& w) {
    for (auto& b : wrong(w)) ADD_FAILURE() << b;
}

// The next leader crashes as soon as it leads.
void crash_next(SimulatedCluster& w, std::size_t leader) {
    if (w.leader() >= 0 && lead(w) != leader) return w.crash(lead(w), 3);
    w.at(w.now() + 0.02, [&w, leader] { crash_next(w, leader); });
}

// The leader ends right after a message of some kind is sent, for the n-th time from some moment on; its
// successor likewise, if the case says so. Machines die or hang over it.
struct FaultAtMessage {
    const char* name;
    std::function<bool(const http::Request&)> message;
    std::function<void(SimulatedCluster&, std::size_t leader)> what;
};
const FaultAtMessage faults[] = {
    {"a start is replicated", [](auto& r) { return r.target == protocol::peer_replication_path; },
     [](SimulatedCluster& w, std::size_t l) { w.crash(l, 5); }},
    {"a start is sent", runs, [](SimulatedCluster& w, std::size_t l) { w.crash(l, 5); }},
    {"a start is sent, and the next leader ends before it has reconciled", runs,
     [](SimulatedCluster& w, std::size_t l) {
         w.crash(l, 9);
         crash_next(w, l);
     }},
    {"a page or a record is stored",
     [](auto& r) {
         return r.target == "/txn" && (r.body.find("mach/") != std::string::npos ||
                                       r.body.find("\"standby\"") != std::string::npos);
     },
     [](SimulatedCluster& w, std::size_t l) { w.crash(l, 5); }},
    {"a start is sent, and the leader stands still, then goes on", runs,
     [](SimulatedCluster& w, std::size_t l) { w.stand_still(l, 14); }},
    {"a start is replicated to a follower that is cut off, its messages held",
     [](auto& r) { return r.target == protocol::peer_replication_path; },
     [](SimulatedCluster& w, std::size_t l) {
         w.cut("10.0.0." + std::to_string((l + 1) % 3 + 1), "10.", 25, true);
         w.at(w.now() + 4, [&w, l] { w.crash(l, 5); });
     }},
    {"a start is sent while the state service is out", runs,
     [](SimulatedCluster& w, std::size_t l) {
         w.state_down(10);
         w.crash(l, 5);
     }},
    {"a third of the machines and two controllers at once", runs,
     [](SimulatedCluster& w, std::size_t l) {
         for (std::size_t k = 0; k < 4; ++k) w.die(3 * k);
         w.crash(l, 5);
         w.crash((l + 1) % 3, 7);
     }},
    // Sent all the same, the start would reach a machine that goes on only when the next leader has begun.
    {"a start is replicated, reaches nobody, and the leader ends while machines hang",
     [](auto& r) { return r.target == protocol::peer_replication_path; },
     [](SimulatedCluster& w, std::size_t l) {
         for (std::size_t k = 0; k < 12; k += 2) w.hang(k, 7);
         for (std::size_t k = 0; k < 3; ++k)
             if (k != l)
                 w.cut("10.0.0." + std::to_string(l + 1), "10.0.0." + std::to_string(k + 1), 20, false);
         w.at(w.now() + 0.3, [&w, l] { w.crash(l, 5); });
     }},
    {"the leader is cut off with a zone, packets held", runs,
     [](SimulatedCluster& w, std::size_t l) { w.cut("10.0.0." + std::to_string(l + 1), "10.", 30, true); }},
};

void run_with_fault(const FaultAtMessage& f, std::uint64_t seed, std::set<std::size_t> without = {}) {
    SCOPED_TRACE(std::string(f.name) + ", seed " + std::to_string(seed));
    Options o;
    o.seed = seed;
    o.machines = 12;
    o.without_replication = std::move(without);
    SimulatedCluster w(o);
    work(w, 110);
    std::mt19937_64 random(seed);
    for (double t : {30.0, 60.0, 90.0}) {
        std::size_t hung = random() % 12, dead = random() % 12;
        auto left = std::make_shared<std::size_t>(1 + random() % 6);
        auto with_machines = random() % 3;
        w.at(t, [&w, &f, left, hung, dead, with_machines] {
            w.sent = [&w, &f, left, hung, dead, with_machines](const std::string& from, const std::string&,
                                                               const http::Request& r) {
                if (*left == 0 || w.leader() < 0 || from != w.addr_of(lead(w)) || !f.message(r)) return;
                if (--*left > 0) return;
                if (with_machines > 0) w.hang(hung, 8.0 * static_cast<double>(with_machines));
                if (with_machines > 1) w.die(dead);
                f.what(w, lead(w));
            };
        });
    }
    w.run_until(230);
    expect_invariants(w);
}
// A case for each fault, so that they can run in parallel.
class ReplicationFaults : public testing::TestWithParam<std::size_t> {
  protected:
    void SetUp() override { spdlog::set_level(spdlog::level::off); }
    const FaultAtMessage& fault() const { return faults[GetParam()]; }
};
INSTANTIATE_TEST_SUITE_P(AtEachMessage, ReplicationFaults, testing::Range<std::size_t>(0, std::size(faults)));
TEST_P(ReplicationFaults, KeepInvariants) {
    const char* more = std::getenv("CORALHITCH_SEEDS");  // by hand
    std::uint64_t seeds = more ? std::stoull(more) : 16 / seeds_part;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) run_with_fault(fault(), seed);
}
// One of the controllers, or two, are of a version without replication.
TEST_P(ReplicationFaults, KeepInvariantsBesideAVersionWithoutReplication) {
    run_with_fault(fault(), 51, {0});
    run_with_fault(fault(), 52, {1, 2});
}

// No replica is left, since all ended together: a dead machine is fenced after some seconds, not only when
// its lease expires.
TEST(ReplicationScenario, FencesADeadMachineSoonAfterARestartOfAll) {
    spdlog::set_level(spdlog::level::off);
    for (std::uint64_t seed : {1, 2, 3}) {
        Options o;
        o.seed = seed;
        o.machines = 12;
        SimulatedCluster w(o);
        w.at(2, [&w] { w.submit("j-1", "service", 30, 0); });
        w.run_until(30);
        w.die(0);
        w.die(4);
        for (std::size_t k = 0; k < 3; ++k) w.crash(k, 3);
        w.at(33, [&w] { w.submit("j-2", "batch", 1, 2); });
        w.run_until(47);
        EXPECT_FALSE(w.jobs["j-2"].tasks_done.empty());
        for (auto& b : w.broken) ADD_FAILURE() << b;
    }
}

// The leader is back about when its lease ends, and must not win before its followers.
TEST(ReplicationScenario, ElectsAFollowerBeforeARestartedLeader) {
    spdlog::set_level(spdlog::level::off);
    for (double back : {1.5, 2.3, 2.4, 2.45, 2.5, 2.6}) {
        SCOPED_TRACE(back);
        SimulatedCluster w({});
        w.at(2, [&w] { w.submit("j-1", "service", 6, 0); });
        for (double t : {30.0, 45.0, 60.0}) {
            w.run_until(t);
            auto before = lead(w);
            w.crash(before, back);
            w.run_until(t + 8);
            EXPECT_GE(w.leader(), 0);
            if (back > 1.6) {  // sooner, it ends its own lease, and nobody else has seen it end yet
                EXPECT_NE(lead(w), before) << t;
            }
        }
    }
}

// One dead machine of many used to hold up the first start until it was proven gone.
TEST(ReplicationScenario, StartsTasksDespiteADeadMachine) {
    spdlog::set_level(spdlog::level::off);
    for (bool replicated : {true, false}) {
        Options o;
        o.machines = 5;
        if (!replicated) o.without_replication = {0, 1, 2};
        SimulatedCluster w(o);
        w.at(2, [&w] { w.submit("j-1", "service", 18, 0); });
        w.run_until(30);
        w.cloud_down(60);  // so that it is proven gone by its lease alone
        std::size_t used = 0;
        while (used + 1 < w.workers.size() && w.workers[used]->tasks.empty()) ++used;
        w.die(used);
        w.crash(lead(w), 60);
        w.at(30.1, [&w] { w.submit("j-2", "batch", 1, 2); });
        w.run_until(50);
        EXPECT_EQ(!w.jobs["j-2"].tasks_done.empty(),
                  replicated);  // its user may have asked the dead controller
        for (auto& b : w.broken) ADD_FAILURE() << b;
    }
}

}  // namespace
}  // namespace coralhitch::simulation

// Jobs bound to one zone whose machines are lost, and more work than room: once the troubles are over,
// nothing waits that has room and quota.
#include <array>

#include "scenarios/fault_combinations_support.hpp"

namespace coralhitch::simulation {
namespace {

enum class Loss { one_dies, zone_dies, zone_hangs, zone_cut_off };
struct Bound {
    const char* name;
    const char* shape;
    bool named;  // the zone is named by the job; else it is where its first task went
    Loss loss;
    bool leader_ends;
};
void PrintTo(const Bound& b, std::ostream* out) {
    *out << b.name;
}
const Bound bound_jobs[] = {
    {"array, one machine dies", "batch", false, Loss::one_dies, false},
    {"array, its zone dies", "batch", false, Loss::zone_dies, false},
    {"array, its zone dies, the leader ends", "batch", false, Loss::zone_dies, true},
    {"array, its zone hangs, the leader ends", "batch", false, Loss::zone_hangs, true},
    {"array, its zone is cut off, the leader ends", "batch", false, Loss::zone_cut_off, true},
    {"array, its zone is cut off", "batch", false, Loss::zone_cut_off, false},
    {"array in a named zone, one machine dies", "batch", true, Loss::one_dies, true},
    {"array in a named zone, which dies", "batch", true, Loss::zone_dies, true},
    {"array in a named zone, which hangs", "batch", true, Loss::zone_hangs, true},
    {"gang, one machine dies, the leader ends", "gang", false, Loss::one_dies, true},
    {"gang, its zone dies, the leader ends", "gang", false, Loss::zone_dies, true},
    {"gang, its zone hangs", "gang", false, Loss::zone_hangs, false},
    {"gang in a named zone, which is cut off", "gang", true, Loss::zone_cut_off, true},
    {"service, its zone dies, the leader ends", "service", false, Loss::zone_dies, true},
    {"service in a named zone, which hangs", "service", true, Loss::zone_hangs, true},
};

// Machines of the zone with tasks of a job bound to it go, and the leader may end a moment later. What is
// left there counts until it is proven gone; then all of it goes on, in one zone again, within the time for
// which anything may wait.
class BoundToAZone : public testing::TestWithParam<Bound> {};
INSTANTIATE_TEST_SUITE_P(Meeting, BoundToAZone, testing::ValuesIn(bound_jobs));
TEST_P(BoundToAZone, GoesOnAfterALossOfMachines) {
    spdlog::set_level(spdlog::level::off);
    auto c = GetParam();
    Options o;
    o.machines = 8;
    SimulatedCluster w(o);
    json more{{"together", true}, {"cards", 2.0}, {"driftwood", false}};
    if (c.named) more["reef"] = "a";
    bool service = std::string(c.shape) == "service";
    constexpr int tasks = 4;
    w.at(2, [&w] {  // keeps the machines: one on each
        w.submit("j-9", "service", static_cast<int>(w.workers.size()), 0, {{"cards", 0.0}, {"vcpus", 13.0}});
    });
    w.at(8, [&] { w.submit("j-1", c.shape, tasks, service ? 0 : 60, more); });
    w.run_until(30);
    ASSERT_EQ(on_machines(w, "j-1"), static_cast<std::size_t>(tasks));
    std::vector<std::size_t> on;
    for (std::size_t k = 0; k < w.workers.size(); ++k)
        if (on_machine(*w.workers[k], "j-1") > 0) on.push_back(k);
    auto zone = w.workers[on.front()]->zone;
    // Those that are cut off can't be deleted either: only the time proves anything. The bound is that of
    // docs/design.md for a new leader, with two report periods for the plan and the start.
    bool cut_off = c.loss == Loss::zone_cut_off;
    double proven_s = o.cancel_s + 2 * o.heartbeat_interval_s, away_s = cut_off ? proven_s + 10 : 40;
    if (cut_off) w.cloud_down(away_s);
    std::size_t lost = 0;
    for (std::size_t k = 0; k < w.workers.size(); ++k) {
        auto& m = *w.workers[k];
        if (c.loss == Loss::one_dies ? k != on.front() : m.zone != zone || m.dead) continue;
        ++lost;
        if (c.loss == Loss::one_dies || c.loss == Loss::zone_dies) w.die(k);
        if (c.loss == Loss::zone_hangs) w.hang(k, away_s);
        if (c.loss == Loss::zone_cut_off) w.cut("10.0.", m.addr, away_s, false);
    }
    ASSERT_GT(lost, 0u);
    if (c.leader_ends) w.at(30.6, [&w] { w.crash(lead(w), 0.2); });
    if (cut_off && !c.named) {  // the other zone has room
        w.run_until(30 + proven_s);
        EXPECT_EQ(on_machines(w, "j-1"), static_cast<std::size_t>(tasks));
    }
    w.troubles_over = 30 + (c.loss == Loss::zone_hangs || cut_off ? away_s : 1);
    w.run_until(w.troubles_over + 200);
    if (service)
        EXPECT_EQ(on_machines(w, "j-1"), static_cast<std::size_t>(tasks));
    else
        EXPECT_TRUE(w.jobs["j-1"].done);
    EXPECT_EQ(on_machines(w, "j-9"), o.machines);
    expect_unbroken(w);
}

// One machine is cut off and can't be deleted, the leader stays: only the end of its lease proves anything,
// whoever answered it until then. What was there goes on elsewhere within that time.
class OneCutOff : public testing::TestWithParam<std::size_t> {};
INSTANTIATE_TEST_SUITE_P(Meeting, OneCutOff, testing::Range<std::size_t>(0, 6));
TEST_P(OneCutOff, GoesOnElsewhereOnceTheLeaseIsOut) {
    spdlog::set_level(spdlog::level::off);
    Options o;
    SimulatedCluster w(o);
    w.at(2, [&w] {  // keeps the machines: one on each
        w.submit("j-9", "service", static_cast<int>(w.workers.size()), 0, {{"cards", 0.0}, {"vcpus", 13.0}});
    });
    w.at(8, [&w] { w.submit("j-1", "service", 6, 0); });
    w.run_until(30);
    ASSERT_EQ(on_machines(w, "j-1"), 6u);
    double proven_s = o.cancel_s + 2 * o.heartbeat_interval_s;
    w.cloud_down(proven_s + 10);
    w.cut("10.0.", w.workers[GetParam()]->addr, proven_s + 10, false);
    w.run_until(30 + proven_s);
    EXPECT_EQ(on_machines(w, "j-1"), 6u);
    w.troubles_over = 30 + proven_s + 10;
    w.run_until(w.troubles_over + 100);
    EXPECT_EQ(on_machines(w, "j-1"), 6u);
    expect_unbroken(w);
}

// More than twice the work that there is room for with all that the cloud gives, of each rank. Machines
// die, hang and are cut off, leaders end and a part is cancelled meanwhile. The urgent work is not behind the
// rest, and once the troubles are over everything is served: nothing waits with room and quota.
class MoreWorkThanRoom : public testing::TestWithParam<std::tuple<int, bool>> {};
INSTANTIATE_TEST_SUITE_P(Meeting, MoreWorkThanRoom,
                         testing::Combine(testing::Values(1, 2, 3), testing::Bool()));
TEST_P(MoreWorkThanRoom, LeavesNothingWaitingWithRoom) {
    spdlog::set_level(spdlog::level::off);
    auto [seed, slow] = GetParam();
    Options o;
    o.seed = static_cast<std::uint64_t>(seed);
    o.machines = 6;
    o.gpus_max = 8;
    o.waits_s = 90;
    if (slow) o.hear_s = 0.15;  // what workers say takes long on its way, and waits in line
    SimulatedCluster w(o);
    w.at(2, [&w] { w.submit("j-9", "service", static_cast<int>(w.workers.size()), 0, {{"cards", 0.0}}); });
    w.run_until(20);
    constexpr std::array ranks{"idle", "normal", "high"};
    std::size_t n = 0;
    std::vector<std::string> urgent, idle, cancelled;
    for (double t = 21; t < 75; t += 3, ++n)
        w.at(t, [&, n] {
            auto id = "j-" + std::to_string(100 + n);
            auto* rank = ranks[n % ranks.size()];
            json more{{"rank", rank}, {"crew", n % 4 == 0 ? "tight" : "free"}, {"driftwood", n % 2 == 0}};
            auto* shape = n % 5 == 1 ? "gang" : "batch";
            if (n % 5 == 1) more["together"] = true;
            w.submit(id, shape, n % 5 == 1 ? 3 : 16, 18, more);
            if (n % 6 == 3) {
                cancelled.push_back(id);
                w.at(w.now() + 7, [&w, id] { w.cancel(id); });
            } else if (n % 3 == 2) {
                urgent.push_back(id);
            } else if (n % 3 == 0) {
                idle.push_back(id);
            }
        });
    w.at(30, [&w] { w.hang(0, 8); });
    w.at(36, [&w] { w.crash(lead(w), 0.2); });
    w.at(41, [&w] { w.cut("10.0.", w.workers[3]->addr, 30, false); });
    w.at(47, [&w] { w.crash(lead(w), 4); });
    w.at(56, [&w] { w.hang(4, 28); });
    w.at(58, [&w] { w.state_down(5); });
    w.at(66, [&w] { w.crash(lead(w), 0.2); });
    w.troubles_over = 86;
    std::map<std::string, double> done_at;
    for (double t = 21; t < 420; t += 1)
        w.at(t, [&] {
            for (auto& [id, job] : w.jobs)
                if (job.done) done_at.emplace(id, w.now());
        });
    w.run_until(420);
    auto mean = [&](const std::vector<std::string>& ids) {
        double sum = 0;
        for (auto& id : ids) sum += done_at.contains(id) ? done_at.at(id) : 420;
        return sum / static_cast<double>(ids.size());
    };
    ASSERT_GT(urgent.size(), 2u);
    ASSERT_GT(idle.size(), 2u);
    for (auto* ids : {&urgent, &idle})
        for (auto& id : *ids) EXPECT_TRUE(w.jobs[id].done) << id;
    for (auto& id : cancelled) EXPECT_TRUE(w.jobs[id].cancelled || w.jobs[id].done) << id;
    EXPECT_LT(mean(urgent), mean(idle));
    expect_unbroken(w);
}

}  // namespace
}  // namespace coralhitch::simulation

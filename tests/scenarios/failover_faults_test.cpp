// Runs a schedule with every kind of job under one kind of fault at a time.
#include "scenarios/parameter_names.hpp"
#include "scenarios/scenario_support.hpp"

namespace coralhitch::simulation {
namespace {

// Schedules the faults of one run.
struct FaultPlan {
    const char* name;
    std::function<void(SimulatedCluster&, std::mt19937_64&)> plan;
};

const FaultPlan fault_kinds[] = {
    {"no fault", [](SimulatedCluster&, std::mt19937_64&) {}},
    {"leader crashes twice",
     [](SimulatedCluster& cluster, std::mt19937_64&) {
         for (double time : {40.0, 55.0})
             cluster.at(time, [&cluster] { cluster.crash(leader_of(cluster), 6); });
     }},
    {"all crash together",
     [](SimulatedCluster& cluster, std::mt19937_64&) {
         cluster.at(45, [&cluster] {
             for (std::size_t k = 0; k < 3; ++k) cluster.crash(k, 4 + static_cast<double>(k));
         });
     }},
    {"leader partitioned from the key-value store, packets held",
     [](SimulatedCluster& cluster, std::mt19937_64&) {
         cluster.at(40, [&cluster] {
             cluster.partition(host_of(leader_of(cluster)), "10.2.0.1", 30, Packets::held);
         });
     }},
    {"leader refused by the key-value store alone",
     [](SimulatedCluster& cluster, std::mt19937_64&) {
         cluster.at(40, [&cluster] { cluster.refuse_at_key_value_store(leader_of(cluster), 40); });
     }},
    {"leader partitioned from the workers, packets held",
     [](SimulatedCluster& cluster, std::mt19937_64&) {
         cluster.at(
             40, [&cluster] { cluster.partition(host_of(leader_of(cluster)), "10.1.", 30, Packets::held); });
     }},
    {"leader partitioned from all, packets held, machines hang over the failover",
     [](SimulatedCluster& cluster, std::mt19937_64&) {
         cluster.at(40, [&cluster] {
             cluster.partition(host_of(leader_of(cluster)), "10.", 35, Packets::held);
             cluster.hang_machine(1, 20);
             cluster.hang_machine(2, 33);
         });
     }},
    {"state outage, then all crash",
     [](SimulatedCluster& cluster, std::mt19937_64&) {
         cluster.at(40, [&cluster] { cluster.key_value_store.start_outage(20); });
         cluster.at(57, [&cluster] {
             for (std::size_t k = 0; k < 3; ++k) cluster.crash(k, 5);
         });
     }},
    {"machines crash while the cloud is down and the leader crashes",
     [](SimulatedCluster& cluster, std::mt19937_64&) {
         cluster.at(38, [&cluster] { cluster.start_cloud_outage(50); });
         cluster.at(40, [&cluster] {
             cluster.crash_machine(0);
             cluster.crash_machine(3);
         });
         cluster.at(42, [&cluster] { cluster.crash(leader_of(cluster), 8); });
     }},
    {"rolling restart while machines hang",
     [](SimulatedCluster& cluster, std::mt19937_64&) {
         for (std::size_t k = 0; k < 3; ++k)
             cluster.at(40 + 8.0 * static_cast<double>(k), [&cluster, k] { cluster.crash(k, 3); });
         cluster.at(44, [&cluster] { cluster.hang_machine(0, 15); });
         cluster.at(50, [&cluster] { cluster.hang_machine(4, 40); });
     }},
    {"leader freezes, its clocks run on, twice",
     [](SimulatedCluster& cluster, std::mt19937_64&) {
         cluster.at(40, [&cluster] { cluster.freeze(leader_of(cluster), 12); });
         cluster.at(60, [&cluster] { cluster.freeze(leader_of(cluster), 30); });
     }},
    {"leader freezes through a state outage, another controller crashes",
     [](SimulatedCluster& cluster, std::mt19937_64&) {
         cluster.at(40, [&cluster] {
             cluster.key_value_store.start_outage(14);
             cluster.freeze(leader_of(cluster), 15);
             cluster.crash((leader_of(cluster) + 1) % 3, 6);
         });
     }},
    {"a machine fails every task",
     [](SimulatedCluster& cluster, std::mt19937_64&) { cluster.workers[0]->fails_every_task = true; }},
    {"anything, at random times",
     [](SimulatedCluster& cluster, std::mt19937_64& random) {
         for (int k = 0; k < 8; ++k) {
             double time = std::uniform_real_distribution<double>(20, 110)(random);
             auto what = random() % 7, which = random() % 8;
             double duration_s = std::uniform_real_distribution<double>(2, 30)(random);
             cluster.at(time, [&cluster, what, which, duration_s] {
                 switch (what) {
                     case 0:
                         return cluster.crash(which % 3, duration_s / 3);
                     case 1:
                         return cluster.hang_machine(which, duration_s);
                     case 2:
                         return cluster.crash_machine(which);
                     case 3:
                         return cluster.key_value_store.start_outage(duration_s / 2);
                     case 4:
                         return cluster.start_cloud_outage(duration_s);
                     case 5:
                         return cluster.freeze(which % 3, duration_s);
                     default:
                         return cluster.partition("10.0.0." + std::to_string(which % 3 + 1),
                                                  which % 2 ? "10.1." : "10.2.0.1", duration_s,
                                                  Packets::held);
                 }
             });
         }
     }},
};

std::string job_id(int number) {
    return "j-" + std::to_string(1000 + number);
}
void submit_numbered_job(SimulatedCluster& cluster, int number) {
    auto id = job_id(number);
    if (number % 4 == 0)
        cluster.submit(id, "service", 2, 0,
                       {{"scatter", true},
                        {"driftwood", false},
                        {"rank", "critical"},
                        {"stow_s", 0.0},
                        {"anchor_s", 0.0}});
    if (number % 4 == 1) cluster.submit(id, "batch", 9, 6, {{"crew", "tight"}});
    if (number % 4 == 2)
        cluster.submit(id, "gang", 3, 10, {{"together", true}, {"rank", "high"}, {"cards", 2.0}});
    if (number % 4 == 3) cluster.submit(id, "batch", 5, 15, {{"scatter", true}});
}
// Returns the id of a stage of a pipeline. A pipeline is a job (stage 0), two jobs that await it (1 and 2), a
// gang that awaits both (3), and a job that awaits stages 0 and 3 (4).
std::string stage_id(int pipeline, int stage) {
    return job_id(100 + 10 * pipeline + stage);
}
void submit_pipeline(SimulatedCluster& cluster, int pipeline) {
    auto stage = [pipeline](int number) { return stage_id(pipeline, number); };
    json low{{"rank", "idle"}, {"cards", 0.0}};
    cluster.submit(stage(0), "batch", 3, 4, low);
    cluster.submit_awaiting(stage(1), "batch", 4, 5, {stage(0)}, low);
    cluster.submit_awaiting(stage(2), "batch", 2, 3, {stage(0)}, low);
    cluster.submit_awaiting(stage(3), "gang", 2, 5, {stage(1), stage(2)}, {{"together", true}});
    auto last = [&cluster, stage] {
        cluster.submit_awaiting(stage(4), "batch", 2, 2, {stage(0), stage(3)}, {{"rank", "high"}});
    };
    // The last stage of pipeline 2 is submitted when all other jobs have ended. Its awaited jobs were
    // cancelled.
    if (pipeline != 2) last();
    if (pipeline == 2) cluster.at(260, last);
}
// Schedules all jobs and cancellations. Pipeline 1 is cancelled at stage 1, pipeline 2 at stage 0.
void schedule_day(SimulatedCluster& cluster) {
    for (int number = 0; number < 12; ++number)
        cluster.at(2 + 7.0 * number, [&cluster, number] { submit_numbered_job(cluster, number); });
    for (int number : {0, 3, 5, 6})
        cluster.at(41 + number, [&cluster, number] { cluster.cancel(job_id(number)); });
    for (int number : {4, 8}) cluster.at(200, [&cluster, number] { cluster.cancel(job_id(number)); });
    for (int pipeline = 0; pipeline < 4; ++pipeline)
        cluster.at(22 + 10.0 * pipeline, [&cluster, pipeline] { submit_pipeline(cluster, pipeline); });
    cluster.at(42, [&cluster] { cluster.cancel(stage_id(2, 0)); });
    cluster.at(45, [&cluster] { cluster.cancel(stage_id(1, 1)); });
}

// Runs a schedule with every kind of job, some of them cancelled during the fault. Checks at the end that no
// invariant was violated, every job was accepted and has ended, only jobs whose cancellation was requested
// (or that awaited one) are cancelled, and tasks were started.
void run_day(const FaultPlan& fault, std::uint64_t seed) {
    SCOPED_TRACE(std::string(fault.name) + ", seed " + std::to_string(seed));
    Options options;
    options.seed = seed;
    SimulatedCluster cluster(options);
    std::mt19937_64 random(seed);
    schedule_day(cluster);
    fault.plan(cluster, random);
    cluster.run_until(340);
    expect_no_violations(cluster);
    EXPECT_GT(cluster.starts, 20u);
    for (auto& [id, job] : cluster.jobs) {
        EXPECT_TRUE(job.accepted) << id;
        EXPECT_TRUE(job.done || job.cancelled) << id << " has not ended";
        EXPECT_EQ(job.cancelled, job.cancelled && cluster.cancel_wanted(id)) << id;
    }
}

class FailoverFaults : public testing::TestWithParam<std::size_t> {
  protected:
    void SetUp() override { spdlog::set_level(spdlog::level::off); }
};
INSTANTIATE_TEST_SUITE_P(EachKind, FailoverFaults, testing::Range<std::size_t>(0, std::size(fault_kinds)),
                         [](auto& info) { return camel_case(fault_kinds[info.param].name); });
TEST_P(FailoverFaults, KeepInvariants) {
    for (std::uint64_t seed : {1, 2, 3}) run_day(fault_kinds[GetParam()], seed);
}
class FailoverRandomFaults : public testing::TestWithParam<std::uint64_t> {};
INSTANTIATE_TEST_SUITE_P(EachSeed, FailoverRandomFaults, testing::Range<std::uint64_t>(0, 4),
                         Numbered{"Part"});
TEST_P(FailoverRandomFaults, KeepInvariants) {
    spdlog::set_level(spdlog::level::off);
    for (std::uint64_t seed = 10 + GetParam(); seed < 30; seed += 4) run_day(std::end(fault_kinds)[-1], seed);
}

}  // namespace
}  // namespace coralhitch::simulation

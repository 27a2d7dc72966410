// Tests of new machines that are up at once and get tasks while writes to the key-value store are slow, and
// of a leader crash in between.
#include "scenarios/parameter_names.hpp"
#include "scenarios/scenario_support.hpp"

namespace coralhitch::simulation {
namespace {

constexpr double machine_up_s = 0.05, lease_s = 24;

bool writes(const json& txn, const std::string& prefix) {
    auto ours = [&](auto& change) { return change.value("put", "").starts_with(prefix); };
    return std::any_of(txn["then"].begin(), txn["then"].end(), ours);
}
// Returns true if the page of machines in the key-value store names this machine.
bool is_machine_stored(const SimulatedCluster& cluster, const std::string& id) {
    try {
        return cluster.key_value_store.record("mach/page/0").find(id) != std::string::npos;
    } catch (const std::out_of_range&) {
        return false;  // no page yet
    }
}

// Returns options for two machines, to be filled by a service so that any other job makes the leader scale
// out. New machines are up at once.
Options two_machines(bool replicated) {
    Options options;
    options.machines = 2;
    options.boot_s = machine_up_s;
    if (!replicated) options.without_replication = {0, 1, 2};
    return options;
}
void fill_machines(SimulatedCluster& cluster) {
    cluster.at(4, [&cluster] { cluster.submit("j-8", "service", 2, 0, {{"cards", 4.0}}); });
    cluster.run_until(25);
}

// Submits a job of one task that takes a whole machine.
void submit_for_new_machine(SimulatedCluster& cluster, const std::string& kind, double run_s) {
    cluster.submit("j-1", kind, 1, run_s, {{"cards", 4.0}, {"driftwood", false}});
}

// Calls `then` once, as soon as a machine with index `first_new` or above has received a `run` for a task of
// `j-1`, by a command or in the answer to a heartbeat. Watches for 40 s of simulated time.
void on_first_run(SimulatedCluster& cluster, std::size_t first_new, std::function<void(Worker&)> then) {
    auto seen = std::make_shared<bool>(false);
    for (double time = cluster.now(); time < cluster.now() + 40; time += 0.005)
        cluster.at(time, [&cluster, first_new, then, seen] {
            for (std::size_t k = first_new; k < cluster.workers.size() && !*seen; ++k) {
                if (tasks_on_machine(*cluster.workers[k], "j-1") == 0) continue;
                *seen = true;
                then(*cluster.workers[k]);
            }
        });
}

// Outcome of the first transaction that writes the new machine's record: every write is slow, the transaction
// is carried out late, it is carried out after the next leader's claim, or its answer is lost.
enum class FirstWrite { slow, late, after_the_claim, answer_lost };
constexpr double after_claim_s = 14;
// Returns the delay of the write in s; its answer never arrives.
double delay_of(FirstWrite write) {
    constexpr double at_once_s = 1e-6, late_s = 2;
    if (write == FirstWrite::answer_lost) return at_once_s;
    return write == FirstWrite::late ? late_s : after_claim_s;
}
struct BootCase {
    const char* name;
    FirstWrite write;
    bool replicated;  // the next leader has a replica of the crashed leader's state
};
void PrintTo(const BootCase& boot_case, std::ostream* out) {
    *out << boot_case.name;
}
const BootCase boot_cases[] = {
    {"slow writes", FirstWrite::slow, true},
    {"slow writes, no replica", FirstWrite::slow, false},
    {"late", FirstWrite::late, true},
    {"late, no replica", FirstWrite::late, false},
    {"carried out after the next claim", FirstWrite::after_the_claim, true},
    {"carried out after the next claim, no replica", FirstWrite::after_the_claim, false},
    {"answer lost", FirstWrite::answer_lost, true},
    {"answer lost, no replica", FirstWrite::answer_lost, false},
};

// Guards against starting a task twice because the next leader does not know the machine it runs on. A new
// machine is up at once, and the leader crashes right after the first `run` was sent to it. From then on no
// controller reaches the machine for most of a lease, and it cannot be deleted. The next leader must know the
// machine from the stored page and count the task there, although the old machines have room by then.
class FirstStart : public testing::TestWithParam<BootCase> {};
INSTANTIATE_TEST_SUITE_P(FaultCombinations, FirstStart, testing::ValuesIn(boot_cases), NameOfCase());
void lose_machine_and_leader(SimulatedCluster& cluster, const Worker& worker) {
    cluster.start_cloud_outage(60);
    cluster.cancel("j-8");  // frees the old machines
    cluster.partition("10.0.", worker.addr, lease_s * 0.75);
    cluster.crash(leader_of(cluster), 0.2);
}
TEST_P(FirstStart, IsOnMachineKnownToNextLeader) {
    spdlog::set_level(spdlog::level::off);
    auto test_case = GetParam();
    SimulatedCluster cluster(two_machines(test_case.replicated));
    fill_machines(cluster);
    ASSERT_EQ(tasks_on_machines(cluster, "j-8"), 2u);
    std::size_t first_new = cluster.workers.size(), writes_seen = 0;
    std::optional<double> first_write_at, first_run_at;
    std::string machine;
    bool was_stored = false, claimed = false;
    cluster.key_value_store.transaction_delay = [&](const json& txn) {
        if (writes(txn, "leader") && first_run_at) claimed = true;
        bool names_new = writes(txn, "mach/page/") && cluster.workers.size() > first_new &&
                         txn.dump().find(cluster.workers[first_new]->id) != std::string::npos;
        if (!names_new || test_case.write == FirstWrite::slow || writes_seen++ > 0) return 0.0;
        first_write_at = cluster.now();
        return delay_of(test_case.write);
    };
    on_first_run(cluster, first_new, [&](Worker& worker) {
        first_run_at = cluster.now();
        machine = worker.id;
        was_stored = is_machine_stored(cluster, machine);
        lose_machine_and_leader(cluster, worker);
    });
    if (test_case.write == FirstWrite::slow)
        cluster.at(25.5, [&cluster] { cluster.boot_fast_with_slow_writes(30, 1.6); });
    cluster.at(26, [&cluster] { submit_for_new_machine(cluster, "service", 0); });
    cluster.run_until(60);
    ASSERT_TRUE(first_run_at);
    EXPECT_TRUE(was_stored) << machine;
    EXPECT_TRUE(claimed);
    ASSERT_EQ(first_write_at.has_value(), test_case.write != FirstWrite::slow);
    if (test_case.write == FirstWrite::after_the_claim) {
        EXPECT_LT(*first_run_at, *first_write_at + after_claim_s);
    }
    cluster.run_until(150);
    EXPECT_EQ(tasks_on_machines(cluster, "j-1"), 1u);
    EXPECT_TRUE(cluster.jobs["j-8"].cancelled);
    expect_no_violations(cluster);
}

// A new machine sends heartbeats while the transaction that stores it is unanswered. The transaction is not
// carried out before the leader crashes, and is rejected afterwards. Guards against a start on a machine that
// is not stored: the cloud lists the machine and no page names it, so nothing may have run on it, and the
// next leader uses it.
TEST(FaultCombination, AdoptsMachineThatOnlyTheCloudLists) {
    spdlog::set_level(spdlog::level::off);
    for (bool replicated : {true, false}) {
        SimulatedCluster cluster(two_machines(replicated));
        fill_machines(cluster);
        std::size_t lost = 0, first_new = cluster.workers.size();
        bool ended = false, was_stored = true;
        cluster.key_value_store.transaction_delay = [&](const json& txn) {
            if (ended || !writes(txn, "mach/page/")) return 0.0;
            if (lost++ == 0)
                cluster.at(cluster.now() + 4, [&] {
                    ended = true;
                    was_stored = is_machine_stored(cluster, cluster.workers.at(first_new)->id);
                    EXPECT_EQ(tasks_on_machines(cluster, "j-1"), 0u);
                    cluster.crash(leader_of(cluster), 0.2);
                });
            return 12.0;
        };
        bool early = false;
        on_first_run(cluster, first_new,
                     [&](Worker& worker) { early = !ended || !is_machine_stored(cluster, worker.id); });
        cluster.at(26, [&cluster] { submit_for_new_machine(cluster, "batch", 10); });
        cluster.run_until(34);
        EXPECT_TRUE(ended);
        EXPECT_FALSE(was_stored);
        ASSERT_GT(cluster.workers.size(), first_new);
        cluster.run_until(80);
        EXPECT_GT(lost, 0u);
        EXPECT_FALSE(early);
        EXPECT_TRUE(cluster.jobs["j-1"].done);
        EXPECT_EQ(tasks_on_machines(cluster, "j-8"), 2u);
        expect_no_violations(cluster);
    }
}

// A stored page names a machine that the cloud does not list because it has crashed. Only the end of its
// lease or a deletion is evidence that its task has terminated. Guards against counting the resources and the
// team's limit as free before that, and against not restarting the task afterwards.
TEST(FaultCombination, AwaitsEvidenceOfTerminationOfMachineThatOnlyAPageNames) {
    spdlog::set_level(spdlog::level::off);
    for (bool replicated : {true, false}) {
        auto options = two_machines(replicated);
        options.gpus_max = 4;
        SimulatedCluster cluster(options);
        fill_machines(cluster);
        cluster.at(26, [&cluster] {
            cluster.submit("j-1", "service", 1, 0, {{"cards", 4.0}, {"crew", "tight"}, {"driftwood", false}});
        });
        cluster.run_until(36);
        ASSERT_EQ(tasks_on_machines(cluster, "j-1"), 1u);
        std::optional<std::size_t> machine_with_task;
        for (std::size_t k = 0; k < cluster.workers.size(); ++k)
            if (tasks_on_machine(*cluster.workers[k], "j-1") > 0) machine_with_task = k;
        ASSERT_TRUE(machine_with_task);
        auto id = cluster.workers[*machine_with_task]->id;
        EXPECT_TRUE(is_machine_stored(cluster, id));
        cluster.crash(leader_of(cluster), 0.2);
        cluster.crash_machine(*machine_with_task);
        // There is room for the task at once, but no evidence yet that it has terminated.
        cluster.cancel("j-8");
        cluster.start_cloud_outage(14);
        cluster.run_until(49);
        EXPECT_EQ(tasks_on_machines(cluster, "j-1"), 0u) << replicated;
        cluster.run_until(36 + lease_s + 20);
        EXPECT_EQ(tasks_on_machines(cluster, "j-1"), 1u) << replicated;
        cluster.run_until(120);
        EXPECT_FALSE(is_machine_stored(cluster, id));
        expect_no_violations(cluster);
    }
}

// A new machine is up, sends heartbeats and runs a task before the scale-out request is answered. The answer
// is lost and the request repeated under the same name, or the leader crashes meanwhile. Guards against
// counting the machine twice: each rental must give one machine, and the task must stay on it.
TEST(FaultCombination, CountsMachineOnceWhenUpBeforeScaleOutIsAnswered) {
    spdlog::set_level(spdlog::level::off);
    for (bool leader_crashes : {false, true}) {
        SimulatedCluster cluster(two_machines(true));
        std::map<std::string, std::size_t> requests_by_rental;  // number of requests for each rental
        std::string lost_rental;
        cluster.on_message = [&](auto&, auto&, auto& request) {
            if (request.target != "/hosts" || request.method != "POST") return;
            auto name = json::parse(request.body)["charter"].template get<std::string>();
            ++requests_by_rental[name];
            if (cluster.now() < 26 || !lost_rental.empty()) return;
            lost_rental = name;
            cluster.partition_one_way("10.2.0.2", "10.0.", 12);
        };
        fill_machines(cluster);
        std::optional<double> first_run_at;
        Worker* worker_with_task = nullptr;
        on_first_run(cluster, cluster.workers.size(), [&](Worker& worker) {
            first_run_at = cluster.now();
            worker_with_task = &worker;
            if (leader_crashes) cluster.crash(leader_of(cluster), 0.2);
        });
        cluster.at(26, [&cluster] { submit_for_new_machine(cluster, "service", 0); });
        cluster.run_until(37);
        ASSERT_TRUE(first_run_at);
        auto starts = cluster.starts;
        cluster.run_until(110);
        EXPECT_EQ(requests_by_rental[lost_rental] > 1, !leader_crashes);
        EXPECT_EQ(cluster.workers.size(), 2 + requests_by_rental.size());  // one machine for each rental
        EXPECT_EQ(tasks_on_machine(*worker_with_task, "j-1"), 1u);
        EXPECT_EQ(cluster.starts, starts);
        EXPECT_EQ(tasks_on_machines(cluster, "j-8"), 2u);
        expect_no_violations(cluster);
    }
}

}  // namespace
}  // namespace coralhitch::simulation

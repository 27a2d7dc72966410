// Tests of jobs that await other jobs, while the leader changes and the key-value store is unavailable.
#include "scenarios/scenario_support.hpp"

namespace coralhitch::simulation {
namespace {

// One submission and its expected answer. The answer to a first submission depends on the states of the
// awaited jobs, and the answer to a repeated one on the state of the job itself, whatever its body says.
struct SubmissionCase {
    const char* id;
    json awaits;
    int status;
    const char* says;
};
std::vector<SubmissionCase> submission_cases() {
    std::vector<std::string> many;
    for (int k = 0; k < 400; ++k) many.push_back("j-" + std::to_string(5000 + k));
    return {
        {"j-10", {"j-1"}, 201, "pending"},       {"j-11", {"j-1", "j-4"}, 201, "pending"},
        {"j-12", {"j-3"}, 201, "withdrawn"},     {"j-13", {"j-12", "j-4"}, 201, "withdrawn"},
        {"j-14", {"j-77"}, 422, "j-77"},         {"j-15", {"j-1", "j-15"}, 422, "j-15"},
        {"j-16", "j-1", 400, "awaits"},          {"j-17", {"berth"}, 400, "awaits"},
        {"j-11", {"j-77"}, 200, "pending"},      {"j-11", {"berth"}, 200, "pending"},
        {"j-12", {"j-12"}, 200, "withdrawn"},    {"j-18", many, 422, "more than"},
        {"j-19", json::array(), 201, "pending"}, {"j-20", nullptr, 201, "pending"},
    };
}
TEST(DependencyScenario, AnswersSubmissionsByTheStateOfAwaitedJobs) {
    spdlog::set_level(spdlog::level::off);
    SimulatedCluster cluster({});
    cluster.at(2, [&cluster] {
        cluster.submit("j-1", "batch", 2, 3);
        cluster.submit("j-2", "service", 1, 0);
        cluster.submit("j-3", "batch", 2, 60);
        cluster.submit("j-4", "batch", 2, 600);
    });
    cluster.run_until(20);
    cluster.cancel("j-3");
    cluster.run_until(40);
    ASSERT_TRUE(cluster.jobs["j-1"].done && cluster.jobs["j-3"].cancelled);
    for (auto& test_case : submission_cases()) {
        json spec = cluster.jobs["j-1"].spec;
        spec["id"] = test_case.id;
        spec["awaits"] = test_case.awaits;
        if (!cluster.jobs.contains(test_case.id) && test_case.status == 201)
            cluster.expect_job(test_case.id, spec);
        int status = 0;
        std::string body;
        cluster.post(spec.dump(), [&](const http::Response& response) {
            status = response.status;
            body = response.body;
        });
        cluster.run_until(cluster.now() + 8);
        EXPECT_EQ(status, test_case.status) << test_case.id << " " << test_case.awaits;
        EXPECT_NE(body.find(test_case.says), std::string::npos) << test_case.id << ": " << body;
    }
    expect_no_violations(cluster);
}
// Submits the jobs `first` + 1 to `end` - 1, each of which awaits the job with the preceding number.
void submit_chain(SimulatedCluster& cluster, int first, int end, double run_s) {
    auto id = [](int number) { return "j-" + std::to_string(number); };
    for (int k = first + 1; k < end; ++k) cluster.submit_awaiting(id(k), "batch", 1, run_s, {id(k - 1)});
}
// Guards against answering "pending" for a dependent of a cancelled job. No controller can store the end of
// the dependents while the key-value store is unavailable, and there may be no leader right after the outage.
// The controller that answers must then derive the state from the awaited jobs.
TEST(DependencyScenario, CancelsDependentsDuringAnOutageWithoutALeader) {
    spdlog::set_level(spdlog::level::off);
    for (std::uint64_t seed : {1, 2, 3}) {
        Options options;
        options.seed = seed;
        SimulatedCluster cluster(options);
        cluster.at(2, [&cluster] {
            cluster.submit("j-1", "service", 1, 0);
            cluster.submit("j-10", "batch", 1, 100);
            submit_chain(cluster, 10, 30, 1);
        });
        cluster.run_until(30);
        cluster.cancel("j-10");
        cluster.run_until(30.2);  // the cancellation is confirmed, and hardly anything else has happened
        ASSERT_TRUE(cluster.jobs["j-10"].cancelled);
        cluster.key_value_store.start_outage(options.cancel_s + 1);
        cluster.at(30.2 + options.cancel_s, [&cluster] { cluster.crash(leader_of(cluster), 4); });
        cluster.run_until(120);
        expect_no_violations(cluster);
        for (int k = 11; k < 30; ++k) EXPECT_TRUE(cluster.jobs["j-" + std::to_string(k)].cancelled) << k;
    }
}
// A controller without the key-value store forwards users' requests to other controllers. Guards against
// forwarding a submission that awaits jobs to a version that does not support this: that version would store
// a job that may start at once. The submission is answered with 503 instead.
TEST(DependencyScenario, ForwardsNoDependentJobToAnOlderVersion) {
    spdlog::set_level(spdlog::level::off);
    struct Case {
        bool pings_of_previous_version, awaits;
        int status;
    };
    for (auto& test_case :
         {Case{false, false, 201}, Case{false, true, 201}, Case{true, false, 201}, Case{true, true, 503}}) {
        Options options;
        options.pings_of_previous_version = test_case.pings_of_previous_version;
        SimulatedCluster cluster(options);
        cluster.at(2, [&cluster] { cluster.submit("j-1", "batch", 1, 300); });
        cluster.run_until(20);
        auto cut = (leader_of(cluster) + 1) % 3;
        cluster.refuse_at_key_value_store(cut, 60);
        cluster.run_until(30);
        auto spec = cluster.jobs["j-1"].spec;
        spec["id"] = "j-2";
        if (test_case.awaits) spec["awaits"] = {"j-1"};
        cluster.expect_job("j-2", spec);
        int status = 0;
        cluster.post_job_to(cut, spec.dump(), [&](http::Response response) { status = response.status; });
        cluster.run_until(60);
        EXPECT_EQ(status, test_case.status) << test_case.pings_of_previous_version << test_case.awaits;
        expect_no_violations(cluster);
    }
}
// Guards against one read of a final record per query: hundreds of queries that depend on how one job ended
// must share few reads of its final record.
TEST(DependencyScenario, SharesTheReadOfAnEndAmongManyQueries) {
    spdlog::set_level(spdlog::level::off);
    SimulatedCluster cluster({});
    cluster.at(2, [&cluster] {
        cluster.submit("j-1", "batch", 1, 3);
        submit_chain(cluster, 1, 60, 600);
    });
    cluster.run_until(30);
    ASSERT_TRUE(cluster.jobs["j-1"].done);
    for (std::size_t k = 0; k < 3; ++k) cluster.crash(k, 1);  // so that no controller has the state in memory
    cluster.run_until(31.2);
    cluster.key_value_store.reads.clear();
    for (int k = 0; k < 5; ++k) cluster.query_all_jobs();
    cluster.run_until(36);
    EXPECT_GT(cluster.key_value_store.reads["/kv/final/j-1"], 0u);
    EXPECT_LE(cluster.key_value_store.reads["/kv/final/j-1"],
              8u);  // one read by each controller, one more by the leader, and queries of j-1 itself
    expect_no_violations(cluster);
}

}  // namespace
}  // namespace coralhitch::simulation

// Tests of submissions that cannot run or lack a field, and of requests that conflict with a job's state,
// during other faults.
#include <array>

#include "scenarios/parameter_names.hpp"
#include "scenarios/scenario_support.hpp"

namespace coralhitch::simulation {
namespace {

constexpr std::size_t controllers = 3;

// A submission that must be refused.
struct InvalidRequest {
    std::string id;
    json body;
    int refused;  // HTTP status of the answer without a fault
};
constexpr std::array needed_fields{"cohort",    "crew",     "shape",    "rank",     "shards",   "vcpus",
                                   "cards",     "ram_gb",   "payload",  "image_gb", "together", "scatter",
                                   "driftwood", "reckon_s", "anchor_s", "stow_s"};

json plain_job(const std::string& id, const json& more = json::object()) {
    json spec{{"id", id},         {"cohort", "c"},     {"crew", "free"},  {"shape", "batch"},
              {"rank", "normal"}, {"shards", 1},       {"vcpus", 1.0},    {"cards", 1.0},
              {"ram_gb", 2.0},    {"payload", "img"},  {"image_gb", 1.0}, {"together", false},
              {"scatter", false}, {"driftwood", true}, {"reckon_s", 5.0}, {"anchor_s", 5.0},
              {"stow_s", 1.0}};
    spec.update(more);
    return spec;
}
std::vector<InvalidRequest> make_invalid_requests() {
    const std::vector<std::pair<json, int>> changes{
        {{{"cards", machine_gpus + 1}}, 422},
        {{{"crew", "tight"}, {"shape", "gang"}, {"shards", 13}}, 422},  // the team's limit is 12
        {{{"crew", "nobody"}}, 422},
        {{{"hulls", {"no such type"}}}, 422},
        {{{"reef", "nowhere"}}, 422},
        {{{"awaits", {"j-999999"}}}, 422},
        {{{"shards", 0}}, 400},
        {{{"shards", -1}}, 400},
        {{{"shards", "two"}}, 400},
        {{{"shape", "heap"}}, 400},
        {{{"rank", 3}}, 400},
        {{{"awaits", "j-1"}}, 400},
    };
    std::vector<InvalidRequest> all;
    auto next = [&] { return "j-" + std::to_string(800000 + all.size()); };
    for (auto& [more, refused] : changes) all.push_back({next(), plain_job(next(), more), refused});
    for (auto* field : needed_fields) {
        auto id = next();
        auto body = plain_job(id);
        body.erase(field);
        all.push_back({id, body, 400});
    }
    return all;
}

enum class FaultDuringRequest {
    nothing,
    types_unknown,
    store_outage,
    store_slow,
    refused,
    leader_crashed,
    all_crashed
};
struct FaultCase {
    const char* name;
    FaultDuringRequest fault;
};
void PrintTo(const FaultCase& fault_case, std::ostream* out) {
    *out << fault_case.name;
}
const FaultCase fault_cases[] = {
    {"nothing", FaultDuringRequest::nothing},
    {"types unknown", FaultDuringRequest::types_unknown},
    {"key-value store out", FaultDuringRequest::store_outage},
    {"key-value store slow", FaultDuringRequest::store_slow},
    {"key-value store refuses one", FaultDuringRequest::refused},
    {"leader just ended", FaultDuringRequest::leader_crashed},
    {"all just ended", FaultDuringRequest::all_crashed},
};
constexpr double fault_at_s = 30, fault_s = 9;
// Times of the requests in s after the fault begins. The first requests reach a controller that has just
// started.
constexpr std::array request_times{0.25, 0.6, 1.5, 3.0, 6.0};

void start_fault(SimulatedCluster& cluster, FaultDuringRequest fault) {
    if (fault == FaultDuringRequest::types_unknown)
        cluster.start_cloud_outage(fault_at_s + fault_s);  // begins with the simulation
    cluster.at(fault_at_s, [&cluster, fault] {
        if (fault == FaultDuringRequest::store_outage) cluster.key_value_store.start_outage(fault_s);
        if (fault == FaultDuringRequest::store_slow) cluster.key_value_store.slow_down(fault_s, 1.5);
        if (fault == FaultDuringRequest::refused)
            cluster.refuse_at_key_value_store(leader_of(cluster), fault_s);
        if (fault == FaultDuringRequest::leader_crashed || fault == FaultDuringRequest::all_crashed)
            for (std::size_t n = 0; n < controllers; ++n)
                if (fault == FaultDuringRequest::all_crashed || n == leader_of(cluster))
                    cluster.crash(n, 0.2);
    });
}

class InvalidRequestDuringFault : public testing::TestWithParam<FaultCase> {};
INSTANTIATE_TEST_SUITE_P(FaultCombinations, InvalidRequestDuringFault, testing::ValuesIn(fault_cases),
                         NameOfCase());

// Counts of the controllers' answers to invalid submissions.
struct Refusals {
    std::size_t sent = 0, during_fault = 0, afterwards = 0;
    std::size_t unavailable = 0;  // answers with status 503
};
// Sends the request to each controller and checks the status of each answer.
void submit_invalid(SimulatedCluster& cluster, double time, const InvalidRequest& request, bool fault_over,
                    Refusals& refusals) {
    for (std::size_t n = 0; n < controllers; ++n)
        cluster.at(time, [&cluster, &request, &refusals, n, fault_over] {
            // A crashed controller is down for 0.2 s only, which is over before the first request.
            ++refusals.sent;
            cluster.post_job_to(n, request.body.dump(), [&, fault_over](http::Response response) {
                bool unavailable = response.status == 503;
                ++(fault_over ? refusals.afterwards : refusals.during_fault);
                refusals.unavailable += unavailable;
                bool right = response.status == request.refused || (!fault_over && unavailable);
                if (!right)
                    ADD_FAILURE() << cluster.now() << " " << request.id << " " << response.status << " "
                                  << response.body;
            });
        });
}
// Submits a valid job to each controller. It must not be refused because of the fault, except with status
// 503.
void submit_valid(SimulatedCluster& cluster, const std::string& id, std::size_t& accepted) {
    auto body = plain_job(id);
    cluster.expect_job(id, body);
    for (std::size_t n = 0; n < controllers; ++n)
        cluster.post_job_to(n, body.dump(), [&cluster, &accepted](http::Response response) {
            accepted += response.status == 201;
            bool right = response.status == 200 || response.status == 201 || response.status == 503;
            if (!right) ADD_FAILURE() << cluster.now() << " " << response.status << " " << response.body;
        });
}
// During a fault, every controller must answer an invalid submission with the status it gives without a
// fault, or with 503. After the fault, it must give the status of the error again. Nothing of the job may be
// stored.
TEST_P(InvalidRequestDuringFault, IsNeverAccepted) {
    spdlog::set_level(spdlog::level::off);
    auto fault = GetParam().fault;
    SimulatedCluster cluster({});
    start_fault(cluster, fault);
    auto invalid_requests = make_invalid_requests();
    for (auto& request : invalid_requests) cluster.expect_refusal(request.id, request.body, request.refused);
    Refusals refusals;
    auto submit_all = [&](double time, bool fault_over) {
        for (auto& request : invalid_requests) submit_invalid(cluster, time, request, fault_over, refusals);
    };
    for (double after : request_times) submit_all(fault_at_s + after, false);
    submit_all(fault_at_s + fault_s + 15, true);
    std::size_t accepted = 0;
    for (double after : {0.3, 2.0, 5.0})
        cluster.at(fault_at_s + after, [&, id = "j-" + std::to_string(static_cast<int>(10 * after))] {
            submit_valid(cluster, id, accepted);
        });
    cluster.run_until(100);
    EXPECT_EQ(refusals.during_fault + refusals.afterwards, refusals.sent);  // every request was answered
    EXPECT_EQ(refusals.afterwards, invalid_requests.size() * controllers);
    bool all_503 = fault == FaultDuringRequest::types_unknown || fault == FaultDuringRequest::store_outage;
    EXPECT_GE(refusals.unavailable, all_503 ? refusals.sent / 8 : 0u) << "of " << refusals.sent;
    EXPECT_TRUE(refusals.unavailable == 0 || fault != FaultDuringRequest::nothing);
    EXPECT_LE(accepted, 3u);  // each of the three jobs at most once
    for (auto& request : invalid_requests)
        EXPECT_THROW(cluster.key_value_store.record("job/" + request.id), std::out_of_range) << request.id;
    expect_no_violations(cluster);
}

// Counts of repeated requests and of their answers.
struct RepeatedRequests {
    std::size_t sent = 0, answered = 0, successful = 0;
};
// Returns a reply handler that checks an answer about the job: its status must be `final_state` or, if that
// is empty, the status of an unfinished job. During the fault, 503 is allowed too.
http::Reply check_answer(SimulatedCluster& cluster, const std::string& id, const std::string& final_state,
                         bool fault_over, RepeatedRequests& requests) {
    ++requests.sent;
    return [&cluster, &requests, id, final_state, fault_over](http::Response response) {
        ++requests.answered;
        requests.successful += response.status == 200;
        if (response.status == 503 && !fault_over) return;
        bool right = response.status == 200;
        if (right) {
            auto status = json::parse(response.body)["status"].get<std::string>();
            bool unfinished = status == "pending" || status == "running";
            right = final_state.empty() ? unfinished : status == final_state;
        }
        if (!right)
            ADD_FAILURE() << cluster.now() << " " << id << " " << response.status << " " << response.body;
    };
}
void repeat_unfinished(SimulatedCluster& cluster, std::size_t node, const char* id, bool fault_over,
                       RepeatedRequests& requests) {
    auto without_team = plain_job(id);
    without_team.erase("crew");
    for (auto& body :
         {plain_job(id, {{"shards", 5}, {"crew", "tight"}}), without_team,
          plain_job(id, {{"cards", machine_gpus + 1}}), plain_job(id, {{"awaits", {"j-999999"}}})})
        cluster.post_job_to(node, body.dump(), check_answer(cluster, id, "", fault_over, requests));
}
void cancel_and_repeat_done(SimulatedCluster& cluster, std::size_t node, const char* id, bool fault_over,
                            RepeatedRequests& requests) {
    cluster.send_user_request(node, {"POST", std::string("/api/jobs/") + id + "/cancel", ""},
                              check_answer(cluster, id, "done", fault_over, requests));
    cluster.post_job_to(node, plain_job(id, {{"shards", 7}}).dump(),
                        check_answer(cluster, id, "done", fault_over, requests));
}
void repeat_all(SimulatedCluster& cluster, bool fault_over, RepeatedRequests& requests) {
    for (std::size_t n = 0; n < controllers; ++n) {
        for (auto* id : {"j-1", "j-2"}) repeat_unfinished(cluster, n, id, fault_over, requests);
        for (auto* id : {"j-3", "j-4"}) cancel_and_repeat_done(cluster, n, id, fault_over, requests);
    }
}
// Restarts all controllers during a cloud outage, after the stored machine types have been removed.
void start_without_types(SimulatedCluster& cluster) {
    cluster.at(fault_at_s - 0.1, [&cluster] {
        cluster.start_cloud_outage(fault_s);
        cluster.key_value_store.tamper_with("types", std::nullopt);
        for (std::size_t n = 0; n < controllers; ++n) cluster.crash(n, 0.2);
    });
}
// Submissions of unfinished and of done jobs are repeated with other bodies, valid and invalid, and done jobs
// are cancelled. Each job must stay as it was first accepted or ended, and no answer may be a refusal.
TEST_P(InvalidRequestDuringFault, ChangesNoJob) {
    spdlog::set_level(spdlog::level::off);
    auto fault = GetParam().fault;
    SimulatedCluster cluster({});
    if (fault == FaultDuringRequest::types_unknown)
        start_without_types(cluster);
    else
        start_fault(cluster, fault);
    cluster.at(2, [&cluster] {
        cluster.submit("j-1", "batch", 2, 500);
        cluster.submit("j-2", "service", 2, 0);
        cluster.submit("j-3", "batch", 1, 3);
        cluster.submit("j-4", "gang", 2, 3);
    });
    cluster.run_until(fault_at_s - 0.5);
    ASSERT_TRUE(cluster.jobs["j-3"].done && cluster.jobs["j-4"].done);
    std::map<std::string, std::string> first;
    for (auto* key : {"job/j-1", "job/j-2", "final/j-3", "final/j-4"})
        first[key] = cluster.key_value_store.record(key);
    RepeatedRequests requests;
    for (double after : request_times)
        cluster.at(fault_at_s + after, [&] { repeat_all(cluster, false, requests); });
    cluster.at(fault_at_s + fault_s + 15, [&] { repeat_all(cluster, true, requests); });
    cluster.run_until(110);
    EXPECT_EQ(requests.answered, requests.sent);
    EXPECT_GT(requests.successful, requests.sent / 8);
    for (auto& [key, value] : first) EXPECT_EQ(cluster.key_value_store.record(key), value) << key;
    for (auto* key : {"final/j-1", "final/j-2", "job/j-3", "job/j-4"})
        EXPECT_THROW(cluster.key_value_store.record(key), std::out_of_range) << key;
    EXPECT_EQ(tasks_on_machines(cluster, "j-1"), 2u);
    EXPECT_EQ(tasks_on_machines(cluster, "j-2"), 2u);
    EXPECT_EQ(cluster.restarts_of_done_tasks, 0u);
    expect_no_violations(cluster);
}

}  // namespace
}  // namespace coralhitch::simulation

// Jobs that can't run or lack a field, and requests that make no sense, in the midst of other troubles.
#include <array>

#include "scenarios/fault_combinations_support.hpp"
#include "scenarios/parameter_names.hpp"

namespace coralhitch::simulation {
namespace {

constexpr std::size_t controllers = 3;

// What users send that must be refused, with what it gets once nothing is in the way.
struct Odd {
    std::string id;
    json body;
    int refused;
};
constexpr std::array needed_fields{"cohort",    "crew",     "shape",    "rank",     "shards",   "vcpus",
                                   "cards",     "ram_gb",   "payload",  "image_gb", "together", "scatter",
                                   "driftwood", "reckon_s", "anchor_s", "stow_s"};

json plain(const std::string& id, const json& more = json::object()) {
    json j{{"id", id},         {"cohort", "c"},     {"crew", "free"},  {"shape", "batch"},
           {"rank", "normal"}, {"shards", 1},       {"vcpus", 1.0},    {"cards", 1.0},
           {"ram_gb", 2.0},    {"payload", "img"},  {"image_gb", 1.0}, {"together", false},
           {"scatter", false}, {"driftwood", true}, {"reckon_s", 5.0}, {"anchor_s", 5.0},
           {"stow_s", 1.0}};
    j.update(more);
    return j;
}
std::vector<Odd> odd_ones() {
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
    std::vector<Odd> all;
    auto next = [&] { return "j-" + std::to_string(800000 + all.size()); };
    for (auto& [more, refused] : changes) all.push_back({next(), plain(next(), more), refused});
    for (auto* field : needed_fields) {
        auto id = next();
        auto body = plain(id);
        body.erase(field);
        all.push_back({id, body, 400});
    }
    return all;
}

enum class FaultDuringRequest { nothing, types_unknown, state_out, state_slow, refused, leader_ended, all_ended };
struct FaultCase {
    const char* name;
    FaultDuringRequest meets;
};
void PrintTo(const FaultCase& m, std::ostream* out) {
    *out << m.name;
}
const FaultCase fault_cases[] = {
    {"nothing", FaultDuringRequest::nothing},
    {"types unknown", FaultDuringRequest::types_unknown},
    {"state service out", FaultDuringRequest::state_out},
    {"state service slow", FaultDuringRequest::state_slow},
    {"state service refuses one", FaultDuringRequest::refused},
    {"leader just ended", FaultDuringRequest::leader_ended},
    {"all just ended", FaultDuringRequest::all_ended},
};
constexpr double trouble_at = 30, trouble_s = 9;

void begin(SimulatedCluster& w, FaultDuringRequest meets) {
    if (meets == FaultDuringRequest::types_unknown) w.start_cloud_outage(trouble_at + trouble_s);  // from the start
    w.at(trouble_at, [&w, meets] {
        if (meets == FaultDuringRequest::state_out) w.start_key_value_store_outage(trouble_s);
        if (meets == FaultDuringRequest::state_slow) w.slow_key_value_store(trouble_s, 1.5);
        if (meets == FaultDuringRequest::refused) w.refuse_at_key_value_store(leader_of(w), trouble_s);
        if (meets == FaultDuringRequest::leader_ended || meets == FaultDuringRequest::all_ended)
            for (std::size_t n = 0; n < controllers; ++n)
                if (meets == FaultDuringRequest::all_ended || n == leader_of(w)) w.crash(n, 0.2);
    });
}

class InvalidRequestDuringFault : public testing::TestWithParam<FaultCase> {};
INSTANTIATE_TEST_SUITE_P(FaultCombinations, InvalidRequestDuringFault, testing::ValuesIn(fault_cases),
                         NameOfCase());

// Every node, in trouble: refused as it is without trouble, or 503; never accepted. Nothing of it is stored,
// and once the trouble is over each is refused with its own code.
TEST_P(InvalidRequestDuringFault, IsNeverAccepted) {
    spdlog::set_level(spdlog::level::off);
    auto meets = GetParam().meets;
    SimulatedCluster w({});
    begin(w, meets);
    auto odd = odd_ones();
    for (auto& o : odd) w.jobs[o.id].spec = o.body, w.jobs[o.id].refused = o.refused;
    std::size_t sent = 0, in_trouble = 0, by_503 = 0, afterwards = 0;
    auto ask = [&](double t, bool over) {
        for (auto& o : odd)
            for (std::size_t n = 0; n < controllers; ++n)
                w.at(t, [&, n, over] {
                    // A controller that is down can't be asked; it is back in 0.2 s.
                    ++sent;
                    w.post_job_to(n, o.body.dump(), [&, over](http::Response r) {
                        ++(over ? afterwards : in_trouble);
                        by_503 += r.status == 503;
                        bool right = r.status == o.refused || (!over && r.status == 503);
                        if (!right)
                            ADD_FAILURE() << w.now() << " " << o.id << " " << r.status << " " << r.body;
                    });
                });
    };
    // The first ones find a controller that has just begun.
    for (double after : {0.25, 0.6, 1.5, 3.0, 6.0}) ask(trouble_at + after, false);
    ask(trouble_at + trouble_s + 15, true);
    // What can run is not refused for a trouble either.
    std::size_t accepted = 0;
    for (double after : {0.3, 2.0, 5.0})
        w.at(trouble_at + after, [&, id = "j-" + std::to_string(static_cast<int>(10 * after))] {
            auto body = plain(id);
            w.jobs[id].spec = body;
            for (std::size_t n = 0; n < controllers; ++n)
                w.post_job_to(n, body.dump(), [&w, &accepted](http::Response r) {
                    accepted += r.status == 201;
                    bool right = r.status == 200 || r.status == 201 || r.status == 503;
                    if (!right) ADD_FAILURE() << w.now() << " " << r.status << " " << r.body;
                });
        });
    w.run_until(100);
    EXPECT_EQ(in_trouble + afterwards, sent);  // all are answered
    EXPECT_EQ(afterwards, odd.size() * controllers);
    bool all_503 = meets == FaultDuringRequest::types_unknown || meets == FaultDuringRequest::state_out;
    EXPECT_GE(by_503, all_503 ? sent / 8 : 0u) << "of " << sent;
    EXPECT_TRUE(by_503 == 0 || meets != FaultDuringRequest::nothing);
    EXPECT_LE(accepted, 3u);  // each once
    for (auto& o : odd) EXPECT_THROW(w.record("job/" + o.id), std::out_of_range) << o.id;
    expect_no_violations(w);
}

// The submission of an unfinished job is repeated with other bodies, good and bad, and jobs that are done are
// cancelled: the job stays as it was first accepted, and no answer is a refusal.
TEST_P(InvalidRequestDuringFault, ChangesNoJob) {
    spdlog::set_level(spdlog::level::off);
    auto meets = GetParam().meets;
    SimulatedCluster w({});
    if (meets == FaultDuringRequest::types_unknown) {  // to controllers that have just begun; nothing was stored of them
        w.at(trouble_at - 0.1, [&w] {
            w.start_cloud_outage(trouble_s);
            w.tamper_with_record("types", std::nullopt);
            for (std::size_t n = 0; n < controllers; ++n) w.crash(n, 0.2);
        });
    } else {
        begin(w, meets);
    }
    w.at(2, [&w] {
        w.submit("j-1", "batch", 2, 500);
        w.submit("j-2", "service", 2, 0);
        w.submit("j-3", "batch", 1, 3);
        w.submit("j-4", "gang", 2, 3);
    });
    w.run_until(trouble_at - 0.5);
    ASSERT_TRUE(w.jobs["j-3"].done && w.jobs["j-4"].done);
    std::map<std::string, std::string> first;
    for (auto* key : {"job/j-1", "job/j-2", "final/j-3", "final/j-4"}) first[key] = w.record(key);
    std::size_t sent = 0, answered = 0, good = 0;
    auto judge = [&](const std::string& id, const char* over, bool afterwards) {
        return [&, id, over, afterwards](http::Response r) {
            ++answered;
            good += r.status == 200;
            if (r.status == 503 && !afterwards) return;
            bool right = r.status == 200;
            if (right) {
                auto status = json::parse(r.body)["status"].get<std::string>();
                right = over ? status == over : status == "pending" || status == "running";
            }
            if (!right) ADD_FAILURE() << w.now() << " " << id << " " << r.status << " " << r.body;
        };
    };
    auto ask = [&](double t, bool afterwards) {
        w.at(t, [&, afterwards] {
            for (std::size_t n = 0; n < controllers; ++n) {
                for (auto* id : {"j-1", "j-2"}) {
                    auto without = plain(id);
                    without.erase("crew");
                    for (auto& body :
                         {plain(id, {{"shards", 5}, {"crew", "tight"}}), without,
                          plain(id, {{"cards", machine_gpus + 1}}), plain(id, {{"awaits", {"j-999999"}}})}) {
                        ++sent;
                        w.post_job_to(n, body.dump(), judge(id, nullptr, afterwards));
                    }
                }
                for (auto* id : {"j-3", "j-4"}) {
                    sent += 2;
                    w.send_user_request(n, {"POST", std::string("/api/jobs/") + id + "/cancel", ""},
                               judge(id, "done", afterwards));
                    w.post_job_to(n, plain(id, {{"shards", 7}}).dump(), judge(id, "done", afterwards));
                }
            }
        });
    };
    for (double after : {0.25, 0.6, 1.5, 3.0, 6.0}) ask(trouble_at + after, false);
    ask(trouble_at + trouble_s + 15, true);
    w.run_until(110);
    EXPECT_EQ(answered, sent);
    EXPECT_GT(good, sent / 8);
    for (auto& [key, value] : first) EXPECT_EQ(w.record(key), value) << key;
    for (auto* key : {"final/j-1", "final/j-2", "job/j-3", "job/j-4"})
        EXPECT_THROW(w.record(key), std::out_of_range) << key;
    EXPECT_EQ(on_machines(w, "j-1"), 2u);
    EXPECT_EQ(on_machines(w, "j-2"), 2u);
    EXPECT_EQ(w.restarts_of_done_tasks, 0u);
    expect_no_violations(w);
}

}  // namespace
}  // namespace coralhitch::simulation

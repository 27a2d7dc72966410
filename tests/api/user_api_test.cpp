// UserApi at several controllers that share one key-value store.
#include "api/user_api.hpp"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <random>
#include <set>

#include "kv/keys.hpp"
#include "support/fake_key_value_store.hpp"
#include "support/fake_timers.hpp"

namespace coralhitch::api {
namespace {
using nlohmann::json;
namespace keys = kv::keys;

struct FakeCluster : ClusterQueries {
    std::vector<protocol::MachineType> kinds{protocol::parse_types(
        R"({"hulls":[{"name":"g8","vcpus":96,"cards":8,"ram_gb":768,"cache_gb":200,"fetch_gb_per_s":1,)"
        R"("hourly":12,"spot_price":4,"startup_s":45,"reefs":["a"]}]})")};
    std::vector<std::string> notified;
    const std::vector<protocol::MachineType>& machine_types() const override { return kinds; }
    void task_counts(const std::string&, TaskCountsCallback done) override { done(TaskCounts{}); }
    void notify_cancelled(const std::string& id, std::uint64_t) override { notified.push_back(id); }
};

std::string spec(const std::string& id, const std::string& team = "t1") {
    return json{{"id", id},         {"cohort", "c"},     {"crew", team},     {"shape", "batch"},
                {"rank", "high"},   {"shards", 1},       {"vcpus", 1.0},     {"cards", 0.0},
                {"ram_gb", 1.0},    {"payload", "i"},    {"image_gb", 1.0},  {"hulls", nullptr},
                {"reef", nullptr},  {"together", false}, {"scatter", false}, {"driftwood", true},
                {"reckon_s", 20.0}, {"anchor_s", 0.0},   {"stow_s", 0.0},    {"tide_s", nullptr}}
        .dump();
}

// An answer, with the times of the question and of the answer.
struct Answer {
    double sent = 0, answered = 0;
    int status = 0;
    std::string state;
    double retry_after_s = 0;
    bool shed() const { return status == 503 || status == 429; }
};

struct Site {
    FakeTimers timers;
    FakeKeyValueStore service{timers};
    config::Settings settings = [] {
        config::Settings s;
        s.nodes = 3;
        s.report_s = 5;
        s.lease_s = 31;
        s.state_rps = 250;
        s.state_write_rps = 50;
        s.value_kb = s.safe_value_kb = 16;
        s.txn_ops = 24;
        s.memory_mb = 100;
        s.teams = {{"t1"}, {"t2"}};
        return s;
    }();
    FakeCluster cluster;
    struct Node {
        kv::KvClient client;
        UserApi users;
        explicit Node(Site& s)
            : client(s.timers, s.service, s.settings), users(s.timers, client, s.settings, s.cluster) {}
    };
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<std::unique_ptr<Answer>> answers;

    Site() {
        for (int k = 0; k < 3; ++k) nodes.push_back(std::make_unique<Node>(*this));
    }
    UserApi& at(std::size_t node) { return nodes[node]->users; }
    http::Reply note(Answer*& kept) {
        answers.push_back(std::make_unique<Answer>());
        auto* a = kept = answers.back().get();
        a->sent = timers.now();
        return [this, a](http::Response r) {
            auto body = json::parse(r.body);
            *a = {a->sent, timers.now(), r.status, body.value("status", ""), r.retry_after_s};
        };
    }
    Answer* submit(std::size_t node, const std::string& id, const std::string& team = "t1") {
        Answer* a;
        auto reply = note(a);
        at(node).submit(spec(id, team), std::move(reply));
        return a;
    }
    Answer* query(std::size_t node, const std::string& id) {
        Answer* a;
        auto reply = note(a);
        at(node).query(id, std::move(reply));
        return a;
    }
    Answer* cancel(std::size_t node, const std::string& id) {
        Answer* a;
        auto reply = note(a);
        at(node).cancel(id, std::move(reply));
        return a;
    }
    // As the leader stores it: only if the record is as it was read.
    void store_end(const std::string& id) {
        auto it = service.kv.find(keys::job(id));
        if (it == service.kv.end()) return;
        bool cancelled = it->second.first.dump().find("\"cancelled\":true") != std::string::npos;
        protocol::Txn t;
        t.conditions = {{keys::job(id), it->second.second}};
        t.changes = {{keys::final(id),
                      protocol::stored(protocol::FinalRecord{
                          cancelled ? protocol::JobState::cancelled : protocol::JobState::done, 1}),
                      0},
                     {keys::job(id), std::nullopt, 0}};
        service.send("", {"POST", "/txn", protocol::txn_request(t)}, 1, [](auto) {});
    }
};

// How far along a job is. Done and cancelled are both final: never one after the other.
int progress_rank(const Answer& a) {
    if (a.status == 404) return 0;
    return a.state == "pending" || a.state == "running" ? 1 : 2;
}
void expect_no_older_answer(const std::vector<Answer*>& all, const std::string& when) {
    for (auto* a : all)
        for (auto* b : all) {
            if (a->status == 0 || b->status == 0 || a->shed() || b->shed() || b->sent <= a->answered)
                continue;
            EXPECT_GE(progress_rank(*b), progress_rank(*a))
                << when << ": " << a->state << " answered at " << a->answered << ", " << b->state << b->status
                << " for a question of " << b->sent;
            if (progress_rank(*a) == 2) {
                EXPECT_EQ(a->state, b->state) << when;
            }
        }
}

// Queries at all controllers every few milliseconds, and repeated submissions, while jobs are accepted,
// cancelled at two controllers at once, and end somewhat before or after that.
TEST(UserApi, NeverAnswersWithAnOlderStateUnderFrequentQueries) {
    const double ends_ms[] = {-100, -20, -8, -3, 0, 3, 8, 20, 60, 150, 400};
    Site s;
    // Executed at once and answered later: an answer in flight may be older than answers already given.
    std::minstd_rand random(7);
    s.service.latency = [&] { return std::uniform_real_distribution(0.002, 0.2)(random); };
    struct JobRun {
        std::string id;
        double submitted, cancelled, ends;
        std::vector<Answer*> answers = {};
    };
    std::vector<JobRun> runs;
    for (int k = 0; k < 44; ++k) {
        double submitted = 1 + k * 0.25, cancelled = submitted + 1;
        runs.push_back({"j-" + std::to_string(100000 + k), submitted, cancelled,
                        cancelled + ends_ms[static_cast<std::size_t>(k) % std::size(ends_ms)] / 1000});
    }
    constexpr double step = 0.009, observed_s = 1.8;
    for (double now = 0.9; now < 15; now += step) {
        s.timers.run_until(now);
        auto at = [&](double t) { return now >= t && now < t + step; };
        for (auto& run : runs) {
            if (now < run.submitted || now > run.submitted + observed_s) continue;
            if (at(run.cancelled))
                for (std::size_t n : {0, 2}) run.answers.push_back(s.cancel(n, run.id));
            if (at(run.ends)) s.store_end(run.id);
            bool repeat = at(run.submitted) || at(run.submitted + 0.3) || at(run.cancelled + 0.05);
            for (std::size_t n : {0, 1, 2}) {
                if (repeat) run.answers.push_back(s.submit(n, run.id));
                run.answers.push_back(s.query(n, run.id));
            }
        }
    }
    s.timers.run_until(20);
    std::map<std::string, int> state_counts;
    for (auto& run : runs) {
        expect_no_older_answer(run.answers, run.id);
        std::set<std::string> states;
        for (auto* a : run.answers) {
            EXPECT_NE(a->status, 0) << run.id;
            states.insert(a->state);
        }
        EXPECT_EQ(states.contains("done") + states.contains("withdrawn"), 1) << run.id;
        for (auto& state : states) ++state_counts[state];
    }
    EXPECT_GT(state_counts["done"], 5);
    EXPECT_GT(state_counts["withdrawn"], 5);
    EXPECT_GT(state_counts["pending"], 30);
}

// The transaction is carried out at once and only its answer is lost; others read what it wrote.
TEST(UserApi, AcceptsOnceWhenTheStoreAnswerIsLost) {
    for (bool cancelled_meanwhile : {false, true}) {
        Site s;
        s.service.fates = {FakeKeyValueStore::Fate::lost_after};
        auto* first = s.submit(0, "j-000001");
        s.timers.run_until(0.1);
        auto* read = s.query(1, "j-000001");
        auto* retry = s.submit(1, "j-000001");
        auto* same = s.submit(0, "j-000001");
        s.timers.run_until(1);
        if (cancelled_meanwhile) s.cancel(2, "j-000001");
        s.timers.run_until(10);
        auto* again = s.submit(0, "j-000001");
        s.timers.run_until(12);
        std::string now = cancelled_meanwhile ? "withdrawn" : "pending";
        EXPECT_EQ(read->state, "pending");
        EXPECT_EQ(retry->state, "pending");
        for (auto* a : {first, same, again}) {
            EXPECT_EQ(a->status, 200);
            EXPECT_EQ(a->state, now);
        }
        EXPECT_EQ(s.service.changes, cancelled_meanwhile ? 2 : 1);
    }
}
TEST(UserApi, NotifiesCancellationOnceWhenTheStoreAnswerIsLost) {
    Site s;
    s.submit(0, "j-000001");
    s.timers.run_until(1);
    s.service.fates = {FakeKeyValueStore::Fate::lost_after};
    auto* first = s.cancel(0, "j-000001");
    s.timers.run_until(1.1);
    auto* repeated = s.cancel(0, "j-000001");
    auto* elsewhere = s.cancel(1, "j-000001");
    s.timers.run_until(10);
    for (auto* a : {first, repeated, elsewhere}) {
        EXPECT_EQ(a->status, 200);
        EXPECT_EQ(a->state, "withdrawn");
    }
    EXPECT_EQ(s.service.changes, 2);
    EXPECT_EQ(s.cluster.notified, std::vector<std::string>{"j-000001"});
}

// Ends are read with one request, and no final state twice at one controller.
TEST(UserApi, SharesReadsBetweenQueriesAndReadsFinalStatesOnce) {
    Site s;
    constexpr int jobs = 60;
    auto id = [](int k) { return "j-" + std::to_string(100000 + k); };
    for (int k = 0; k < jobs; ++k) {
        s.submit(0, id(k));
        s.timers.run_until(1 + k * 0.2);
    }
    s.query(0, id(0));
    s.timers.run_until(20);
    for (int k = 0; k < jobs; ++k) s.store_end(id(k));
    s.timers.run_until(21);
    s.service.asked.clear();
    std::vector<Answer*> answers;
    for (int round = 0; round < 20; ++round)
        for (int k = 0; k < jobs; ++k) answers.push_back(s.query(0, id(k)));
    s.timers.run_until(22);
    for (auto* a : answers) EXPECT_EQ(a->state, "done");
    EXPECT_EQ(s.service.asked["kv"], 0);
    // For the first query, for all others together, and for all final records.
    EXPECT_LE(s.service.asked["watch"], 3);
    s.service.asked.clear();
    for (int k = 0; k < jobs; ++k) s.query(0, id(k)), s.submit(0, id(k)), s.cancel(0, id(k));
    s.timers.run_until(24);
    EXPECT_EQ(s.service.asked["kv"] + s.service.asked["watch"] + s.service.asked["txn"], 0);
}

// A repeated request uses up none of the writes that submissions wait for.
TEST(UserApi, RepeatedSubmissionsAndCancellationsCostNoWrite) {
    Site s;
    s.submit(0, "j-000001");
    for (int k = 0; k < 5; ++k) s.submit(0, "j-000001");
    s.timers.run_until(2);
    s.query(0, "j-000001");
    s.timers.run_until(3);
    s.service.asked.clear();
    for (int k = 0; k < 200; ++k) s.submit(0, "j-000001");
    s.timers.run_until(5);
    EXPECT_EQ(s.service.asked["txn"], 0);
    for (int k = 0; k < 100; ++k) s.cancel(0, "j-000001");
    s.timers.run_until(8);
    EXPECT_EQ(s.service.asked["txn"], 1);
    for (auto& a : s.answers) EXPECT_TRUE(a->status == 200 || a->status == 201) << a->status;
}

// The outcome of a stream of submissions at one controller after its burst is used up: `factor` times what
// the key-value store can store, with one of another team among each twenty.
struct SubmissionStream {
    double accepted = 0;  // of what can be stored
    double slowest = 0;   // answer in seconds
    int shed = 0, small_asked = 0, small_accepted = 0;
    explicit SubmissionStream(double factor) {
        Site s;
        auto& set = s.settings;
        double capacity = set.state_write_rps * 0.9 / Admission::writes_per_job / set.nodes;
        constexpr double begin = 61, end = 121;
        int n = 0;
        for (double t = 1; t < end; t += 1 / (capacity * (t < begin ? 5 : factor))) {
            s.timers.run_until(t);
            bool small = t >= begin && ++n % 20 == 0;
            s.submit(0, "j-" + std::to_string(100000 + s.answers.size()), small ? "t2" : "t1");
            if (!small) continue;
            ++small_asked;
            auto* a = s.answers.back().get();
            s.timers.run_until(t + 0.5 / (capacity * factor));
            small_accepted_.push_back(a);
        }
        s.timers.run_until(end + 10);
        for (auto& a : s.answers) {
            if (a->sent < begin) continue;
            EXPECT_NE(a->status, 0);
            slowest = std::max(slowest, a->answered - a->sent);
            shed += a->shed();
            if (a->shed()) {
                EXPECT_GE(a->retry_after_s, 1);
            }
            accepted += (a->status == 201) / ((end - begin) * capacity);
        }
        for (auto* a : small_accepted_) small_accepted += a->status == 201;
    }

  private:
    std::vector<Answer*> small_accepted_;
};
// Many jobs of one team come at once at the beginning of a day: they must not be rejected for the sake of
// teams that ask for nothing.
TEST(Admission, LetsOneTeamUseTheWholeBurstUnlessOthersAreActive) {
    auto settings = Site().settings;
    settings.teams = {{"t1", 0, 0, 0, 0}, {"t2", 0, 0, 0, 0}};
    double rate = settings.state_write_rps * 0.9 / Admission::writes_per_job / settings.nodes;
    auto reserve = static_cast<int>(rate * settings.lease_s * Admission::burst_leases);
    for (bool other : {false, true}) {
        Admission admission(settings);
        if (other) {
            EXPECT_TRUE(admission.admit("t2", 0.5));
        }
        int admitted = 0;
        while (admission.admit("t1", 1) && admitted < 10 * reserve) ++admitted;
        EXPECT_GE(admitted, (other ? 0.8 : 0.95) * reserve);
        EXPECT_LE(admitted, (other ? 0.95 : 1.05) * reserve);
        EXPECT_TRUE(!other || admission.admit("t2", 1));
    }
}
TEST(UserApi, RejectsOverloadAtOnceAndFairlyBetweenTeams) {
    SubmissionStream once(1), five(5);
    EXPECT_GE(once.accepted, 0.9);
    EXPECT_GE(five.accepted, 0.9 * once.accepted);
    EXPECT_LE(five.accepted, 1.1);
    for (auto* stream : {&once, &five}) EXPECT_LE(stream->slowest, 1);
    EXPECT_GT(five.shed, 0);
    EXPECT_GE(five.small_accepted, five.small_asked * 0.9) << "of the team that asks for little";
}
// Cancellations go before acceptances, which wait for the writes that are left.
TEST(UserApi, CancellationsDoNotWaitBehindSubmissions) {
    Site s;
    auto id = [](int k) { return "j-" + std::to_string(100000 + k); };
    for (int k = 0; k < 10; ++k) s.submit(0, id(k));
    s.timers.run_until(5);
    for (int k = 100; k < 300; ++k) s.submit(0, id(k));
    std::vector<Answer*> cancelled;
    for (int k = 0; k < 5; ++k) cancelled.push_back(s.cancel(0, id(k)));
    s.timers.run_until(15);
    for (auto* a : cancelled) {
        EXPECT_EQ(a->state, "withdrawn");
        EXPECT_LE(a->answered - a->sent, 1);
    }
    for (auto& a : s.answers) {
        EXPECT_NE(a->status, 0);
        EXPECT_LE(a->answered - a->sent, kv::submission_timeout_s);
    }
}

}  // namespace
}  // namespace coralhitch::api

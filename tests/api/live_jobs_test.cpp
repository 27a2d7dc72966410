// LiveJobs: many reads share one request, and no answer is older than its read.
#include "api/live_jobs.hpp"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "protocol/model.hpp"
#include "support/fake_timers.hpp"
#include "support/test_settings.hpp"

namespace coralhitch::api {
namespace {
using nlohmann::json;

// Key-value store that keeps the latest changes of job records. A test sets `fate`, which applies to each
// request sent while it is set.
class FakeJobRecordStore : public http::Requester {
  public:
    explicit FakeJobRecordStore(FakeTimers& t) : timers_(t) {}
    enum class Fate { answered, refused, lost };
    Fate fate = Fate::answered;
    double latency_s = 0.01;
    std::uint64_t revision = 0, compacted_revision = 0;  // changes up to the latter are not kept
    int requests = 0;

    void put(const std::string& id, bool cancelled, std::vector<std::string> awaits = {}) {
        json value{{awaits.empty() ? "job" : "awaiting_job", {{"awaits", awaits}}},
                   {"submitted", 1.0},
                   {"cancelled", cancelled}};
        kv_["job/" + id] = {value, ++revision};
        history_.push_back({{"put", "job/" + id}, {"value", value}, {"stamp", revision}});
    }
    void put_unreadable(const std::string& id) {
        json value{{"something", "of another version"}};
        kv_["job/" + id] = {value, ++revision};
        history_.push_back({{"put", "job/" + id}, {"value", value}, {"stamp", revision}});
    }
    void drop(const std::string& id) {
        kv_.erase("job/" + id);
        history_.push_back({{"drop", "job/" + id}, {"stamp", ++revision}});
    }
    void send(const std::string&, http::Request r, double timeout, http::Result result) override {
        ++requests;
        std::optional<http::Response> answer = execute(r);
        if (fate == Fate::refused) answer = http::Response{503, "{}"};
        if (fate == Fate::lost) answer = std::nullopt;
        timers_.after(answer ? latency_s : timeout, [answer, result] { result(answer); });
    }

  private:
    http::Response execute(const http::Request& r) {
        if (r.target.starts_with("/watch")) {
            auto since = std::stoull(r.target.substr(r.target.find("since=") + 6));
            if (since < compacted_revision) return {410, "{}"};
            json news = json::array();
            for (auto& e : history_)
                if (e["stamp"].get<std::uint64_t>() > since) news.push_back(e);
            return {200, json{{"epoch", revision}, {"news", news}}.dump()};
        }
        json entries = json::array();
        for (auto& [k, v] : kv_) entries.push_back({{"path", k}, {"value", v.first}, {"stamp", v.second}});
        return {200, json{{"entries", entries}, {"more", false}, {"epoch", revision}}.dump()};
    }
    FakeTimers& timers_;
    std::map<std::string, std::pair<json, std::uint64_t>> kv_;
    std::vector<json> history_;
};

struct LiveJobsFixture {
    FakeTimers timers;
    FakeJobRecordStore kv_store{timers};
    config::Settings settings = settings_of(
        {.nodes = 3, .heartbeat_interval_s = 3, .lease_s = 24, .kv_rps = 200, .kv_write_rps = 40});
    kv::KvClient client{timers, kv_store, settings};
    LiveJobs live{timers, client, settings};
    std::vector<std::string> answers;

    LiveJobsFixture() { kv_store.put("j-100", false); }
    void read(const std::string& id) {
        live.read(id, [this, id](LiveJobs::ReadResult result) {
            answers.push_back(!result.ok         ? "no answer"
                              : !result.live     ? "not live"
                              : result.undecided ? "depends on " + live.unresolved_dependencies_of({id}).at(0)
                              : result.live->cancelled ? "cancelled"
                                                       : "live");
        });
    }
};

struct Case {
    const char* name;
    std::function<void(LiveJobsFixture&)> run;
    std::vector<std::string> answers;
};
const Case cases[] = {
    {"a job accepted before the read", [](LiveJobsFixture& fixture) { fixture.read("j-1"); }, {"live"}},
    {"a change since the last answer",
     [](LiveJobsFixture& fixture) {
         fixture.read("j-1");
         fixture.timers.run_until(1);
         fixture.kv_store.put("j-1", true);
         fixture.read("j-1");
     },
     {"live", "cancelled"}},
    {"a change while a request is in flight: a read after the change waits for the next request",
     [](LiveJobsFixture& fixture) {
         fixture.read("j-1");
         fixture.timers.run_until(0.005);
         fixture.kv_store.put("j-1", true);
         fixture.read("j-1");
     },
     {"live", "cancelled"}},
    {"a job whose record can't be parsed is live",
     [](LiveJobsFixture& fixture) {
         fixture.kv_store.put_unreadable("j-2");
         fixture.read("j-2");
     },
     {"live"}},
    {"a job that has ended, and one that was never submitted",
     [](LiveJobsFixture& fixture) {
         fixture.read("j-1");
         fixture.timers.run_until(1);
         fixture.kv_store.drop("j-1");
         fixture.read("j-1");
         fixture.read("j-9");
     },
     {"live", "not live", "not live"}},
    {"a refused request: the copy must not answer the read",
     [](LiveJobsFixture& fixture) {
         fixture.read("j-1");
         fixture.timers.run_until(1);
         fixture.kv_store.fate = FakeJobRecordStore::Fate::refused;
         fixture.read("j-1");
         fixture.timers.run_until(2);
         fixture.kv_store.fate = FakeJobRecordStore::Fate::answered;
         fixture.read("j-1");
     },
     {"live", "no answer", "live"}},
    {"a lost answer: the next request returns its changes",
     [](LiveJobsFixture& fixture) {
         fixture.read("j-1");
         fixture.timers.run_until(1);
         fixture.kv_store.put("j-1", true);
         fixture.kv_store.fate = FakeJobRecordStore::Fate::lost;
         fixture.read("j-1");
         fixture.timers.run_until(5);
         fixture.kv_store.fate = FakeJobRecordStore::Fate::answered;
         fixture.read("j-1");
     },
     {"live", "no answer", "cancelled"}},
    {"the changes were compacted: all live jobs are listed again",
     [](LiveJobsFixture& fixture) {
         fixture.read("j-1");
         fixture.timers.run_until(1);
         fixture.kv_store.put("j-2", false);
         fixture.kv_store.drop("j-1");
         fixture.kv_store.compacted_revision = fixture.kv_store.revision;
         fixture.read("j-1");
         fixture.read("j-2");
     },
     {"live", "not live", "live"}},
    {"direct and transitive dependents of a cancelled job are cancelled, whichever is read first; no other "
     "jobs",
     [](LiveJobsFixture& fixture) {
         fixture.kv_store.put("j-2", false, {"j-1"});
         fixture.kv_store.put("j-4", false, {"j-3", "j-100"});
         fixture.read("j-4");
         fixture.timers.run_until(1);
         fixture.kv_store.put("j-3", false, {"j-2"});
         fixture.kv_store.put("j-5", false, {"j-100"});
         fixture.kv_store.put("j-1", true);
         for (auto id : {"j-2", "j-3", "j-4", "j-5"}) fixture.read(id);
     },
     {"depends on j-3", "cancelled", "cancelled", "cancelled", "live"}},
    {"dependents of a job that is already cancelled, read from a list or from a change",
     [](LiveJobsFixture& fixture) {
         fixture.kv_store.put("j-1", true);
         fixture.kv_store.put("j-2", false, {"j-1"});
         fixture.read("j-2");
         fixture.timers.run_until(1);
         fixture.kv_store.put("j-3", false, {"j-2"});
         fixture.read("j-3");
     },
     {"cancelled", "cancelled"}},
    {"the outcome of an ended dependency decides; reads of other jobs do not wait for it",
     [](LiveJobsFixture& fixture) {
         fixture.kv_store.put("j-2", false, {"j-1"});
         fixture.kv_store.put("j-3", false, {"j-2"});
         fixture.kv_store.drop("j-1");
         for (auto id : {"j-3", "j-100"}) fixture.read(id);
         fixture.timers.run_until(1);
         fixture.live.apply_outcome("j-1", protocol::JobState::cancelled);
         fixture.read("j-3");
     },
     {"depends on j-1", "live", "cancelled"}},
    {"a dependency that is done blocks no read; after a new list its outcome is unknown again",
     [](LiveJobsFixture& fixture) {
         fixture.kv_store.put("j-2", false, {"j-1"});
         fixture.kv_store.drop("j-1");
         fixture.read("j-2");
         fixture.timers.run_until(1);
         fixture.live.apply_outcome("j-1", protocol::JobState::done);
         fixture.read("j-2");
         fixture.timers.run_until(2);
         fixture.kv_store.compacted_revision = fixture.kv_store.revision + 1;
         fixture.kv_store.put("j-9", false);
         fixture.read("j-2");
     },
     {"depends on j-1", "live", "depends on j-1"}},
    {"the dependencies of a cancelled job do not matter",
     [](LiveJobsFixture& fixture) {
         fixture.kv_store.put("j-2", false, {"j-1"});
         fixture.kv_store.drop("j-1");
         fixture.read("j-2");
         fixture.timers.run_until(1);
         fixture.kv_store.put("j-2", true);
         fixture.read("j-2");
     },
     {"depends on j-1", "cancelled"}},
};

TEST(LiveJobs, NeverAnswersWithStateOlderThanTheRead) {
    for (auto& c : cases) {
        LiveJobsFixture fixture;
        fixture.kv_store.put("j-1", false);
        c.run(fixture);
        fixture.timers.run_until(20);
        EXPECT_EQ(fixture.answers, c.answers) << c.name;
    }
}
TEST(LiveJobs, SharesRequestsBetweenManyReads) {
    LiveJobsFixture fixture;
    fixture.kv_store.put("j-1", false);
    for (int k = 0; k < 1000; ++k) {
        fixture.read("j-1");
        fixture.timers.run_until(k * 0.001);
    }
    fixture.timers.run_until(5);
    EXPECT_EQ(fixture.answers, std::vector<std::string>(1000, "live"));
    EXPECT_LE(fixture.kv_store.requests, 1 / (fixture.settings.heartbeat_interval_s / 60) + 2);
}

// Cancelling a long chain and a job with thousands of dependencies must not overflow the stack or take long.
TEST(LiveJobs, CancelsAllDependentsInAChainOfThousands) {
    LiveJobsFixture fixture;
    constexpr int chain_length = 5000;
    auto id = [](int k) { return "j-" + std::to_string(k); };
    fixture.kv_store.put(id(0), false);
    std::vector<std::string> all;
    for (int k = 1; k < chain_length; ++k) {
        fixture.kv_store.put(id(k), false, {id(k - 1)});
        all.push_back(id(k));
    }
    fixture.kv_store.put(id(chain_length), false, all);
    fixture.read(id(chain_length));
    fixture.timers.run_until(1);
    fixture.kv_store.put(id(0), true);
    fixture.read(id(chain_length));
    fixture.read(id(chain_length - 1));
    fixture.timers.run_until(2);
    EXPECT_EQ(fixture.answers, (std::vector<std::string>{"live", "cancelled", "cancelled"}));
}

// Guards against turns of the event loop that grow with the square of a pipeline: each query searched all
// dependencies of its job as long as the outcome of one was unknown.
TEST(LiveJobs, ExaminesEachDependencyOnceForAllReadsOfABatch) {
    for (int chain_length : {10, 100, 1000}) {
        LiveJobsFixture fixture;
        auto id = [](int k) { return "j-" + std::to_string(k); };
        for (int k = 0; k < chain_length; ++k)
            fixture.kv_store.put(id(k), false, k > 0 ? std::vector{id(k - 1)} : std::vector<std::string>{});
        fixture.kv_store.drop(id(0));  // its outcome is unknown
        std::vector<std::string> all;
        for (int k = 1; k < chain_length; ++k) {
            fixture.live.read(id(k), [&](const LiveJobs::ReadResult& result) {
                if (result.undecided) all.push_back("undecided");
            });
        }
        fixture.timers.run_until(1);
        EXPECT_EQ(all.size(), static_cast<std::size_t>(chain_length - 1));
        constexpr std::uint64_t batches = 2;  // the first read does not wait for others
        EXPECT_LE(fixture.live.dependency_steps(), batches * static_cast<std::uint64_t>(chain_length));
        EXPECT_EQ(fixture.live.unresolved_dependencies_of({id(1), id(chain_length - 1)}),
                  std::vector<std::string>{id(0)});
    }
}

}  // namespace
}  // namespace coralhitch::api

// Many questions with one request: no answer may be older than its question.
#include "api/live_jobs.hpp"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "support/fake_timers.hpp"

namespace coralhitch::api {
namespace {
using nlohmann::json;

// A key-value store that keeps the last changes of job records, and can be told what becomes of each request.
class FakeKeyValueStore : public http::Requester {
  public:
    explicit FakeKeyValueStore(FakeTimers& t) : timers_(t) {}
    enum class Fate { answered, refused, lost };
    Fate fate = Fate::answered;
    double latency = 0.01;
    std::uint64_t revision = 0, forgotten = 0;  // changes up to `forgotten` are not kept
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
        timers_.after(answer ? latency : timeout, [answer, result] { result(answer); });
    }

  private:
    http::Response execute(const http::Request& r) {
        if (r.target.starts_with("/watch")) {
            auto since = std::stoull(r.target.substr(r.target.find("since=") + 6));
            if (since < forgotten) return {410, "{}"};
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

struct Bench {
    FakeTimers timers;
    FakeKeyValueStore service{timers};
    config::Settings settings = [] {
        config::Settings s;
        s.nodes = 3;
        s.report_s = 3;
        s.lease_s = 24;
        s.state_rps = 200;
        s.state_write_rps = 40;
        return s;
    }();
    kv::KvClient client{timers, service, settings};
    LiveJobs live{timers, client, settings};
    std::vector<std::string> told;

    Bench() { service.put("j-100", false); }
    void ask(const std::string& id) {
        live.confirm(id, [this](LiveJobs::Answer a) {
            told.push_back(!a.ok                     ? "no answer"
                           : !a.live                 ? "not live"
                           : !a.ends_unknown.empty() ? "hangs on " + a.ends_unknown[0]
                           : a.live->cancelled       ? "cancelled"
                                                     : "live");
        });
    }
};

struct Case {
    const char* name;
    std::function<void(Bench&)> play;
    std::vector<std::string> told;
};
const Case cases[] = {
    {"what was accepted before the question", [](Bench& b) { b.ask("j-1"); }, {"live"}},
    {"a change since the last answer",
     [](Bench& b) {
         b.ask("j-1");
         b.timers.run_until(1);
         b.service.put("j-1", true);
         b.ask("j-1");
     },
     {"live", "cancelled"}},
    {"a change while a request is under way: the question after it waits for the next",
     [](Bench& b) {
         b.ask("j-1");
         b.timers.run_until(0.005);
         b.service.put("j-1", true);
         b.ask("j-1");
     },
     {"live", "cancelled"}},
    {"a record that can't be read is of a known job",
     [](Bench& b) {
         b.service.put_unreadable("j-2");
         b.ask("j-2");
     },
     {"live"}},
    {"a job that is over, and one that nobody submitted",
     [](Bench& b) {
         b.ask("j-1");
         b.timers.run_until(1);
         b.service.drop("j-1");
         b.ask("j-1");
         b.ask("j-9");
     },
     {"live", "not live", "not live"}},
    {"refused: nothing is told, though much is known",
     [](Bench& b) {
         b.ask("j-1");
         b.timers.run_until(1);
         b.service.fate = FakeKeyValueStore::Fate::refused;
         b.ask("j-1");
         b.timers.run_until(2);
         b.service.fate = FakeKeyValueStore::Fate::answered;
         b.ask("j-1");
     },
     {"live", "no answer", "live"}},
    {"a lost answer: its changes come again",
     [](Bench& b) {
         b.ask("j-1");
         b.timers.run_until(1);
         b.service.put("j-1", true);
         b.service.fate = FakeKeyValueStore::Fate::lost;
         b.ask("j-1");
         b.timers.run_until(5);
         b.service.fate = FakeKeyValueStore::Fate::answered;
         b.ask("j-1");
     },
     {"live", "no answer", "cancelled"}},
    {"the changes are not kept any more: all is read again",
     [](Bench& b) {
         b.ask("j-1");
         b.timers.run_until(1);
         b.service.put("j-2", false);
         b.service.drop("j-1");
         b.service.forgotten = b.service.revision;
         b.ask("j-1");
         b.ask("j-2");
     },
     {"live", "not live", "live"}},
    {"behind a cancelled job, through others, whichever is known first; beside it not",
     [](Bench& b) {
         b.service.put("j-2", false, {"j-1"});
         b.service.put("j-4", false, {"j-3", "j-100"});
         b.ask("j-4");
         b.timers.run_until(1);
         b.service.put("j-3", false, {"j-2"});
         b.service.put("j-5", false, {"j-100"});
         b.service.put("j-1", true);
         for (auto id : {"j-2", "j-3", "j-4", "j-5"}) b.ask(id);
     },
     {"hangs on j-3", "cancelled", "cancelled", "cancelled", "live"}},
    {"behind one that is known to be cancelled already, read in a list or as a change",
     [](Bench& b) {
         b.service.put("j-1", true);
         b.service.put("j-2", false, {"j-1"});
         b.ask("j-2");
         b.timers.run_until(1);
         b.service.put("j-3", false, {"j-2"});
         b.ask("j-3");
     },
     {"cancelled", "cancelled"}},
    {"an awaited job that is over decides by how it ended; others need not wait for that",
     [](Bench& b) {
         b.service.put("j-2", false, {"j-1"});
         b.service.put("j-3", false, {"j-2"});
         b.service.drop("j-1");
         for (auto id : {"j-3", "j-100"}) b.ask(id);
         b.timers.run_until(1);
         b.live.ended("j-1", protocol::JobState::cancelled);
         b.ask("j-3");
     },
     {"hangs on j-1", "live", "cancelled"}},
    {"one that was done holds nobody up, also after all was read again",
     [](Bench& b) {
         b.service.put("j-2", false, {"j-1"});
         b.service.drop("j-1");
         b.ask("j-2");
         b.timers.run_until(1);
         b.live.ended("j-1", protocol::JobState::done);
         b.ask("j-2");
         b.timers.run_until(2);
         b.service.forgotten = b.service.revision + 1;
         b.service.put("j-9", false);
         b.ask("j-2");
     },
     {"hangs on j-1", "live", "hangs on j-1"}},
    {"cancelled itself: what it awaited does not matter",
     [](Bench& b) {
         b.service.put("j-2", false, {"j-1"});
         b.service.drop("j-1");
         b.ask("j-2");
         b.timers.run_until(1);
         b.service.put("j-2", true);
         b.ask("j-2");
     },
     {"hangs on j-1", "cancelled"}},
};

TEST(LiveJobs, NoAnswerIsOlderThanItsQuestion) {
    for (auto& c : cases) {
        Bench b;
        b.service.put("j-1", false);
        c.play(b);
        b.timers.run_until(20);
        EXPECT_EQ(b.told, c.told) << c.name;
    }
}
TEST(LiveJobs, ManyQuestionsCostFewRequests) {
    Bench b;
    b.service.put("j-1", false);
    for (int k = 0; k < 1000; ++k) {
        b.ask("j-1");
        b.timers.run_until(k * 0.001);
    }
    b.timers.run_until(5);
    EXPECT_EQ(b.told, std::vector<std::string>(1000, "live"));
    EXPECT_LE(b.service.requests, 1 / (b.settings.report_s / 60) + 2);
}

// A long chain and a wide join cost no stack and little time.
TEST(LiveJobs, AChainOfThousandsIsCancelledAtItsRoot) {
    Bench b;
    constexpr int n = 5000;
    auto id = [](int k) { return "j-" + std::to_string(k); };
    b.service.put(id(0), false);
    std::vector<std::string> all;
    for (int k = 1; k < n; ++k) {
        b.service.put(id(k), false, {id(k - 1)});
        all.push_back(id(k));
    }
    b.service.put(id(n), false, all);
    b.ask(id(n));
    b.timers.run_until(1);
    b.service.put(id(0), true);
    b.ask(id(n));
    b.ask(id(n - 1));
    b.timers.run_until(2);
    EXPECT_EQ(b.told, (std::vector<std::string>{"live", "cancelled", "cancelled"}));
}

}  // namespace
}  // namespace coralhitch::api

// ListWatch::complete_until: only a confirming read or a list that was answered may advance it, and only to
// the time at which its request was sent. Otherwise a quiet watch during an outage would count as up to date.
#include "kv/list_watch.hpp"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "support/fake_timers.hpp"

namespace coralhitch::kv {
namespace {
using nlohmann::json;

// Answers according to its flags after `delay` seconds, or after 12 s to a watch that waits. With
// `no_answer`, watches get no answer.
struct FakeWatchableStore : http::Requester {
    explicit FakeWatchableStore(FakeTimers& t) : timers(t) {}
    void send(const std::string&, http::Request r, double timeout, http::Result result) override {
        bool list = r.target.starts_with("/kv?"), waits = !list && !r.target.ends_with("hold_ms=0");
        std::optional<http::Response> answer;
        if (refuses) answer = http::Response{503, "{}"};
        if (!refuses && list)
            answer =
                http::Response{200, json{{"entries", json::array()}, {"more", false}, {"epoch", 90}}.dump()};
        if (!refuses && !list && r.target.find("since=90") == std::string::npos && compacted)
            answer = http::Response{410, "{}"};
        if (!answer && !no_answer)
            answer = http::Response{200, json{{"epoch", 7}, {"news", json::array()}}.dump()};
        timers.after(answer ? waits ? 12.0 : delay : timeout, [answer, result] { result(answer); });
    }
    FakeTimers& timers;
    bool refuses = false, compacted = false, no_answer = false;
    double delay = 0.01;
};

TEST(ListWatch, IsCompleteUntilTheLastConfirmingReadWasSent) {
    struct Case {
        const char* name;
        void (*fault)(FakeWatchableStore&);
        double least, most;  // expected age of complete_until in seconds, after 8 s of the fault
        bool listed;
    };
    const Case cases[] = {
        {"none", [](FakeWatchableStore&) {}, 0, 1.1, false},
        {"slow: the time of sending counts", [](FakeWatchableStore& s) { s.delay = 1; }, 1, 3.1, false},
        {"slower than a user waits", [](FakeWatchableStore& s) { s.delay = 2; }, 2, 5.1, false},
        {"refused", [](FakeWatchableStore& s) { s.refuses = true; }, 8, 9.1, false},
        {"no answer, watches open", [](FakeWatchableStore& s) { s.no_answer = true; }, 8, 9.1, false},
        {"changes are not kept for so long", [](FakeWatchableStore& s) { s.compacted = true; }, 0, 1.2, true},
    };
    for (auto& c : cases) {
        config::Settings settings;
        settings.heartbeat_interval_s = 3;
        settings.nodes = 3;
        settings.kv_rps = settings.kv_write_rps = 200;
        FakeTimers timers;
        FakeWatchableStore store(timers);
        KvClient client(timers, store, settings);
        bool listed = false;
        ListWatch list_watch(timers, client, "job/", {12, 0.05, 0.3, 1, 3},
                             {[](auto&, auto) {}, [&](auto&) { listed = true; }});
        EXPECT_FALSE(list_watch.complete_until());
        list_watch.start(5, 0);
        timers.run_until(20);
        ASSERT_TRUE(list_watch.complete_until());
        c.fault(store);
        timers.run_until(28);
        EXPECT_GE(28 - *list_watch.complete_until(), c.least) << c.name;
        EXPECT_LE(28 - *list_watch.complete_until(), c.most) << c.name;
        EXPECT_EQ(listed, c.listed) << c.name;
    }
}

}  // namespace
}  // namespace coralhitch::kv

// Which heartbeats count as repetitions of the last one.
#include "relay/reply_cache.hpp"

#include <gtest/gtest.h>

#include "protocol/agent_api.hpp"
#include "relay/heartbeat_bodies.hpp"

namespace coralhitch::relay {
namespace {

TEST(ReplyCache, FindsHeartbeatsThatDifferInSequenceOnly) {
    struct Case {
        const char* what;
        std::string body;
        bool repeats;
    };
    auto spaced = heartbeat_body("vm-1", 10, task);
    spaced.replace(spaced.find("\"tally\":10"), 10, "\"tally\": 10");
    auto fraction = heartbeat_body("vm-1", 10, task);
    fraction.replace(fraction.find("\"tally\":10"), 10, "\"tally\":10.5");
    const Case cases[] = {
        {"the next report", heartbeat_body("vm-1", 10, task), true},
        {"a longer number", heartbeat_body("vm-1", 123456, task), true},
        {"one that came late", heartbeat_body("vm-1", 9, task), false},
        {"an older one", heartbeat_body("vm-1", 3, task), false},
        {"another machine", heartbeat_body("vm-2", 10, task), false},
        {"a task less", heartbeat_body("vm-1", 10), false},
        {"a task in another state",
         heartbeat_body("vm-1", 10, R"({"shard":"j-1/0","launch":3,"status":"flushing"})"), false},
        {"laid out otherwise", spaced, false},
        {"no whole number", fraction, false},
        {"more behind it", heartbeat_body("vm-1", 10, task) + " ", false},
        {"cut short", heartbeat_body("vm-1", 10, task).substr(0, 60), false},
        {"nothing", "", false},
    };
    for (auto& c : cases) {
        ReplyCache cache;
        cache.put(heartbeat_body("vm-1", 9, task), "vm-1", 9, "answer", 0);
        auto o = protocol::outline_heartbeat(c.body);
        EXPECT_EQ(o && cache.find(c.body, *o), c.repeats) << c.what;
    }
    // Not what full parsing found: not stored.
    ReplyCache cache;
    cache.put(heartbeat_body("vm-1", 9), "vm-2", 9, "answer", 0);
    cache.put(heartbeat_body("vm-1", 9), "vm-1", 8, "answer", 0);
    EXPECT_EQ(cache.size(), 0u);
}

}  // namespace
}  // namespace coralhitch::relay

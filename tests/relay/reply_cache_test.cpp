// Tests which heartbeats count as repetitions of the last one.
#include "relay/reply_cache.hpp"

#include <gtest/gtest.h>

#include "protocol/agent_api.hpp"
#include "relay/heartbeat_bodies.hpp"

namespace coralhitch::relay {
namespace {

TEST(ReplyCache, FindsHeartbeatsThatDifferInSequenceOnly) {
    struct Case {
        const char* name;
        std::string body;
        bool repeats;
    };
    auto spaced = heartbeat_body("vm-1", 10, task);
    spaced.replace(spaced.find("\"tally\":10"), 10, "\"tally\": 10");
    auto fraction = heartbeat_body("vm-1", 10, task);
    fraction.replace(fraction.find("\"tally\":10"), 10, "\"tally\":10.5");
    const Case cases[] = {
        {"the next heartbeat", heartbeat_body("vm-1", 10, task), true},
        {"a longer sequence number", heartbeat_body("vm-1", 123456, task), true},
        {"the same sequence number, a delayed copy", heartbeat_body("vm-1", 9, task), false},
        {"a lower sequence number", heartbeat_body("vm-1", 3, task), false},
        {"another machine", heartbeat_body("vm-2", 10, task), false},
        {"one task fewer", heartbeat_body("vm-1", 10), false},
        {"a task in another state",
         heartbeat_body("vm-1", 10, R"({"shard":"j-1/0","launch":3,"status":"flushing"})"), false},
        {"different white space", spaced, false},
        {"a sequence number that is not an integer", fraction, false},
        {"trailing characters", heartbeat_body("vm-1", 10, task) + " ", false},
        {"truncated", heartbeat_body("vm-1", 10, task).substr(0, 60), false},
        {"empty", "", false},
    };
    for (auto& c : cases) {
        ReplyCache cache;
        cache.put(heartbeat_body("vm-1", 9, task), "vm-1", protocol::SequenceNumber{9}, "answer", 0);
        auto outline = protocol::outline_heartbeat(c.body);
        EXPECT_EQ(outline && cache.find(c.body, *outline), c.repeats) << c.name;
    }
    // A heartbeat whose outline differs from the result of parsing it in full is not stored.
    ReplyCache cache;
    cache.put(heartbeat_body("vm-1", 9), "vm-2", protocol::SequenceNumber{9}, "answer", 0);
    cache.put(heartbeat_body("vm-1", 9), "vm-1", protocol::SequenceNumber{8}, "answer", 0);
    EXPECT_EQ(cache.size(), 0u);
}

}  // namespace
}  // namespace coralhitch::relay

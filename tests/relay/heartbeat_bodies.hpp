// Heartbeats as agents send them, for the tests of this package.
#pragma once
#include <string>

namespace coralhitch::relay {

inline std::string heartbeat_body(const std::string& machine, int sequence, const std::string& tasks = "") {
    return R"({"berth":")" + machine +
           R"(","addr":"10.1.0.1:9","hull":"g","reef":"a","driftwood":false,"watch":1,"tally":)" +
           std::to_string(sequence) + R"(,"helm":7,"warning_s":null,"shards":[)" + tasks + "]}";
}
// A running task for the `tasks` parameter of `heartbeat_body`.
inline const std::string task = R"({"shard":"j-1/0","launch":3,"status":"running"})";

}  // namespace coralhitch::relay

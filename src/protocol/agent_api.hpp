// Messages between agents (the worker processes on the machines) and controllers: heartbeats, their
// responses, and direct commands.
#pragma once
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "protocol/malformed.hpp"
#include "protocol/model.hpp"
#include "protocol/numbers.hpp"

namespace coralhitch::protocol {

namespace paths {
inline constexpr std::string_view heartbeat = "/hello";
inline constexpr std::string_view commands = "/do";
inline constexpr std::string_view inspect = "/inspect";
}  // namespace paths

// Seconds after which an agent ignores the response to a heartbeat, counted from sending the heartbeat.
inline constexpr double heartbeat_timeout_s = 4;
// Seconds after sending an unanswered heartbeat by which the agent has switched to the next controller.
inline constexpr double heartbeat_retry_s = heartbeat_timeout_s + 1;

// Parses one heartbeat. Throws Malformed.
Heartbeat parse_heartbeat(std::string_view body);

// Parser for many heartbeats; reuses its buffers from one call to the next.
class HeartbeatReader {
  public:
    HeartbeatReader();
    ~HeartbeatReader();
    HeartbeatReader(const HeartbeatReader&) = delete;
    HeartbeatReader& operator=(const HeartbeatReader&) = delete;
    // Parses one heartbeat. Throws Malformed.
    Heartbeat read(std::string_view body);

  private:
    struct Parser;
    std::unique_ptr<Parser> parser_;
};

// The fields of a heartbeat that identify it, and the position of its sequence number in the body. Two
// heartbeats of a machine that differ only in the sequence number have the same content.
struct HeartbeatOutline {
    std::string_view machine;  // view into the body
    AgentEpoch agent_epoch;
    SequenceNumber sequence;
    std::size_t sequence_offset = 0, sequence_digits = 0;  // position and length of its digits
};
// Finds the outline without parsing the whole body. Returns nullopt if the body is not laid out as expected.
std::optional<HeartbeatOutline> outline_heartbeat(std::string_view body);

// Returns the body of the 200 response to a heartbeat.
std::string heartbeat_response(FencingToken token, std::span<const Command> commands);
// Returns the body of the 421 response that tells an agent to send its heartbeats to the controller `label`.
// `label` is empty if no leader is known.
std::string heartbeat_redirect(std::string_view label);
// Returns the body of a request that sends commands directly to a machine's address.
std::string direct_commands(FencingToken token, AgentEpoch agent_epoch, std::span<const Command> commands);

}  // namespace coralhitch::protocol

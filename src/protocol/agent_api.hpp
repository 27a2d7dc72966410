// What workers (the agents on the machines) and controllers say to each other: heartbeats, their responses,
// direct commands.
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

namespace coralhitch::protocol {

namespace paths {
inline constexpr std::string_view heartbeat = "/hello";
inline constexpr std::string_view commands = "/do";
inline constexpr std::string_view inspect = "/inspect";
}  // namespace paths

// A worker drops the response to a heartbeat that comes later than this after it was sent, seconds.
inline constexpr double heartbeat_timeout_s = 4;
// And has then turned to the next controller.
inline constexpr double heartbeat_retry_s = heartbeat_timeout_s + 1;

// Throws Malformed.
Heartbeat parse_heartbeat(std::string_view body);

// The same for many heartbeats: keeps its buffers.
class HeartbeatReader {
  public:
    HeartbeatReader();
    ~HeartbeatReader();
    HeartbeatReader(const HeartbeatReader&) = delete;
    HeartbeatReader& operator=(const HeartbeatReader&) = delete;
    // Throws Malformed.
    Heartbeat read(std::string_view body);

  private:
    struct Parser;
    std::unique_ptr<Parser> parser_;
};

// What tells two heartbeats of a machine apart that say the same: where the sequence number stands in the
// text.
struct HeartbeatOutline {
    std::string_view machine;  // part of the body
    std::uint64_t agent_epoch = 0, sequence = 0;
    std::size_t sequence_offset = 0, sequence_digits = 0;  // where its digits stand in the body
};
// Found without reading the rest; nothing if the text is laid out in a way that this does not expect.
std::optional<HeartbeatOutline> outline_heartbeat(std::string_view body);

// The body of a 200 to a heartbeat. `token`: the fencing token.
std::string heartbeat_response(std::uint64_t token, std::span<const Command> commands);
// The body of a 421: report to that controller instead; an empty label if none is known.
std::string heartbeat_redirect(std::string_view label);
// The body of commands that are sent to a machine's own address.
std::string direct_commands(std::uint64_t token, std::uint64_t agent_epoch,
                            std::span<const Command> commands);

}  // namespace coralhitch::protocol

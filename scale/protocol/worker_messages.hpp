// Messages of a worker's agent: writes its heartbeats, and parses answers and direct commands.
#pragma once
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/model.hpp"
#include "protocol/numbers.hpp"

namespace coralhitch::scale::messages {

std::string heartbeat_body(const protocol::Heartbeat& heartbeat);

// The content of an answer to a heartbeat, or of direct commands.
struct Orders {
    std::optional<protocol::FencingToken> token;
    std::optional<protocol::AgentEpoch> agent_epoch;
    std::vector<protocol::Command> commands;
};
// Parses an answer to a heartbeat, or direct commands. Throws if it is malformed.
Orders parse_orders(std::string_view body);

// Returns the label of the controller that an answer with status 421 names, or std::nullopt if it names none.
std::optional<std::string> parse_redirect(std::string_view body);

}  // namespace coralhitch::scale::messages

// What a worker's agent sends, and what it reads of answers and direct commands.
#pragma once
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/model.hpp"
#include "protocol/numbers.hpp"

namespace coralhitch::scale::messages {

std::string heartbeat_body(const protocol::Heartbeat& heartbeat);

struct Orders {
    std::optional<protocol::FencingToken> token;
    std::optional<protocol::AgentEpoch> agent_epoch;
    std::vector<protocol::Command> commands;
};
// An answer to a heartbeat, or direct commands. Throws if it is malformed.
Orders parse_orders(std::string_view body);

// The label of the controller that an answer 421 names; nothing if it names none.
std::optional<std::string> parse_redirect(std::string_view body);

}  // namespace coralhitch::scale::messages

// Parses the controllers' answers to users.
#pragma once
#include <string_view>

#include "protocol/model.hpp"

namespace coralhitch::scale::messages {

// Parses a job's status. Throws if it is malformed.
protocol::JobStatus parse_status(std::string_view body);

}  // namespace coralhitch::scale::messages

// What users read of the controllers' answers.
#pragma once
#include <string_view>

#include "protocol/model.hpp"

namespace coralhitch::scale::messages {

protocol::JobStatus parse_status(std::string_view body);

}  // namespace coralhitch::scale::messages

// Query parameters of a request's target.
#pragma once
#include <string>

namespace coralhitch::scale {

// Returns the value of `name` in the target's query without decoding it, or "" if there is none.
std::string query_parameter(const std::string& target, const std::string& name);

}  // namespace coralhitch::scale

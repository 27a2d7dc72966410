// Parameters of a request's target.
#pragma once
#include <string>

namespace coralhitch::scale {

// The value of `name` in the target's query, as it stands there; "" if there is none.
std::string query_parameter(const std::string& target, const std::string& name);

}  // namespace coralhitch::scale

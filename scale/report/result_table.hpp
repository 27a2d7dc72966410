// Prints the result of a run as text for a terminal.
#pragma once
#include <nlohmann/json.hpp>
#include <ostream>

namespace coralhitch::scale {

// Prints the value returned by summarize().
void print_table(std::ostream& out, const nlohmann::json& summary);

}  // namespace coralhitch::scale

// The version text that `coralhitch --version` prints.
#pragma once
#include <string_view>

namespace coralhitch::controller {

inline constexpr std::string_view version = "coralhitch 0.1.0";

}  // namespace coralhitch::controller

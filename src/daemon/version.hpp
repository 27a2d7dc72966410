#pragma once
#include <string_view>
namespace coralhitch::daemon {
inline constexpr std::string_view version = "coralhitch 0.1.0";
}

#pragma once
#include <string_view>
namespace coralhitch::controller {
inline constexpr std::string_view version = "coralhitch 0.1.0";
}

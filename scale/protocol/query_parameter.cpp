#include "scale/protocol/query_parameter.hpp"

namespace coralhitch::scale {

std::string query_parameter(const std::string& target, const std::string& name) {
    auto at = target.find('?');
    while (at != std::string::npos) {
        auto next = target.find('&', at + 1);
        auto parameter = target.substr(at + 1, next == std::string::npos ? next : next - at - 1);
        if (parameter.starts_with(name + "=")) return parameter.substr(name.size() + 1);
        at = next;
    }
    return "";
}

}  // namespace coralhitch::scale

#include "http/address.hpp"

#include <arpa/inet.h>

#include <charconv>

namespace coralhitch::http {
std::optional<sockaddr_in> socket_address(const std::string& addr) {
    auto colon = addr.rfind(':');
    if (colon == std::string::npos) return std::nullopt;
    sockaddr_in sa{};
    sa.sin_family = AF_INET;
    std::uint16_t port = 0;
    auto* first = addr.data() + colon + 1;
    auto* last = addr.data() + addr.size();
    if (auto [end, ec] = std::from_chars(first, last, port); ec != std::errc() || end != last)
        return std::nullopt;
    sa.sin_port = htons(port);
    if (inet_pton(AF_INET, addr.substr(0, colon).c_str(), &sa.sin_addr) != 1) return std::nullopt;
    return sa;
}
}  // namespace coralhitch::http

#include "http/address.hpp"

#include <arpa/inet.h>

#include <charconv>
#include <cstdint>

namespace coralhitch::http {

std::optional<sockaddr_in> socket_address(const std::string& addr) {
    auto colon = addr.rfind(':');
    if (colon == std::string::npos) return std::nullopt;
    std::uint16_t port = 0;
    const auto* end = addr.data() + addr.size();
    auto parsed = std::from_chars(addr.data() + colon + 1, end, port);
    if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    if (inet_pton(AF_INET, addr.substr(0, colon).c_str(), &address.sin_addr) != 1) return std::nullopt;
    return address;
}

}  // namespace coralhitch::http

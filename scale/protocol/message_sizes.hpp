// Bytes of messages as the project's client and server write them, without the headers of TCP and IP.
#pragma once
#include <cstdint>

#include "http/message.hpp"

namespace coralhitch::scale {

inline std::uint64_t request_bytes(const std::string& addr, const http::Request& r) {
    // "METHOD target HTTP/1.1\r\nHost: addr\r\n\r\n", and for a body its type and length.
    std::uint64_t n = r.method.size() + 1 + r.target.size() + 11 + 6 + addr.size() + 4;
    if (r.method == "POST") n += 16 + r.type.size() + 18 + std::to_string(r.body.size()).size();
    return n + r.body.size();
}
inline std::uint64_t response_bytes(const http::Response& r) {
    // "HTTP/1.1 200 OK\r\nContent-Type: ...\r\nContent-Length: ...\r\n\r\n"; other reasons are some bytes
    // longer.
    return 15 + 16 + r.type.size() + 18 + std::to_string(r.body.size()).size() + 4 + r.body.size();
}

}  // namespace coralhitch::scale

// Sizes of HTTP messages in bytes as written by the project's client and server, without TCP and IP headers.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>

#include "http/message.hpp"

namespace coralhitch::scale {

// Returns the size of "\r\nContent-Type: TYPE\r\nContent-Length: LENGTH".
inline std::uint64_t body_header_bytes(const std::string& type, const std::string& body) {
    constexpr std::string_view type_start = "\r\nContent-Type: ", length_start = "\r\nContent-Length: ";
    return type_start.size() + type.size() + length_start.size() + std::to_string(body.size()).size();
}

// Returns the size of a request to `addr`.
inline std::uint64_t request_bytes(const std::string& addr, const http::Request& request) {
    constexpr std::string_view version_and_host = " HTTP/1.1\r\nHost: ", end = "\r\n\r\n";
    std::uint64_t bytes = request.method.size() + 1 + request.target.size() + version_and_host.size() +
                          addr.size() + end.size() + request.body.size();
    if (request.method == "POST") bytes += body_header_bytes(request.type, request.body);
    return bytes;
}

// Returns the size of an answer with status 200. Answers with other statuses are some bytes longer, since
// their reason phrases are.
inline std::uint64_t response_bytes(const http::Response& response) {
    constexpr std::string_view status_line = "HTTP/1.1 200 OK", end = "\r\n\r\n";
    return status_line.size() + body_header_bytes(response.type, response.body) + end.size() +
           response.body.size();
}

}  // namespace coralhitch::scale

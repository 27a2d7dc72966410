// Parses the addresses that are used in settings and messages.
#pragma once
#include <netinet/in.h>

#include <optional>
#include <string>

namespace coralhitch::http {

// Returns the socket address of a text such as "10.0.0.1:8080" (IPv4 address and port), or nullopt if the
// text is malformed. Host names are not resolved.
[[nodiscard]] std::optional<sockaddr_in> socket_address(const std::string& addr);

}  // namespace coralhitch::http

// Addresses as they stand in settings and messages.
#pragma once
#include <netinet/in.h>

#include <optional>
#include <string>

namespace coralhitch::http {

// "10.0.0.1:8080" as a socket address; nothing if it is none. There are no name look-ups.
[[nodiscard]] std::optional<sockaddr_in> socket_address(const std::string& addr);

}  // namespace coralhitch::http

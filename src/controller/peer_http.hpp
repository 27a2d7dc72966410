// Builds HTTP requests and responses between controllers.
#pragma once
#include <string>
#include <string_view>
#include <utility>

#include "http/message.hpp"

namespace coralhitch::controller {

inline constexpr const char* msgpack_content_type = "application/msgpack";

// Returns a response with status 200. `body` is packed by protocol::pack_peer, or empty.
inline http::Response msgpack_response(std::string body) {
    return {200, std::move(body), msgpack_content_type};
}
// Returns a POST request for `path`. `body` is packed by protocol::pack_peer.
inline http::Request msgpack_request(std::string_view path, std::string body) {
    return {"POST", std::string(path), std::move(body), msgpack_content_type};
}

}  // namespace coralhitch::controller

// The HTTP types used by other packages: messages, and the interfaces that tests replace by fakes.
//
// Everything runs on the event loop's thread. Times are in seconds.
#pragma once
#include <functional>
#include <optional>
#include <string>

namespace coralhitch::http {

// An HTTP request.
struct Request {
    std::string method = "GET";
    std::string target;  // path and query
    std::string body;
    std::string type = "application/json";  // content type of the body
};

// An HTTP response.
struct Response {
    int status = 200;
    std::string body;
    std::string type = "application/json";  // content type of the body
    double retry_after_s = 0;               // 0: no Retry-After header
};

// Answers one request of a server. Only the first call has an effect.
using Reply = std::function<void(Response)>;
// Handles one request and calls the reply at once or later.
using Handler = std::function<void(Request, Reply)>;

// Receives the response to a request, or nullopt if none arrived. Without a response the request may have
// been executed, or may be executed later.
using Result = std::function<void(std::optional<Response>)>;

// Sends requests to other processes.
class Requester {
  public:
    virtual ~Requester() = default;
    // Sends a request to `addr` (IPv4 address and port) and calls `result` once, after `timeout_s` seconds at
    // the latest.
    virtual void send(const std::string& addr, Request request, double timeout_s, Result result) = 0;
};

}  // namespace coralhitch::http

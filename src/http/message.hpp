// HTTP as the packages above see it: values and two interfaces, so that tests can stand in for the network.
//
// Everything runs on the event loop's thread. Times are in seconds.
#pragma once
#include <functional>
#include <optional>
#include <string>

namespace coralhitch::http {

struct Request {
    std::string method = "GET";
    std::string target;  // path and query
    std::string body;
    std::string type = "application/json";  // of the body
};

struct Response {
    int status = 200;
    std::string body;
    std::string type = "application/json";  // of the body
    double retry_after_s = 0;               // 0: no such header
};

// Answers one request of a server; only the first call counts.
using Reply = std::function<void(Response)>;
// Serves one request: calls the reply at once or later.
using Handler = std::function<void(Request, Reply)>;

// nullopt: no response. The request may have been executed, or may still be.
using Result = std::function<void(std::optional<Response>)>;

// Sends requests to other processes.
class Requester {
  public:
    virtual ~Requester() = default;
    // `addr`: host and port. Calls `result` once, after `timeout_s` at the latest.
    virtual void send(const std::string& addr, Request request, double timeout_s, Result result) = 0;
};

}  // namespace coralhitch::http

// HTTP as the packages above see it: values and two interfaces, so that tests can stand in for the network.
#pragma once
#include <functional>
#include <optional>
#include <string>

namespace coralhitch::http {

struct Request {
    std::string method = "GET", target, body;
    std::string type = "application/json";
};
struct Response {
    int status = 200;
    std::string body;
    std::string type = "application/json";
    double retry_after_s = 0;  // 0: no such header
};
using Reply = std::function<void(Response)>;
using Handler = std::function<void(Request, Reply)>;

// nullopt: no response. The request may have been executed, or may still be.
using Result = std::function<void(std::optional<Response>)>;

class Requester {
  public:
    virtual ~Requester() = default;
    virtual void send(const std::string& addr, Request request, double timeout_s, Result result) = 0;
};

}  // namespace coralhitch::http

// Sends control requests to the processes of a run.
#pragma once
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "event_loop/event_loop.hpp"
#include "http/client.hpp"

namespace coralhitch::scale {

// Calls `on_failure`, which aborts the run, if a process does not answer in time or answers with another
// status than 200.
class ControlClient {
  public:
    using OnAnswer = std::function<void(const nlohmann::json&)>;
    using OnFailure = std::function<void(const std::string& reason)>;

    // `loop` must outlive this.
    ControlClient(event_loop::EventLoop& loop, OnFailure on_failure);

    // Send a request and call `on_answer` with the JSON body of the answer.
    void get(const std::string& addr, std::string_view path, const OnAnswer& on_answer);
    void post(const std::string& addr, std::string_view path, const nlohmann::json& body,
              const OnAnswer& on_answer);
    // Requests a controller's metrics and calls `on_text` with their text. Passes "" if the controller does
    // not answer with status 200, which does not abort the run.
    void get_metrics(const std::string& addr, const std::function<void(const std::string&)>& on_text);
    // Repeats the request until it is answered with status 200, then calls `ready`. Fails after 20 s.
    void wait_until_ready(const std::string& addr, std::string_view path, const std::function<void()>& ready);

  private:
    void send(const std::string& addr, http::Request request, const OnAnswer& on_answer);
    void poll_until_ready(const std::string& addr, const std::string& path,
                          const std::function<void()>& ready, double deadline);

    event_loop::EventLoop& loop_;
    OnFailure on_failure_;
    http::Client http_;
};

}  // namespace coralhitch::scale

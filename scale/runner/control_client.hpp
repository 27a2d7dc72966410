// Asks the processes of a run, and ends the run when one does not answer.
#pragma once
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "event_loop/event_loop.hpp"
#include "http/client.hpp"

namespace coralhitch::scale {

class ControlClient {
  public:
    using OnAnswer = std::function<void(const nlohmann::json&)>;
    using OnFailure = std::function<void(const std::string& reason)>;

    // `loop` must outlive this.
    ControlClient(event_loop::EventLoop& loop, OnFailure on_failure);

    void get(const std::string& addr, std::string_view path, const OnAnswer& on_answer);
    void post(const std::string& addr, std::string_view path, const nlohmann::json& body,
              const OnAnswer& on_answer);
    // The text of a controller's metrics; "" if it gives none, which is no failure.
    void get_metrics(const std::string& addr, const std::function<void(const std::string&)>& on_text);
    // Asks again and again until there is an answer 200.
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

// What all processes of an experiment have in common: a loop, a server that the driver asks, and a measure of
// how late the process itself is.
#pragma once
#include <map>
#include <nlohmann/json.hpp>

#include "event_loop/event_loop.hpp"
#include "http/client.hpp"
#include "http/server.hpp"
#include "scale/config/experiment.hpp"

namespace coralhitch::scale {

// How late timers fire: a hollow process that lacks processor time would otherwise look like a slow service.
class TimerLateness {
  public:
    explicit TimerLateness(event_loop::EventLoop& loop) : loop_(loop) { arm(); }
    double most_s() const { return most_; }
    std::uint64_t over_100_ms() const { return late_; }

  private:
    void arm();
    event_loop::EventLoop& loop_;
    double most_ = 0;
    std::uint64_t late_ = 0;
};

using Control = std::function<void(const http::Request&, http::Reply)>;
// Answers are JSON; a handler that throws answers 500 with the text.
std::unique_ptr<http::Server> control_server(event_loop::EventLoop& loop, const std::string& addr,
                                             Control control);
http::ClientLimits control_limits();

// Each runs until it is killed.
int run_infrastructure_process(const Experiment& experiment);
int run_worker_process(const Experiment& experiment, std::uint32_t process);
int run_load_process(const Experiment& experiment);

}  // namespace coralhitch::scale

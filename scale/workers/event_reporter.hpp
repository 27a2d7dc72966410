// Sends what a worker process has recorded to the load process, where the checker is.
#pragma once
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "event_loop/event_loop.hpp"
#include "http/client.hpp"
#include "scale/config/experiment.hpp"
#include "scale/workers/worker_event.hpp"

namespace coralhitch::scale {

// One message at a time, so that the checker gets them in order; also when nothing has happened, since the
// checker waits until it knows all up to a time. Ends the process if the load process takes none: what
// follows would be judged wrongly.
class EventReporter {
  public:
    // All references must outlive this.
    EventReporter(event_loop::EventLoop& loop, http::Client& http, const Experiment& experiment,
                  std::uint32_t process);
    void record(const WorkerEvent& event) { events_.push_back(event_to_json(event)); }

  private:
    void report();
    void send(const std::string& body, int tries_left);

    event_loop::EventLoop& loop_;
    http::Client& http_;
    const Experiment& experiment_;
    std::uint32_t process_;
    nlohmann::json events_ = nlohmann::json::array();
    std::uint64_t last_message_ = 0;
};

}  // namespace coralhitch::scale

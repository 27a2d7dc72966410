// Sends the events that a worker process has recorded to the load process, which runs the checker.
#pragma once
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "event_loop/event_loop.hpp"
#include "http/client.hpp"
#include "scale/config/experiment.hpp"
#include "scale/workers/worker_event.hpp"

namespace coralhitch::scale {

// Sends one message at a time, so that the checker receives events in order. A message is also sent when
// nothing has happened, since the checker waits until it has the events of every worker process up to a time.
// Ends the process with an error if the load process accepts no message after several attempts: the checker
// would judge all later events wrongly.
class EventReporter {
  public:
    // All references must outlive this. `process` is the index of this worker process.
    EventReporter(event_loop::EventLoop& loop, http::Client& http, const Experiment& experiment,
                  std::uint32_t process);
    // Adds the event to the next message.
    void record(const WorkerEvent& event) { events_.push_back(event_to_json(event)); }

  private:
    void report();
    void send(const std::string& body, int attempts_left);

    event_loop::EventLoop& loop_;
    http::Client& http_;
    const Experiment& experiment_;
    std::uint32_t process_;
    nlohmann::json events_ = nlohmann::json::array();
    std::uint64_t last_message_ = 0;
};

}  // namespace coralhitch::scale

// Handles the events that worker processes report: passes them to the checker and the gang coordinator, and
// records latencies.
#pragma once
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>

#include "event_loop/event_loop.hpp"
#include "http/client.hpp"
#include "scale/load/checker_feed.hpp"
#include "scale/load/gang_coordinator.hpp"
#include "scale/load/job_client.hpp"
#include "scale/load/latency_histograms.hpp"

namespace coralhitch::scale {

// Handles each message of an EventReporter once, even if it was sent again.
class WorkerEventHandler {
  public:
    // Counters since the start. `images_ready` counts attempts whose image was fetched, `tasks_begun` tasks
    // that ran at least once, `tasks_done` attempts that ended with success.
    struct Counts {
        std::uint64_t images_ready = 0, tasks_begun = 0, tasks_done = 0;
    };

    // All references must outlive this. `http` sends requests to the control servers.
    WorkerEventHandler(event_loop::EventLoop& loop, http::Client& http, const Experiment& experiment,
                       JobClient& jobs, CheckerFeed& feed, LatencyHistograms& latencies);
    // Handles a message of an EventReporter. Throws if it is malformed.
    void handle(const nlohmann::json& message);
    [[nodiscard]] const Counts& counts() const { return counts_; }

  private:
    void handle_event(const WorkerEvent& event);
    void check(const WorkerEvent& event, verification::Checker& checker);
    void check_end(const WorkerEvent& event, verification::Checker& checker);
    // Records, the first time that a task runs, how long its user has waited for that.
    void record_first_run(GeneratedJob& job, std::uint32_t task, double time);

    const Experiment& experiment_;
    JobClient& jobs_;
    CheckerFeed& feed_;
    LatencyHistograms& latencies_;
    GangCoordinator gangs_;
    std::map<std::uint32_t, std::uint64_t> last_message_;  // number of the last message, by process
    Counts counts_;
};

}  // namespace coralhitch::scale

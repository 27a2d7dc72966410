// The simulated users: submit jobs with retries, poll their status until they are over, and cancel some of
// them.
#pragma once
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>

#include "event_loop/event_loop.hpp"
#include "http/client.hpp"
#include "scale/config/experiment.hpp"
#include "scale/load/checker_feed.hpp"
#include "scale/load/generated_job.hpp"
#include "scale/load/latency_histograms.hpp"
#include "scale/load/load_balancer.hpp"

namespace coralhitch::scale {

// Sends all requests of the users to the controllers, and reports the answers to the checker.
class JobClient {
  public:
    // Counters since the start. `refused` counts jobs that were answered with 400 or 422, `given_up` jobs
    // whose submission was retried for too long, `unanswered` requests without an answer or without a healthy
    // controller.
    struct Counts {
        std::uint64_t submissions = 0, accepted = 0, retries = 0, polls = 0, unanswered = 0, cancels = 0,
                      done = 0, cancelled = 0, refused = 0, given_up = 0, bytes_out = 0, bytes_in = 0;
    };

    // All references must outlive this.
    JobClient(event_loop::EventLoop& loop, const Experiment& experiment, std::mt19937_64& random,
              CheckerFeed& feed, LatencyHistograms& latencies);

    // Submits the job, with retries. Once it is accepted, polls it and, if it is to be cancelled, cancels it.
    void submit(GeneratedJob job);
    // Begins to poll a job id that was never submitted. The checker reports a broken rule if a controller
    // knows it.
    void poll_unknown_job();

    // Returns the job, or nullptr if no job with this id was submitted.
    [[nodiscard]] GeneratedJob* find(const std::string& id);
    [[nodiscard]] const Counts& counts() const { return counts_; }
    // Returns the number of jobs that were accepted and whose end has not been seen in an answer.
    [[nodiscard]] std::size_t open_jobs() const;

  private:
    using Done = std::function<void(const std::optional<http::Response>&)>;
    // Sends the request to a healthy controller. Calls `done` with std::nullopt if no controller is healthy
    // or none answered in time.
    void send(http::Request request, double timeout_s, const Done& done);
    void try_submit(const std::string& id);
    void on_submission_answer(const std::string& id, const std::optional<http::Response>& response);
    void on_accepted(const std::string& id);
    void retry_submission(const std::string& id, const std::optional<http::Response>& response);
    void poll(const std::string& id);
    void cancel(const std::string& id);
    // Handles an answer with the job's status. `was_over` is true if an earlier answer already said that the
    // job is over.
    void on_status(const std::string& id, const http::Response& response, bool was_over);
    void observe(const GeneratedJob& job, const char* measure, double seconds);
    // Reports an observation made now to the checker.
    void check(CheckerFeed::Step step) { feed_.add(loop_.now(), std::move(step)); }

    event_loop::EventLoop& loop_;
    const Experiment& experiment_;
    std::mt19937_64& random_;
    CheckerFeed& feed_;
    LatencyHistograms& latencies_;
    http::Client http_;
    LoadBalancer balancer_;
    std::map<std::string, GeneratedJob> jobs_;
    Counts counts_;
};

}  // namespace coralhitch::scale

// The users' side of jobs: submits them, with retries, asks for their status until they are over, cancels
// some.
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

class JobClient {
  public:
    struct Counts {
        std::uint64_t submissions = 0, accepted = 0, retries = 0, polls = 0, unanswered = 0, cancels = 0,
                      done = 0, cancelled = 0, refused = 0, given_up = 0, bytes_out = 0, bytes_in = 0;
    };

    // All references must outlive this.
    JobClient(event_loop::EventLoop& loop, const Experiment& experiment, std::mt19937_64& random,
              CheckerFeed& feed, LatencyHistograms& latencies);

    void submit(GeneratedJob job);
    // Asks for a job that nobody submitted, from now on: it must never be there.
    void poll_unknown_job();

    // nullptr if there is no such job.
    [[nodiscard]] GeneratedJob* find(const std::string& id);
    [[nodiscard]] const Counts& counts() const { return counts_; }
    [[nodiscard]] std::size_t open_jobs() const;

  private:
    using Done = std::function<void(const std::optional<http::Response>&)>;
    // To a healthy controller; nothing if there is none or no answer came.
    void send(http::Request request, double timeout_s, const Done& done);
    void try_submit(const std::string& id);
    void on_submission_answer(const std::string& id, const std::optional<http::Response>& response);
    void on_accepted(const std::string& id);
    void retry_submission(const std::string& id, const std::optional<http::Response>& response);
    void poll(const std::string& id);
    void cancel(const std::string& id);
    // `was_over`: when the request was sent.
    void on_status(const std::string& id, const http::Response& response, bool was_over);
    void observe(const GeneratedJob& job, const char* measure, double seconds);
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

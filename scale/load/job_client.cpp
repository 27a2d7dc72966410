#include "scale/load/job_client.hpp"

#include <algorithm>
#include <utility>

#include "protocol/model.hpp"
#include "protocol/user_api.hpp"
#include "scale/protocol/message_sizes.hpp"
#include "scale/protocol/user_messages.hpp"

namespace coralhitch::scale {
namespace {

// These values are set by the protocol.
constexpr double submit_timeout_s = 5, poll_timeout_s = 2, min_retry_delay_s = 1, max_retry_delay_s = 30,
                 retry_period_s = 60;

constexpr std::size_t connections = 3000, idle_connections = 500;
constexpr const char* unknown_job = "j-999999999";

http::ClientLimits client_limits() {
    http::ClientLimits limits;
    limits.connections = connections;
    limits.idle_per_addr = idle_connections;
    return limits;
}

std::string job_path(const std::string& id) {
    return std::string(protocol::paths::jobs) + "/" + id;
}

}  // namespace

JobClient::JobClient(event_loop::EventLoop& loop, const Experiment& experiment, std::mt19937_64& random,
                     CheckerFeed& feed, LatencyHistograms& latencies)
    : loop_(loop),
      experiment_(experiment),
      random_(random),
      feed_(feed),
      latencies_(latencies),
      http_(loop, client_limits()),
      balancer_(loop, http_, experiment) {}

GeneratedJob* JobClient::find(const std::string& id) {
    auto it = jobs_.find(id);
    return it == jobs_.end() ? nullptr : &it->second;
}
std::size_t JobClient::open_jobs() const {
    return static_cast<std::size_t>(std::count_if(
        jobs_.begin(), jobs_.end(), [](auto& entry) { return entry.second.accepted && !entry.second.over; }));
}
void JobClient::observe(const GeneratedJob& job, const char* measure, double seconds) {
    latencies_.observe(job.phase, job.job_class, measure, seconds);
}

void JobClient::send(http::Request request, double timeout_s, const Done& done) {
    auto controller = balancer_.pick();
    if (!controller) {
        ++counts_.unanswered;
        loop_.after(0, [done] { done(std::nullopt); });
        return;
    }
    auto addr = experiment_.controller_addr(*controller);
    counts_.bytes_out += request_bytes(addr, request);
    balancer_.request_opened(*controller);
    http_.send(addr, std::move(request), timeout_s,
               [this, controller = *controller, done](const std::optional<http::Response>& response) {
                   balancer_.request_closed(controller);
                   if (response)
                       counts_.bytes_in += response_bytes(*response);
                   else
                       ++counts_.unanswered;
                   done(response);
               });
}

// --- Submission -----------------------------------------------------------------------------------------

void JobClient::submit(GeneratedJob job) {
    job.first_attempt_at = loop_.now();
    auto id = job.job.id;
    check([submitted = job.job](verification::Checker& checker, double) { checker.submitted(submitted); });
    ++counts_.submissions;
    jobs_[id] = std::move(job);
    try_submit(id);
}

void JobClient::try_submit(const std::string& id) {
    http::Request request{"POST", std::string(protocol::paths::jobs), protocol::submission(jobs_.at(id).job)};
    send(std::move(request), submit_timeout_s,
         [this, id](const std::optional<http::Response>& response) { on_submission_answer(id, response); });
}

void JobClient::on_submission_answer(const std::string& id, const std::optional<http::Response>& response) {
    if (response && (response->status == 200 || response->status == 201)) return on_accepted(id);
    if (response && (response->status == 400 || response->status == 422)) {
        ++counts_.refused;
        return;
    }
    retry_submission(id, response);
}

void JobClient::on_accepted(const std::string& id) {
    auto& job = jobs_.at(id);
    job.accepted = true;
    ++counts_.accepted;
    observe(job, "accepted", loop_.now() - job.first_attempt_at);
    check([id](verification::Checker& checker, double) { checker.accepted(id); });
    loop_.after(experiment_.load.poll_s, [this, id] { poll(id); });
    if (!job.to_be_cancelled) return;
    double cancel_after_s = std::uniform_real_distribution<double>(0, job.spec.run_s)(random_);
    loop_.after(cancel_after_s, [this, id] { cancel(id); });
}

void JobClient::retry_submission(const std::string& id, const std::optional<http::Response>& response) {
    double wait_s = min_retry_delay_s;
    if (response) wait_s = std::clamp(response->retry_after_s, min_retry_delay_s, max_retry_delay_s);
    if (loop_.now() + wait_s > jobs_.at(id).first_attempt_at + retry_period_s) {
        ++counts_.given_up;
        return;
    }
    ++counts_.retries;
    loop_.after(wait_s, [this, id] { try_submit(id); });
}

// --- Status ---------------------------------------------------------------------------------------------

void JobClient::poll(const std::string& id) {
    if (jobs_.at(id).over) return;
    ++counts_.polls;
    send({"GET", job_path(id), {}}, poll_timeout_s,
         [this, id](const std::optional<http::Response>& response) {
             if (response && response->status == 404)
                 check([id](verification::Checker& checker, double time) {
                     checker.not_found_answered(time, id);
                 });
             if (response && response->status == 200) on_status(id, *response, jobs_.at(id).over);
             loop_.after(experiment_.load.poll_s, [this, id] { poll(id); });
         });
}

void JobClient::on_status(const std::string& id, const http::Response& response, bool was_over) {
    auto state = messages::parse_status(response.body).state;
    bool is_over = state == protocol::JobState::done || state == protocol::JobState::cancelled;
    if (is_over || was_over)
        check([id, state](verification::Checker& checker, double time) {
            checker.status_answered(time, id, state);
        });
    auto& job = jobs_.at(id);
    if (!is_over || std::exchange(job.over, true)) return;
    if (state == protocol::JobState::cancelled) {
        ++counts_.cancelled;
        return;
    }
    ++counts_.done;
    double now = loop_.now();
    observe(job, "done", now - job.first_attempt_at);
    if (job.all_done_at) observe(job, "told_done_after", now - *job.all_done_at);
}

void JobClient::poll_unknown_job() {
    send({"GET", job_path(unknown_job), {}}, poll_timeout_s,
         [this](const std::optional<http::Response>& response) {
             if (!response || response->status != 200) return;
             check([](verification::Checker& checker, double time) {
                 checker.status_answered(time, unknown_job, protocol::JobState::queued);
             });
         });
    loop_.after(experiment_.load.poll_s, [this] { poll_unknown_job(); });
}

// --- Cancellation ---------------------------------------------------------------------------------------

void JobClient::cancel(const std::string& id) {
    auto& job = jobs_.at(id);
    if (job.over) return;
    double requested_at = loop_.now();
    if (!std::exchange(job.cancel_requested, true)) {
        ++counts_.cancels;
        check([id](verification::Checker& checker, double) { checker.cancel_requested(id); });
    }
    send({"POST", job_path(id) + std::string(protocol::paths::cancel), {}}, submit_timeout_s,
         [this, id, requested_at](const std::optional<http::Response>& response) {
             if (!response || response->status != 200) {
                 loop_.after(min_retry_delay_s, [this, id] { cancel(id); });
                 return;
             }
             auto& cancelled = jobs_.at(id);
             observe(cancelled, "cancel", loop_.now() - requested_at);
             on_status(id, *response, cancelled.over);
         });
}

}  // namespace coralhitch::scale

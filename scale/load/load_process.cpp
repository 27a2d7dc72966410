// The load process: simulated users with the generated load, the load balancer, and the checker of the
// observations of users and workers.
#include <nlohmann/json.hpp>
#include <random>

#include "scale/load/checker_feed.hpp"
#include "scale/load/job_client.hpp"
#include "scale/load/latency_histograms.hpp"
#include "scale/load/load_generator.hpp"
#include "scale/load/worker_event_handler.hpp"
#include "scale/process/control_server.hpp"
#include "scale/process/process_roles.hpp"
#include "scale/process/timer_lateness.hpp"

namespace coralhitch::scale {
namespace {
using nlohmann::json;

verification::Rules rules_of(const Experiment& experiment) {
    verification::Rules rules;
    rules.cancel_s = experiment.worker.cancel_s;
    double cpus_max = experiment.equal_share_cpus() * 4;  // must equal the limit in controller_settings()
    for (std::uint32_t team = 0; team < experiment.load.teams; ++team)
        rules.teams["team-" + std::to_string(team)] = {cpus_max, 0};
    if (experiment.load.tight_cpus > 0) rules.teams["team-tight"] = {experiment.load.tight_cpus, 0};
    return rules;
}

// The components of the process, and its control requests.
class LoadProcess {
  public:
    LoadProcess(event_loop::EventLoop& loop, const Experiment& experiment)
        : lateness_(loop),
          random_(experiment.seed * 13 + 5),
          control_(loop, control_client_limits()),
          feed_(rules_of(experiment), experiment.worker_processes),
          jobs_(loop, experiment, random_, feed_, latencies_),
          generator_(loop, experiment, random_, jobs_),
          events_(loop, control_, experiment, jobs_, feed_, latencies_) {}

    void handle_control(const http::Request& request, const http::Reply& reply) {
        if (request.target == control_paths::worker_events) {
            events_.handle(json::parse(request.body));
            return reply({200, "{}"});
        }
        if (request.target.starts_with(control_paths::task_spec))
            return send_spec(request.target.substr(control_paths::task_spec.size()), reply);
        if (request.target == control_paths::begin) {
            generator_.begin();
            jobs_.poll_unknown_job();
        }
        if (request.target == control_paths::phase)
            generator_.begin_phase(json::parse(request.body).at("name").get<std::string>());
        reply({200, stats().dump()});
    }

  private:
    void send_spec(const std::string& id, const http::Reply& reply) {
        auto* job = jobs_.find(id);
        if (job)
            reply({200, spec_to_json(job->spec).dump()});
        else
            reply({404, "null"});
    }
    [[nodiscard]] json stats() const {
        auto& checker = feed_.checker();
        auto& events = events_.counts();
        auto& jobs = jobs_.counts();
        return {{"present", checker.tasks_on_machines()},
                {"started", checker.started_tasks()},
                {"tasks_ready", events.images_ready},
                {"tasks_begun", events.tasks_begun},
                {"tasks_done", events.tasks_done},
                {"jobs_open", jobs_.open_jobs()},
                {"broken", checker.violations()},
                {"to_judge", feed_.pending_steps()},
                {"submissions", jobs.submissions},
                {"accepted", jobs.accepted},
                {"retries", jobs.retries},
                {"polls", jobs.polls},
                {"unanswered", jobs.unanswered},
                {"cancels", jobs.cancels},
                {"done", jobs.done},
                {"cancelled", jobs.cancelled},
                {"refused", jobs.refused},
                {"given_up", jobs.given_up},
                {"bytes_out", jobs.bytes_out},
                {"bytes_in", jobs.bytes_in},
                {"latencies", latencies_.summary()},
                {"lateness_s", lateness_.longest_s()},
                {"late", lateness_.over_100_ms()}};
    }

    TimerLateness lateness_;
    std::mt19937_64 random_;
    http::Client control_;
    CheckerFeed feed_;
    LatencyHistograms latencies_;
    JobClient jobs_;
    LoadGenerator generator_;
    WorkerEventHandler events_;
};

}  // namespace

int run_load_process(const Experiment& experiment) {
    event_loop::EventLoop loop;
    LoadProcess load(loop, experiment);
    auto control = control_server(
        loop, experiment.load_control_addr(),
        [&](const http::Request& request, const http::Reply& reply) { load.handle_control(request, reply); });
    loop.run();
    return 0;
}

}  // namespace coralhitch::scale

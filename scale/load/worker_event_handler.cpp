#include "scale/load/worker_event_handler.hpp"

#include "protocol/model.hpp"

namespace coralhitch::scale {

WorkerEventHandler::WorkerEventHandler(event_loop::EventLoop& loop, http::Client& http,
                                       const Experiment& experiment, JobClient& jobs, CheckerFeed& feed,
                                       LatencyHistograms& latencies)
    : experiment_(experiment),
      jobs_(jobs),
      feed_(feed),
      latencies_(latencies),
      gangs_(loop, http, experiment) {}

void WorkerEventHandler::handle(const nlohmann::json& message) {
    auto process = message.at("process").get<std::uint32_t>();
    auto number = message.at("number").get<std::uint64_t>();
    if (number <= last_message_[process]) return;  // a repetition, sent because the answer was lost
    last_message_[process] = number;
    for (auto& event : message.at("events")) handle_event(event_from_json(event));
    feed_.events_complete(process, message.at("now").get<double>());
}

void WorkerEventHandler::handle_event(const WorkerEvent& event) {
    auto* job = jobs_.find(event.task.job);
    gangs_.handle(event, job ? &job->spec : nullptr, [&] {
        for (std::uint32_t task = 0; task < job->spec.tasks; ++task) record_first_run(*job, task, event.time);
    });
    if (event.kind == WorkerEventKind::image_ready) {
        ++counts_.images_ready;
        if (job && job->spec.kind != protocol::JobKind::gang)
            record_first_run(*job, event.task.index, event.time);
    }
    feed_.add(event.time, [this, event](verification::Checker& checker, double) { check(event, checker); });
}

void WorkerEventHandler::record_first_run(GeneratedJob& job, std::uint32_t task, double time) {
    if (!job.tasks_begun.insert(task).second) return;
    ++counts_.tasks_begun;
    latencies_.observe(job.phase, job.job_class, "begun", time - job.first_attempt_at);
}

void WorkerEventHandler::check(const WorkerEvent& event, verification::Checker& checker) {
    switch (event.kind) {
        case WorkerEventKind::machine_up: {
            double slots = experiment_.slots();
            return checker.machine_added(event.machine,
                                         {"hollow", event.zone, event.spot, {slots, 0, slots}});
        }
        case WorkerEventKind::task_started:
            return checker.task_started(event.time, event.machine, event.task);
        case WorkerEventKind::image_ready:
            return;
        case WorkerEventKind::machine_gone:
            return checker.machine_terminated(event.machine);
        case WorkerEventKind::task_ended:
            return check_end(event, checker);
    }
}

void WorkerEventHandler::check_end(const WorkerEvent& event, verification::Checker& checker) {
    checker.task_ended(event.machine, event.task, event.cause);
    if (event.cause != protocol::ExitCause::done) return;
    ++counts_.tasks_done;
    auto* job = jobs_.find(event.task.job);
    if (job && !job->all_done_at && checker.is_done(event.task.job)) job->all_done_at = event.time;
}

}  // namespace coralhitch::scale

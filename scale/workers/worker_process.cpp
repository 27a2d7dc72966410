// The worker process: simulates many hollow workers.
#include <spdlog/spdlog.h>

#include <cstdlib>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>

#include "protocol/model.hpp"
#include "scale/process/control_server.hpp"
#include "scale/process/process_roles.hpp"
#include "scale/process/timer_lateness.hpp"
#include "scale/protocol/cloud_messages.hpp"
#include "scale/workers/event_reporter.hpp"
#include "scale/workers/hollow_worker.hpp"
#include "scale/workers/task_spec_cache.hpp"

namespace coralhitch::scale {
namespace {
using nlohmann::json;

// A removed worker is destroyed after a delay, because operations in progress may still call it.
constexpr double destruction_delay_s = 1;

// The hollow workers of one process, and what they share.
class WorkerProcess : public WorkerContext {
  public:
    WorkerProcess(event_loop::EventLoop& loop, const Experiment& experiment, std::uint32_t process)
        : loop_(loop),
          experiment_(experiment),
          process_(process),
          random_(experiment.seed * 31 + process),
          http_(loop, control_client_limits()),
          events_(loop, http_, experiment, process),
          specs_(http_, experiment) {}

    event_loop::EventLoop& loop() override { return loop_; }
    [[nodiscard]] const Experiment& experiment() const override { return experiment_; }
    std::mt19937_64& random() override { return random_; }
    WorkerCounts& counts() override { return counts_; }
    void record(const WorkerEvent& event) override { events_.record(event); }
    void find_task_spec(const std::string& job, std::function<void(const TaskSpec*)> done) override {
        specs_.find(job, std::move(done));
    }

    // Handles a request to the control server, by its target.
    void handle_control(const http::Request& request);
    [[nodiscard]] json stats() const;

  private:
    void boot(const protocol::Host& host);
    void silence(const std::string& id);
    void remove(const std::string& id);
    void notify_gang(const json& message);

    event_loop::EventLoop& loop_;
    const Experiment& experiment_;
    std::uint32_t process_;
    std::mt19937_64 random_;
    http::Client http_;
    EventReporter events_;
    TaskSpecCache specs_;
    WorkerCounts counts_;
    std::map<std::string, std::unique_ptr<HollowWorker>> workers_;
    std::set<std::string> removed_;
};

void WorkerProcess::handle_control(const http::Request& request) {
    auto body = json::parse(request.body);
    if (request.target == control_paths::machine_up)
        boot({body.at("id"), body.at("addr"), body.at("type"), body.at("zone"), body.at("spot"),
              protocol::HostState::running, 0});
    if (request.target == control_paths::remove_machines)
        for (auto& id : messages::parse_machines(request.body)) remove(id);
    if (request.target == control_paths::silence_machines)
        for (auto& id : messages::parse_machines(request.body)) silence(id);
    if (request.target == control_paths::gang) notify_gang(body);
}

void WorkerProcess::boot(const protocol::Host& host) {
    if (removed_.contains(host.id)) return;  // deleted while the message was under way
    try {
        workers_[host.id] = std::make_unique<HollowWorker>(*this, host);
    } catch (const std::exception& error) {
        spdlog::error("workers {}: {}: {}", process_, host.id, error.what());
        std::exit(1);
    }
}

void WorkerProcess::silence(const std::string& id) {
    auto it = workers_.find(id);
    if (it != workers_.end()) it->second->silence();
}

void WorkerProcess::remove(const std::string& id) {
    removed_.insert(id);
    auto it = workers_.find(id);
    if (it == workers_.end()) return;
    it->second->silence();
    std::shared_ptr<HollowWorker> worker = std::move(it->second);
    workers_.erase(it);
    loop_.after(destruction_delay_s, [worker] {});
}

// Passes a message about a gang's attempt to all workers. A message with a run time says that all tasks of
// the gang have their image, and one without says that a task of the gang has ended too early.
void WorkerProcess::notify_gang(const json& message) {
    auto job = message.at("job").get<std::string>();
    auto attempt = message.at("attempt").get<std::uint64_t>();
    for (auto& [id, worker] : workers_) {
        if (message.contains("run_s"))
            worker->tasks().start_gang(job, attempt, message["run_s"].get<double>());
        else
            worker->tasks().stop_gang(job, attempt);
    }
}

json WorkerProcess::stats() const {
    auto& counts = counts_;
    std::size_t active_tasks = 0;
    for (auto& [id, worker] : workers_) active_tasks += std::as_const(*worker).tasks().active_tasks();
    return {{"workers", workers_.size()},
            {"present", active_tasks},
            {"reports", counts.heartbeats},
            {"report_bytes", counts.heartbeat_bytes},
            {"repeated", counts.repeated_heartbeats},
            {"repeated_bytes", counts.repeated_bytes},
            {"answers", counts.answers},
            {"answer_bytes", counts.answer_bytes},
            {"redirected", counts.redirected},
            {"turned_away", counts.rejected},
            {"unanswered", counts.unanswered},
            {"dropped_answers", counts.ignored_answers},
            {"direct", counts.direct_requests},
            {"direct_bytes", counts.direct_bytes},
            {"direct_answer_bytes", counts.direct_answer_bytes},
            {"refused_commands", counts.rejected_commands},
            {"commands", counts.commands},
            {"started", counts.tasks_started},
            {"ended", counts.tasks_ended},
            {"expired", counts.leases_expired},
            {"reports_to", counts.heartbeats_by_controller},
            {"ends_by_cause", counts.ends_by_cause}};
}

}  // namespace

int run_worker_process(const Experiment& experiment, std::uint32_t process) {
    event_loop::EventLoop loop;
    TimerLateness lateness(loop);
    WorkerProcess workers(loop, experiment, process);
    auto control = control_server(loop, experiment.worker_control_addr(process),
                                  [&](const http::Request& request, const http::Reply& reply) {
                                      if (request.target != control_paths::stats) {
                                          workers.handle_control(request);
                                          return reply({200, "{}"});
                                      }
                                      auto stats = workers.stats();
                                      stats["lateness_s"] = lateness.longest_s();
                                      stats["late"] = lateness.over_100_ms();
                                      reply({200, stats.dump()});
                                  });
    loop.run();
    return 0;
}

}  // namespace coralhitch::scale

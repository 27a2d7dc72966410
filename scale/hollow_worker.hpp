// One worker as the protocol describes it, without anything that it would run: its own address, connection,
// agent epoch, token, lease, images and tasks that end by drawn times.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <random>

#include "event_loop/event_loop.hpp"
#include "event_loop/lifetime_guard.hpp"
#include "http/client.hpp"
#include "http/server.hpp"
#include "protocol/model.hpp"
#include "scale/experiment.hpp"
#include "scale/observed.hpp"

namespace coralhitch::scale {

struct WorkerCounts {
    std::uint64_t reports = 0, report_bytes = 0, repeated = 0, repeated_bytes = 0, answers = 0,
                  answer_bytes = 0, redirected = 0, turned_away = 0, unanswered = 0, dropped_answers = 0,
                  direct = 0, direct_bytes = 0, direct_answer_bytes = 0, refused_commands = 0, commands = 0,
                  started = 0, ended = 0, expired = 0;
    std::map<std::string, std::uint64_t> by_controller, ends_by_cause;  // reports; ends
};

// What workers of one process share.
class WorkerSite {
  public:
    virtual ~WorkerSite() = default;
    virtual event_loop::EventLoop& loop() = 0;
    virtual const Experiment& experiment() const = 0;
    virtual std::mt19937_64& random() = 0;
    virtual WorkerCounts& counts() = 0;
    virtual void observe(Observed event) = 0;
    // The job's description, now or later; nothing if there is no such job.
    virtual void spec(const std::string& job, std::function<void(const TaskSpec*)> done) = 0;
};

class HollowWorker {
  public:
    HollowWorker(WorkerSite& site, protocol::Host host);
    const std::string& id() const { return host_.id; }
    void silence();  // gives no answer any more, and runs nothing
    // Of a gang's attempt: all its tasks have their image, or one of them is gone.
    void gang_begins(const std::string& job, std::uint64_t attempt, double run_s);
    void gang_lost(const std::string& job, std::uint64_t attempt);
    std::size_t present() const { return present_; }

  private:
    using Key = std::pair<protocol::TaskId, std::uint64_t>;  // a task's attempt
    struct Task {
        protocol::TaskState state = protocol::TaskState::fetching;
        protocol::ExitCause cause = protocol::ExitCause::none;
        event_loop::TimerId timer = 0;
        protocol::Resources request;
    };
    // Reports
    void schedule();
    void send_report();
    void answered(std::uint64_t agent_epoch, double sent, std::optional<http::Response> response);
    void take_answer(std::uint64_t agent_epoch, double sent, const std::string& body);
    void next_controller();
    std::string report();
    void changed();
    void see_token(std::uint64_t token);
    void arm_lease();
    void check_lease();
    // Commands
    http::Response serve(const http::Request& request);
    http::Response direct(const http::Request& request);
    void execute(const std::vector<protocol::Command>& commands);
    void start(const Key& key);
    void fetch(const Key& key, const TaskSpec* spec);
    void ready(const Key& key, const TaskSpec& spec);
    void end(const Key& key, protocol::ExitCause cause, std::optional<double> when = {});
    double image_ready_after(const TaskSpec& spec);
    void end_later(const Key& key, double seconds, protocol::ExitCause cause);
    Observed event(Happened what, const Key& key) const;

    WorkerSite& site_;
    protocol::Host host_;
    bool silent_ = false;
    std::uint64_t session_ = 1, sequence_ = 0, token_ = 0;
    std::map<Key, Task> tasks_;
    std::size_t present_ = 0;
    std::map<std::string, std::pair<double, double>> images_;  // name -> there from, GB
    std::vector<std::string> image_order_;                     // the one used longest ago first
    std::uint32_t controller_ = 0;
    double last_sent_ = -1e9, regular_due_ = 0, last_answered_ = 0, token_told_ = -1e9, due_ = 1e18;
    bool in_flight_ = false, changed_ = false;
    std::string last_report_;
    event_loop::TimerId report_timer_ = 0, lease_timer_ = 0;
    event_loop::LifetimeGuard guard_;
    http::Client client_;
    std::unique_ptr<http::Server> server_;
};

}  // namespace coralhitch::scale

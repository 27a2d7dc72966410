// The users: jobs that arrive whether the service keeps up or not, retries, polls, cancellations. Beside them
// the checker, to which the workers' processes tell what happens, and the meeting place of gangs.
#pragma once
#include <functional>
#include <map>
#include <random>
#include <set>

#include "event_loop/event_loop.hpp"
#include "http/client.hpp"
#include "protocol/model.hpp"
#include "scale/balancer.hpp"
#include "scale/experiment.hpp"
#include "scale/histogram.hpp"
#include "scale/observed.hpp"
#include "verification/checker.hpp"

namespace coralhitch::scale {

// Tells the workers' processes when a gang's tasks all have their image, and when one of a running gang is
// gone.
class Gangs {
  public:
    Gangs(event_loop::EventLoop& loop, http::Client& http, const Experiment& e)
        : loop_(loop), http_(http), experiment_(e) {}
    // Called for each event as it comes. `begun` when the gang's last task is there.
    void observe(const Observed& o, const TaskSpec* spec, const std::function<void()>& begun);

  private:
    struct Attempt {
        std::set<std::uint32_t> waiting;
        bool running = false, over = false;
        std::uint32_t tasks = 0;
    };
    using Key = std::pair<std::string, std::uint64_t>;
    void tell(const nlohmann::json& body);
    void lost(const Key& key);
    event_loop::EventLoop& loop_;
    http::Client& http_;
    const Experiment& experiment_;
    std::map<Key, Attempt> attempts_;
    std::map<std::string, std::set<std::pair<Key, std::uint32_t>>> on_machine_;
};

class UserApi {
  public:
    UserApi(event_loop::EventLoop& loop, const Experiment& experiment);
    void begin();                         // the services, and arrivals at the first phase's rate
    void phase(const std::string& name);  // latencies count for it from now on
    void observed(const nlohmann::json& message);
    nlohmann::json spec(const std::string& job) const;  // null if there is none
    nlohmann::json stats();

  private:
    struct Job {
        protocol::Job job;
        TaskSpec spec;
        std::string phase, job_class;
        double first_tried = 0, all_done = -1;
        bool accepted = false, over = false, cancel = false, cancel_asked = false;
        std::set<std::uint32_t> begun;
    };
    void submit_services(double left);
    void wait_for_arrival();
    void arrive();
    void submit(Job job);
    protocol::Job new_job(protocol::JobKind kind, std::uint32_t tasks);
    void try_submit(const std::string& id);
    void poll(const std::string& id);
    void ask_cancel(const std::string& id);
    void poll_unknown();
    // To a healthy controller; nullopt if there is none or no answer came.
    void ask(http::Request request, double timeout_s,
             std::function<void(std::optional<http::Response>)> done);
    void told(const std::string& id, const http::Response& r, bool was_over);
    void judge_later(std::function<void(double now)> check);
    void judge();
    void apply(const Observed& o);
    void begun(const Observed& o);

    event_loop::EventLoop& loop_;
    const Experiment& experiment_;
    std::mt19937_64 random_;
    http::Client http_, control_;
    Balancer balancer_;
    Gangs gangs_;
    verification::Checker checker_;
    Latencies latencies_;
    std::map<std::string, Job> jobs_;
    std::uint64_t next_job_ = 0;
    std::string phase_;
    double starts_per_s_ = 0;
    event_loop::TimerId arrival_ = 0;
    // What is to be judged, by its time. It waits until every process of workers has told all up to then.
    std::multimap<double, std::function<void()>> to_judge_;
    std::map<std::uint32_t, double> told_until_;
    std::map<std::uint32_t, std::uint64_t> messages_;  // the last one's number, by process
    struct {
        std::uint64_t submissions = 0, accepted = 0, retries = 0, polls = 0, unanswered = 0, cancels = 0,
                      done = 0, cancelled = 0, refused = 0, given_up = 0, bytes_out = 0, bytes_in = 0;
    } counts_;
    double last_look_ = 0;
    std::uint64_t tasks_ready_ = 0, tasks_begun_ = 0, tasks_done_ = 0;
};

}  // namespace coralhitch::scale

// Runs three real controllers in simulated time, and simulates all they communicate with: key-value store,
// cloud, workers, users, and the network between them, each in a simulated_cluster_*.cpp. The simulation
// speaks the protocol, and passes what it observes to the rule checker (src/verification).
#pragma once
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "http/message.hpp"
#include "simulation/event_queue.hpp"
#include "simulation/hosts.hpp"
#include "simulation/message_digest.hpp"
#include "simulation/network_partitions.hpp"
#include "simulation/options.hpp"
#include "simulation/simulated_key_value_store.hpp"
#include "verification/checker.hpp"

namespace coralhitch::simulation {

inline constexpr const char* state_addr = "10.2.0.1:2379";
inline constexpr const char* cloud_addr = "10.2.0.2:8443";
inline const std::vector<std::string> zones{"a", "b"};
inline constexpr double machine_gpus = 4;
inline constexpr std::size_t controller_count = 3;

// The history of a job as its user and the simulation observe it. The checker keeps its own record. Times are
// simulated seconds, -1 until the event.
struct JobHistory {
    json spec;
    bool accepted = false, cancelled = false, done = false;  // according to answers to users
    bool cancel_asked = false;
    int refused = 0;  // HTTP status that the submission must get; 0: the submission must be accepted
    std::set<std::string> tasks_done;
    double completed_at = -1, stored_at = -1;  // end of its last task; write of its final record
    double reported_at = -1;  // first report of one of its tasks by a worker after its last task was done
};

// Returns the jobs whose ends this one waits for.
std::vector<std::string> dependencies_of(const json& spec);

// Returns the run time of a task in seconds. It is the owner's estimate, unless the field `run_s`, which
// controllers ignore, says otherwise.
inline double run_time_s(const json& spec) {
    return spec.value("run_s", spec["reckon_s"].get<double>());
}

// Three controllers with their surroundings. A test schedules requests and faults, runs the simulation with
// `run_until`, and examines the observations. Runs with equal options and calls are equal: all random draws
// come from one generator with the seed of the options. Times are simulated seconds. Single-threaded.
class SimulatedCluster {
    // Declared first, since `key_value_store` uses them.
    Options options_;
    verification::Checker checker_;
    std::mt19937_64 random_;
    EventQueue events_;

  public:
    explicit SimulatedCluster(Options options);
    ~SimulatedCluster();

    void run_until(double time) { events_.run_until(time); }
    double now() const { return events_.now(); }
    void at(double time, event_loop::Task task) { events_.at(time, std::move(task)); }

    // --- Controllers, by number ---------------------------------------------------------------------------
    // Returns a running controller that considers itself the leader, or nothing.
    std::optional<std::size_t> leader() const;
    bool healthy(std::size_t node) const;
    std::string addr_of(std::size_t node) const { return "10.0.0." + std::to_string(node + 1) + ":8080"; }
    // Ends the process, and starts a new one `back_after` seconds later. Has no effect if no process runs.
    void crash(std::size_t node, double back_after);
    // Gives the process no processor time for `for_s` seconds; all that is due by then runs at the end.
    void freeze(std::size_t node, double for_s);
    void remove_from_load_balancer(std::size_t node) { removed_from_load_balancer_ = node; }

    // --- Network ------------------------------------------------------------------------------------------
    // Both functions take ends as described at NetworkPartition.
    void partition(const std::string& one_end, const std::string& other_end, double for_s,
                   Packets packets = Packets::dropped) {
        partitions_.add({.from = one_end, .to = other_end, .until = now() + for_s, .packets = packets});
    }
    void partition_one_way(const std::string& from, const std::string& to, double for_s) {
        partitions_.add({.from = from, .to = to, .until = now() + for_s, .one_way = true});
    }
    // Delivers a quarter of the requests of the next `for_s` seconds once more, up to `late_s` later:
    // heartbeats to a random controller, others to the same receiver. The answers to the copies are dropped.
    void duplicate_messages(double for_s, double late_s) {
        duplicates_until_ = now() + for_s;
        duplicates_max_delay_s_ = late_s;
    }
    // Keeps copies of a third of the heartbeats, and delivers them to all controllers when another controller
    // has become the leader.
    void replay_heartbeats_at_next_leader(double for_s) { keep_heartbeats_until_ = now() + for_s; }
    // Delays a quarter of the direct commands: they are carried out 2 to 16 s late, and their answers are
    // lost.
    void delay_commands(double for_s) { delay_commands_until_ = now() + for_s; }
    // Returns the delay in seconds of a direct command, which is carried out once after it while its answer
    // is lost; 0: no delay. If set, it replaces the random delays of `delay_commands`.
    std::function<double(const std::string& to, const http::Request&)> command_delay;
    // Called with each message as it is sent, so that a fault can be placed right after it.
    std::function<void(const std::string& from, const std::string& to, const http::Request&)> on_message;
    // Delivers a copy of a message to this controller now. The answer is dropped.
    void copy_to(std::size_t node, const std::string& from, const http::Request& request) {
        deliver(from, addr_of(node), request, [](http::Response) {});
    }
    // Sends a request as the host `from`. `result` gets nothing if a controller sent it and no answer came
    // within `timeout` seconds; for other senders there is no time-out, and `result` may never be called.
    void send(const std::string& from, const std::string& to, http::Request request, double timeout,
              http::Result result);

    // --- Key-value store and cloud ------------------------------------------------------------------------
    SimulatedKeyValueStore key_value_store;
    void refuse_at_key_value_store(std::size_t node, double for_s) {
        key_value_store.refuse(addr_of(node), for_s);
    }
    // Omits this job's record from the answers to this controller's watches, and from those of all watches
    // that wait.
    void hide_job_from(std::size_t node, const std::string& id) {
        key_value_store.hide_job_from(addr_of(node), id);
    }
    void start_cloud_outage(double for_s) { cloud_outage_until_ = now() + for_s; }

    // --- Machines, by number modulo the number of machines ------------------------------------------------
    void crash_machine(std::size_t machine);
    void hang_machine(std::size_t machine, double for_s);
    // Reboots the machine under the same name and address. If `anew`, it has lost its agent epoch and fencing
    // token; otherwise its agent epoch increases by one.
    void reboot_machine(std::size_t machine, bool anew);
    // Blocks connections from the machine to controllers. Requests of controllers to the machine still arrive
    // and are answered.
    void make_inbound_unreachable(std::size_t machine, double for_s) {
        workers[machine % workers.size()]->inbound_unreachable_until = now() + for_s;
    }
    // For `for_s` seconds new machines boot within 2 s, and each transaction is carried out late, by 0.5 to 1
    // times `slow_by` seconds.
    void boot_fast_with_slow_writes(double for_s, double slow_by) {
        fast_boots_until_ = now() + for_s;
        key_value_store.slow_writes(for_s, slow_by);
    }
    // Breaks a rule on purpose: starts a task without a command, on the given machine, or on the first one
    // that does not have the task.
    void start_against_rules(const std::string& task, std::uint64_t attempt,
                             std::optional<std::size_t> machine = {});

    // --- Users --------------------------------------------------------------------------------------------
    // Submits a job as a user who tries again until an answer comes. `more` adds or replaces fields of the
    // job.
    void submit(const std::string& id, const std::string& kind, int tasks, double run_s, json more = {});
    // Submits a job as soon as all its dependencies are accepted.
    void submit_awaiting(const std::string& id, const std::string& kind, int tasks, double run_s,
                         std::vector<std::string> awaits, json more = {});
    void cancel(const std::string& id);
    // Asks for the status of each accepted job and of one that does not exist.
    void query_all_jobs();
    // Send scripted requests, whose answers the test judges itself: `post` through the load balancer, the
    // other two directly to one controller.
    void post(const std::string& body, std::function<void(const http::Response&)> done) {
        ask("", "POST", "/api/jobs", body, std::move(done));
    }
    void post_job_to(std::size_t node, const std::string& body, http::Reply done) {
        send_user_request(node, {"POST", "/api/jobs", body}, std::move(done));
    }
    void send_user_request(std::size_t node, http::Request request, http::Reply done);
    // Tell the checker what scripted requests mean: a job that must be accepted, one that must be refused, a
    // cancellation that was requested, and one that was confirmed to the user.
    void expect_job(const std::string& id, const json& spec);
    void expect_refusal(const std::string& id, int status);
    void expect_refusal(const std::string& id, const json& spec, int status);
    void ask_cancellation(const std::string& id);
    void confirm_cancellation(const std::string& id);
    // For `for_s` seconds users query all controllers several times within 250 ms, and repeat the submission,
    // right after a job was accepted, ended or cancelled. A quarter of the accepted jobs is cancelled at
    // once.
    void query_frequently(double for_s) { frequent_queries_until_ = now() + for_s; }
    // Cancels half of the jobs that end in the next `for_s` seconds, at the moment of their ends.
    void cancel_at_job_end(double for_s) { cancel_at_job_end_until_ = now() + for_s; }
    // Cancels up to `count` running jobs, and lets up to eight of their machines hang.
    void cancel_running_jobs(std::size_t count, double hang_s);
    // Sends submissions of unfinished jobs again, cancellations of finished ones, and jobs that can't run.
    void send_unusual_requests(double for_s);
    // Submits work that fills the GPU limit of each team that has one, and cancels a third of it.
    void fill_team_limits();
    // Submits jobs of one task, `per_s` a second, and cancels a quarter of them within 5 s.
    void submit_small_jobs(double for_s, double per_s = 4);

    // --- Observations -------------------------------------------------------------------------------------
    // Returns the violations of the rules, in the order of time.
    const std::vector<std::string>& violations() const { return checker_.violations(); }
    std::size_t starts_after_cancellation() const { return checker_.starts_after_cancellation(); }
    // Returns true if a user has asked to cancel the job or one of its dependencies.
    bool cancel_wanted(const std::string& id) const { return checker_.cancel_wanted(id); }
    std::map<std::string, JobHistory> jobs;
    std::vector<std::unique_ptr<Worker>> workers;
    std::size_t starts = 0, restarts_of_done_tasks = 0;
    std::size_t answers = 0;  // answers that users received about jobs
    std::size_t machines_deleted_with_tasks = 0;
    MessageDigest digest;  // of all requests sent and responses received
    // From this time on the checker applies `max_waiting_s` and `max_unanswered_s` of the options.
    double faults_over_at = 1e9;

  private:
    // Records an answer to a user, and passes it to the checker.
    void record_answer(const verification::Answer& answer);
    void add_violation(const std::string& what) { checker_.report(now(), what); }
    double latency() { return std::uniform_real_distribution<double>(0.001, 0.008)(random_); }
    config::Settings settings_for(std::size_t node) const;
    void repeat_every(double period_s, const std::function<void()>& action);
    void schedule_regular_work();
    void boot(std::size_t node);
    void replay_kept_heartbeats();
    void process_in_turn(Node& node, event_loop::Task task);
    void check_health();
    Node* pick_controller();
    struct PendingRequest;
    void maybe_duplicate(const std::string& from, const std::string& to, const http::Request& request);
    void send_back(const std::shared_ptr<PendingRequest>& pending, http::Response response);
    void read_response(const std::shared_ptr<PendingRequest>& pending, const http::Response& response);
    void deliver(const std::string& from, const std::string& to, const http::Request& request,
                 const http::Reply& reply);
    void deliver_to_controller(Node& node, const std::string& from, const std::string& to,
                               http::Request request, http::Reply reply);
    void deliver_to_worker(Worker& worker, const std::string& from, const http::Request& request,
                           const http::Reply& reply);
    double draw_command_delay(const std::string& to, const http::Request& request);

    // Cloud
    http::Response serve_cloud_request(const http::Request& request);
    http::Response list_machine_types() const;
    http::Response delete_machines(const json& body);
    http::Response rent(const json& body);
    http::Response list_machines() const;
    Worker& add_machine(const std::string& zone, bool spot);
    // Workers
    struct HeartbeatAttempt;
    void send_heartbeats(Worker& worker);
    void send_heartbeats_after(Worker& worker, double delay_s);
    void try_next_controller(Worker& worker);
    void receive_heartbeat_answer(HeartbeatAttempt& attempt, const http::Response& response);
    json heartbeat_body(Worker& worker);
    void execute_commands(Worker& worker, const json& orders);
    http::Response serve_command(Worker& worker, const http::Request& request);
    void start(Worker& worker, const std::string& task, std::uint64_t attempt);
    void on_image_fetched(Worker& worker, const std::string& name, std::uint64_t attempt);
    void wait_for_gang(Worker& worker, const std::string& name);
    void finish(Worker& worker, const std::string& task, std::uint64_t attempt, const std::string& cause);
    void check_lease(Worker& worker);
    bool is_present(const Task& task) const { return task.status != "exited"; }
    // Users
    // Sends the request through the load balancer, and repeats it up to `tries` times. A repeat comes 1.5 s
    // after a 503 answer, or 1.5 s after 5 s have passed without an answer.
    void ask(const std::string& id, const std::string& method, const std::string& path,
             const std::string& body, std::function<void(const http::Response&)> done, int tries = 40);
    // Sends the request to this controller once. `answered` gets the response if it comes within 5 s.
    void ask_controller(Node& node, const std::string& id, http::Request request,
                        std::function<void(const http::Response&)> answered);
    void query_all_controllers_repeatedly(const std::string& id, bool just_accepted);
    std::vector<std::size_t> machines_with(const std::string& job) const;
    void send_unusual_request();
    void submit_invalid_job();
    void on_job_ended(const std::string& id);
    json plain_job(const std::string& id, const std::string& kind, int tasks, double run_s) const;
    // Checks
    std::size_t tasks_that_fit(const Worker& worker, const json& spec) const;
    double gpu_limit_of(const std::string& team) const;
    bool is_done(const std::string& id) const { return checker_.is_done(id); }
    static verification::Rules rules_of(const Options& options);
    void observe_machine(const Worker& worker);
    void clear_tasks(Worker& worker);
    void check_waiting();
    void check_dependency_steps();

    std::vector<Node> nodes_;
    std::vector<Node> crashed_nodes_;
    double cloud_outage_until_ = 0;
    NetworkPartitions partitions_;
    double duplicates_until_ = 0, duplicates_max_delay_s_ = 0;
    double frequent_queries_until_ = 0, cancel_at_job_end_until_ = 0, keep_heartbeats_until_ = 0,
           delay_commands_until_ = 0, fast_boots_until_ = 0;
    struct KeptHeartbeat {
        std::string from;
        http::Request request;
    };
    std::vector<KeptHeartbeat> kept_heartbeats_;
    std::optional<std::size_t> last_leader_;
    int next_invalid_job_ = 0, next_extra_job_ = 0;
    std::optional<std::size_t> removed_from_load_balancer_;
    std::map<std::string, json> rentals_;
};

}  // namespace coralhitch::simulation

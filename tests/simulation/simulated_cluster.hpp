// Everything around the controllers, simulated: key-value store, cloud, workers, users and the network
// between them, each in a simulated_cluster_*.cpp. It speaks the protocol, and tells the checker of the rules
// what happens.
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

// A job as its user and the simulation see it. What the rules need to know of it is in the checker.
struct JobHistory {
    json spec;
    bool accepted = false, cancelled = false, done = false;  // as users were told
    bool cancel_asked = false;
    int refused = 0;  // what its submission must get instead of acceptance; 0: it is accepted
    std::set<std::string> tasks_done;
    double completed_at = -1, stored_at = -1;  // its last task; its final record
    double reported_at = -1;                   // its worker first said that its last task is done
};

// The jobs whose ends this one waits for.
std::vector<std::string> awaits_of(const json& spec);

class SimulatedCluster {
    // Before all else, since `key_value_store` uses them.
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
    std::optional<std::size_t> leader() const;
    bool healthy(std::size_t node) const;
    std::string addr_of(std::size_t node) const { return "10.0.0." + std::to_string(node + 1) + ":8080"; }
    void crash(std::size_t node, double back_after);
    // Nothing that is due happens for so long; it happens all at once afterwards.
    void freeze(std::size_t node, double for_s);
    void remove_from_load_balancer(std::size_t node) { removed_from_load_balancer_ = node; }

    // --- Network ------------------------------------------------------------------------------------------
    // Ends are as in NetworkPartition.
    void partition(const std::string& one_end, const std::string& other_end, double for_s,
                   Packets packets = Packets::dropped) {
        partitions_.add({.from = one_end, .to = other_end, .until = now() + for_s, .packets = packets});
    }
    void partition_one_way(const std::string& from, const std::string& to, double for_s) {
        partitions_.add({.from = from, .to = to, .until = now() + for_s, .one_way = true});
    }
    // Until then some messages come once more, up to so many seconds later; nobody waits for the answer.
    void duplicate_messages(double for_s, double late_s) {
        duplicates_until_ = now() + for_s;
        duplicates_max_delay_s_ = late_s;
    }
    // Copies of a part of the heartbeats are kept, and arrive at all controllers when the next one leads.
    void replay_heartbeats_at_next_leader(double for_s) { keep_heartbeats_until_ = now() + for_s; }
    // A quarter of the direct commands is held up, unanswered, and carried out 2 to 16 s late.
    void delay_commands(double for_s) { delay_commands_until_ = now() + for_s; }
    // Seconds by which a direct command is held up: it is carried out once then, and its answer is lost.
    std::function<double(const std::string& to, const http::Request&)> command_delay;
    // Called with each message as it is sent, so that a fault can be placed right after it.
    std::function<void(const std::string& from, const std::string& to, const http::Request&)> on_message;
    // A copy of a message arrives at this controller now; nobody waits for the answer.
    void copy_to(std::size_t node, const std::string& from, const http::Request& request) {
        deliver(from, addr_of(node), request, [](http::Response) {});
    }
    // As a host does.
    void send(const std::string& from, const std::string& to, http::Request request, double timeout,
              http::Result result);

    // --- Key-value store and cloud ------------------------------------------------------------------------
    SimulatedKeyValueStore key_value_store;
    void refuse_at_key_value_store(std::size_t node, double for_s) {
        key_value_store.refuse(addr_of(node), for_s);
    }
    // Its watches say nothing of this job.
    void hide_job_from(std::size_t node, const std::string& id) {
        key_value_store.hide_job_from(addr_of(node), id);
    }
    void start_cloud_outage(double for_s) { cloud_outage_until_ = now() + for_s; }

    // --- Machines, by number modulo how many there are ----------------------------------------------------
    void crash_machine(std::size_t machine);
    void hang_machine(std::size_t machine, double for_s);
    // Under the same name and address; it remembers its agent epoch or begins anew.
    void reboot_machine(std::size_t machine, bool anew);
    // It reaches no controller; what controllers ask of it arrives and is answered.
    void make_inbound_unreachable(std::size_t machine, double for_s) {
        workers[machine % workers.size()]->inbound_unreachable_until = now() + for_s;
    }
    // New machines are up within 2 s, and transactions take so much longer until they are carried out.
    void boot_fast_with_slow_writes(double for_s, double slow_by) {
        fast_boots_until_ = now() + for_s;
        key_value_store.slow_writes(for_s, slow_by);
    }
    // To break a rule on purpose: a start, on the first machine without the task or on that one.
    void start_against_rules(const std::string& task, std::uint64_t attempt,
                             std::optional<std::size_t> machine = {});

    // --- Users --------------------------------------------------------------------------------------------
    // Tried again until it is answered. `more` are fields of the protocol.
    void submit(const std::string& id, const std::string& kind, int tasks, double run_s, json more = {});
    // As soon as all jobs that it awaits are accepted.
    void submit_awaiting(const std::string& id, const std::string& kind, int tasks, double run_s,
                         std::vector<std::string> awaits, json more = {});
    void cancel(const std::string& id);
    void query_all_jobs();
    // Scripted requests, which the test judges itself: of any controller, or of this one.
    void post(const std::string& body, std::function<void(const http::Response&)> done) {
        ask("", "POST", "/api/jobs", body, std::move(done));
    }
    void post_job_to(std::size_t node, const std::string& body, http::Reply done) {
        send_user_request(node, {"POST", "/api/jobs", body}, std::move(done));
    }
    void send_user_request(std::size_t node, http::Request request, http::Reply done);
    // What scripted requests mean for the rules: a job that is to be accepted, one that must be refused, and
    // what its user asked or was told.
    void expect_job(const std::string& id, const json& spec);
    void expect_refusal(const std::string& id, int status);
    void expect_refusal(const std::string& id, const json& spec, int status);
    void ask_cancellation(const std::string& id);
    void confirm_cancellation(const std::string& id);
    // Users look at all controllers, again and again within milliseconds, and repeat the submission, right
    // after a job was accepted, ended or cancelled; some cancel at once.
    void query_frequently(double for_s) { frequent_queries_until_ = now() + for_s; }
    // Half of the jobs that end are cancelled at that moment.
    void cancel_at_job_end(double for_s) { cancel_at_job_end_until_ = now() + for_s; }
    // Up to so many jobs that run are cancelled, and up to eight of their machines hang.
    void cancel_running_jobs(std::size_t count, double hang_s);
    // Repeats of unfinished jobs, cancellations of done ones, and jobs that can't run.
    void send_unusual_requests(double for_s);
    // Work that fills the limit of each team that has one, a third of it cancelled.
    void fill_team_limits();
    void submit_small_jobs(double for_s, double per_s = 4);

    // --- What was observed --------------------------------------------------------------------------------
    // Of the rules, in the order of time.
    const std::vector<std::string>& violations() const { return checker_.broken(); }
    std::size_t starts_after_cancellation() const { return checker_.starts_after_cancellation(); }
    // Of the job itself, or of one that it awaits.
    bool cancel_wanted(const std::string& id) const { return checker_.cancel_wanted(id); }
    std::map<std::string, JobHistory> jobs;
    std::vector<std::unique_ptr<Worker>> workers;
    std::size_t starts = 0, restarts_of_done_tasks = 0;
    std::size_t answers = 0;  // that users got about jobs
    std::size_t machines_deleted_with_tasks = 0;
    MessageDigest digest;  // of all requests sent and responses received
    // From then on nothing may wait, and no query stay without an answer, for longer than the options say.
    double faults_over_at = 1e9;

  private:
    // Takes down what a user was told, and tells the checker.
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
    void copy_sometimes(const std::string& from, const std::string& to, const http::Request& request);
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
    http::Response cloud(const http::Request& request);
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
    json report(Worker& worker);
    void command(Worker& worker, const json& orders);
    http::Response serve_command(Worker& worker, const http::Request& request);
    void start(Worker& worker, const std::string& task, std::uint64_t attempt);
    void image_fetched(Worker& worker, const std::string& name, std::uint64_t attempt);
    void wait_for_gang(Worker& worker, const std::string& name);
    void finish(Worker& worker, const std::string& task, std::uint64_t attempt, const std::string& cause);
    void check_lease(Worker& worker);
    bool present(const Task& task) const { return task.status != "exited"; }
    // Users
    void ask(const std::string& id, const std::string& method, const std::string& path,
             const std::string& body, std::function<void(const http::Response&)> done, int tries = 40);
    // Once, of this controller; `answered` is called with what the user receives.
    void ask_controller(Node& node, const std::string& id, http::Request request,
                        std::function<void(const http::Response&)> answered);
    void query_all_controllers_repeatedly(const std::string& id, bool just_accepted);
    std::vector<std::size_t> machines_with(const std::string& job) const;
    void send_unusual_request();
    void submit_invalid_job();
    void ended(const std::string& id);
    json plain_job(const std::string& id, const std::string& kind, int tasks, double run_s) const;
    // Checks
    std::size_t places(const Worker& worker, const json& spec) const;
    double limit_of(const std::string& team) const;
    bool is_done(const std::string& id) const { return checker_.is_done(id); }
    static verification::Rules rules_of(const Options& options);
    void observe_machine(const Worker& worker);
    void clear_tasks(Worker& worker);
    void check_waiting();

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
    int next_invalid_job_ = 0, next_extra_ = 0;
    std::optional<std::size_t> removed_from_load_balancer_;
    std::map<std::string, json> rentals_;
};

}  // namespace coralhitch::simulation

// Everything around the controllers, simulated: key-value store, cloud, workers, users and the network
// between them, each in a simulated_cluster_*.cpp. It speaks the protocol, and checks the rules itself.
#pragma once
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <queue>
#include <random>
#include <set>

#include "config/settings.hpp"
#include "event_loop/timers.hpp"
#include "event_loop/token_bucket.hpp"
#include "http/message.hpp"
#include "leader/planner.hpp"
#include "protocol/protocol.hpp"
#include "simulation/message_digest.hpp"
#include "verification/checker.hpp"

namespace coralhitch::controller {
class Controller;
}

namespace coralhitch::simulation {
using nlohmann::json;

inline constexpr const char* state_addr = "10.2.0.1:2379";
inline constexpr const char* cloud_addr = "10.2.0.2:8443";
inline const std::vector<std::string> zones{"a", "b"};
inline constexpr double machine_gpus = 4;

class SimulatedCluster;

// Timers of one host: when the host dies, what it had planned does not happen.
class HostTimers : public event_loop::Timers {
  public:
    explicit HostTimers(SimulatedCluster& cluster) : cluster_(cluster) {}
    double now() const override;
    double unix_time() const override { return now() + 1e9; }
    event_loop::TimerId after(double s, event_loop::Task task) override;
    void cancel(event_loop::TimerId id) override { cancelled_->insert(id); }
    void kill() { *alive_ = false; }
    // Nothing that is due happens until then; it happens all at once afterwards.
    void freeze(double until) { *frozen_until_ = until; }
    double frozen_until() const { return *frozen_until_; }

  private:
    SimulatedCluster& cluster_;
    event_loop::TimerId next_ = 1;
    void fire(event_loop::TimerId id, double due, event_loop::Task task);
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    std::shared_ptr<double> frozen_until_ = std::make_shared<double>(0);
    std::shared_ptr<std::set<event_loop::TimerId>> cancelled_ =
        std::make_shared<std::set<event_loop::TimerId>>();
};

class InlinePlanner : public leader::Planner {
  public:
    explicit InlinePlanner(event_loop::Timers& timers) : timers_(timers) {}
    void submit(Work work) override {
        timers_.after(0.01, [work = std::move(work)] { work()(); });
    }

  private:
    event_loop::Timers& timers_;
};

struct Task {
    std::string job;
    std::uint64_t attempt = 0;
    std::string status, cause;
    bool saved = false;
    double ends = -1;
};

struct Worker {
    std::string id, addr, type, zone;
    bool spot = false, dead = false, hung = false, fails_every_task = false;
    std::uint64_t agent_epoch = 1, sequence = 0, token = 0;
    bool ignores_lease = false;  // for ever, whatever its lease says: a broken worker
    double created = 0, up_at = 0, last_answered = 0;
    double inbound_unreachable_until = 0;  // it can't open connections to controllers
    std::uint64_t incarnation = 0;  // reboots so far: what was on its way to the one before does not reach it
    std::size_t node = 0;
    std::map<std::string, Task> tasks;
};

struct Node {
    Node();
    Node(Node&&) noexcept;
    Node& operator=(Node&&) noexcept;
    ~Node();
    config::Settings settings;
    std::unique_ptr<HostTimers> timers;
    std::unique_ptr<http::Requester> http;
    std::unique_ptr<InlinePlanner> planner;
    std::unique_ptr<controller::Controller> controller;
    bool up = false;
    // What the load balancer makes of its health.
    bool in_rotation = false, ever_in_rotation = false;
    std::deque<bool> health_checks;
    double readmission_pause_s = 3, removed_at = -1e9;
    std::uint64_t incarnation = 0;  // processes so far: what is answered to one is not for the next
    double busy_until = 0;          // with what workers sent
};

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

struct Options {
    std::uint64_t seed = 1;
    std::size_t machines = 6;
    double report_s = 3, lease_s = 24, cancel_s = 44;
    double gpus_max = 12;          // limit of team `tight`
    double free_gpus_max = 0;      // of team `free`; 0: none
    double max_waiting_s = 90;     // a job may wait for so long with room and quota, once the faults are over
    double max_unanswered_s = 45;  // and its users for an answer
    double boot_s = 1;             // what a machine takes; the nominal time is 5 s
    std::set<std::size_t>
        without_replication;       // controllers of a version, or with settings, that know no standby
    bool relay_heartbeats = true;  // controllers that do not lead hear workers for the one that does
    double heartbeat_processing_s =
        0;  // what a controller takes for each message of a worker; the next ones wait
    bool pings_of_previous_version =
        false;  // what controllers say of themselves is as the version before says it
    // The key-value store's limits, and what they fall to without notice, if they do.
    double value_kb = 16, reduced_value_kb = 16;
    std::uint32_t txn_ops = 8, reduced_txn_ops = 8;
    double limits_reduced_at = 1e9;
    int submit_tries = 40;  // of a user, 1.5 s apart
    // Changes a second that the key-value store allows; beyond them, and a second's worth more, it refuses.
    double write_rps = 80;
};

class SimulatedCluster {
  public:
    explicit SimulatedCluster(Options options);
    ~SimulatedCluster();
    void run_until(double t);
    double now() const { return now_; }
    void at(double t, event_loop::Task task) { queue_.push({t, next_event_++, std::move(task)}); }

    // Faults
    void crash(std::size_t node, double back_after);
    void partition(const std::string& one_end, const std::string& other_end, double for_s, bool hold) {
        add_partition(one_end, other_end, for_s, hold, false);
    }
    void partition_one_way(const std::string& from, const std::string& to, double for_s, bool hold = false) {
        add_partition(from, to, for_s, hold, true);
    }
    // Until then some messages come once more, up to so many seconds later; nobody waits for the answer.
    void duplicate_messages(double for_s, double late_s) {
        duplicates_until_ = now_ + for_s;
        duplicates_max_delay_s_ = late_s;
    }
    void reboot_machine(std::size_t k, bool anew);
    // Watches that wait are never told of this job's record; those of one controller not even if they don't.
    void hide_from_watches(const std::string& id) { hidden_keys_.insert("job/" + id); }
    void hide_from(std::size_t node, const std::string& id) {
        hide_from_watches(id);
        hidden_from_controller_ = addr_of(node);
    }
    bool healthy(std::size_t node) const;
    void start_key_value_store_outage(double for_s) { key_value_store_outage_until_ = now_ + for_s; }
    // Each answer of the key-value store takes so much longer, or half as much at the least.
    void slow_key_value_store(double for_s, double by_s) {
        slow_key_value_store_until_ = now_ + for_s;
        key_value_store_delay_s_ = by_s;
    }
    void start_cloud_outage(double for_s) { cloud_outage_until_ = now_ + for_s; }
    void reduce_limits_further(double value_kb, std::uint32_t txn_ops) {  // than the settings announce
        options_.reduced_value_kb = value_kb;
        options_.reduced_txn_ops = txn_ops;
    }
    // Seconds for which a transaction stays without an answer before it is carried out, after newer ones;
    // 0: it is answered at once; less: it is carried out at once, and only its answer is lost. Empty: all are
    // answered at once.
    std::function<double(const json& txn)> transaction_delay;
    void refuse_at_key_value_store(std::size_t node, double for_s) {
        refused_until_[addr_of(node)] = now_ + for_s;
    }
    // Users look at all controllers, again and again within milliseconds, and repeat the submission, right
    // after a job was accepted, ended or cancelled; some cancel at once.
    void query_frequently(double for_s) { frequent_queries_until_ = now_ + for_s; }
    // Half of the jobs that end are cancelled at that moment.
    void cancel_at_job_end(double for_s) { cancel_at_job_end_until_ = now_ + for_s; }
    // Up to so many jobs that run are cancelled, and up to eight of their machines hang.
    void cancel_running_jobs(std::size_t count, double hang_s);
    // The machine reaches no controller; what controllers ask of it arrives and is answered.
    void make_inbound_unreachable(std::size_t k, double for_s) {
        workers[k % workers.size()]->inbound_unreachable_until = now_ + for_s;
    }
    void send_unusual_requests(double for_s);
    // Copies of a part of the reports are kept, and arrive at all controllers when the next one leads.
    void replay_heartbeats_at_next_leader(double for_s) { keep_heartbeats_until_ = now_ + for_s; }
    // A quarter of the direct commands is held up, unanswered, and carried out 2 to 16 s late.
    void delay_commands(double for_s) { delay_commands_until_ = now_ + for_s; }
    // New machines are up within 2 s, and transactions take so much longer until they are carried out.
    void boot_fast_with_slow_writes(double for_s, double slow_by) {
        fast_boots_until_ = now_ + for_s;
        fast_boots_write_delay_s_ = slow_by;
    }
    // Work that fills the limit of each team that has one, a third of it cancelled.
    void fill_team_limits();
    void submit_small_jobs(double for_s, double per_s = 4);
    void crash_machine(std::size_t k);
    void hang_machine(std::size_t k, double for_s);
    void freeze(std::size_t node, double for_s);
    int leader() const;

    // Users
    void submit(const std::string& id, const std::string& kind, int tasks, double run_s, json more = {});
    void cancel(const std::string& id);
    // As soon as all jobs that it awaits are accepted.
    void submit_awaiting(const std::string& id, const std::string& kind, int tasks, double run_s,
                         std::vector<std::string> awaits, json more = {});
    void post(const std::string& body, std::function<void(const http::Response&)> done) {
        ask("", "POST", "/api/jobs", body, std::move(done));
    }
    void post_job_to(std::size_t node, const std::string& body, http::Reply done) {
        send_user_request(node, {"POST", "/api/jobs", body}, std::move(done));
    }
    void send_user_request(std::size_t node, http::Request request, http::Reply done);
    void query_all_jobs();
    // Takes down what a user was told, and holds it against what was received before the request was sent.
    void record_answer(const verification::Answer& answer);
    // For requests that a test sends itself: a job that is to be accepted, one that must be refused, and what
    // its user asked or was told.
    void expect_job(const std::string& id, const json& spec);
    void expect_refusal(const std::string& id, int status);
    void expect_refusal(const std::string& id, const json& spec, int status);
    void ask_cancellation(const std::string& id);
    void confirm_cancellation(const std::string& id);
    // Called with each message as it is sent, so that a fault can be placed right after it.
    std::function<void(const std::string& from, const std::string& to, const http::Request&)> on_message;
    // Seconds by which a direct command is held up: it is carried out once then, and its answer is lost.
    std::function<double(const std::string& to, const http::Request&)> command_delay;
    // A copy of a message arrives at this controller now; nobody waits for the answer.
    void copy_to(std::size_t node, const std::string& from, const http::Request& request) {
        deliver(from, addr_of(node), request, [](http::Response) {});
    }
    void remove_from_load_balancer(std::size_t node) {
        removed_from_load_balancer_ = node;
    }  // none is led to it by the load balancer
    // Of the job itself, or of one that it awaits.
    bool cancel_wanted(const std::string& id) const { return checker_.cancel_wanted(id); }

    // Network, for the hosts' requesters
    void send(const std::string& from, const std::string& to, http::Request request, double timeout,
              http::Result result);
    std::string addr_of(std::size_t node) const { return "10.0.0." + std::to_string(node + 1) + ":8080"; }
    // To break a rule on purpose: a start, on the first machine without the task or on that one, and a change
    // of a stored record, or its end.
    void start_against_rules(const std::string& task, std::uint64_t attempt,
                             std::optional<std::size_t> machine = {});
    void tamper_with_record(const std::string& key, std::optional<std::string> value);
    std::string record(const std::string& key) const { return kv_.at(key).value; }

    // Of the rules, in the order of time.
    const std::vector<std::string>& violations() const { return checker_.broken(); }
    std::size_t starts_after_cancellation() const { return checker_.starts_after_cancellation(); }
    std::map<std::string, JobHistory> jobs;
    std::vector<std::unique_ptr<Worker>> workers;
    std::size_t starts = 0, restarts_of_done_tasks = 0;  // done_again: of tasks that were done already
    std::size_t answers = 0;                             // that users got about jobs
    MessageDigest digest;                                // of all requests sent and responses received
    // From then on nothing may wait, and no query stay without an answer, for longer than the options say.
    double faults_over_at = 1e9;
    std::size_t machines_deleted_with_tasks = 0;  // machines with tasks on them
    std::map<std::string, std::size_t> reads;     // of each key at the key-value store
    std::map<std::string, std::size_t> changes;   // at the key-value store, by the first part of the key
    std::size_t changes_refused = 0;              // calls, for too many changes a second
    std::optional<std::string> stored(const std::string& key) const {
        auto it = kv_.find(key);
        return it == kv_.end() ? std::nullopt : std::optional(it->second.value);
    }

  private:
    struct Event {
        double t;
        std::uint64_t n;
        event_loop::Task task;
        bool operator<(const Event& other) const { return std::tie(t, n) > std::tie(other.t, other.n); }
    };
    struct Item {
        std::string value;
        std::uint64_t version = 0, lease = 0;
    };
    struct Lease {
        double ttl = 0, until = 0;
    };
    struct Watch {
        std::string prefix;
        std::uint64_t since;
        double until;
        http::Reply reply;
        std::string from;
        bool waits;
    };
    void add_violation(const std::string& what) { checker_.report(now_, what); }
    double latency() { return std::uniform_real_distribution<double>(0.001, 0.008)(random_); }
    void boot(std::size_t node);
    void process_in_turn(Node& node, event_loop::Task task);
    void check_health();
    Node* pick_controller();
    void deliver(const std::string& from, const std::string& to, http::Request request, http::Reply reply);
    double draw_command_delay(const std::string& to, const http::Request& request);
    void add_partition(const std::string& one_end, const std::string& other_end, double for_s, bool hold,
                       bool one_way);
    bool is_partitioned(const std::string& from, const std::string& to, bool& hold, double& until) const;
    static std::string host(const std::string& addr) { return addr.substr(0, addr.find(':')); }

    // State service
    void state(const std::string& from, const http::Request& request, http::Reply reply);
    void kv_changed();
    void expire_leases();
    json events(const Watch& watch) const;
    http::Response txn(const json& transaction);
    // Cloud
    http::Response cloud(const http::Request& request);
    Worker& add_machine(const std::string& zone, bool spot);
    // Workers
    void send_heartbeats(Worker& worker);
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

    Options options_;
    verification::Checker checker_;
    std::mt19937_64 random_;
    double now_ = 0;
    std::uint64_t next_event_ = 0;
    std::priority_queue<Event> queue_;
    std::vector<Node> nodes_;
    std::vector<Node> crashed_nodes_;
    std::map<std::string, Item> kv_;
    event_loop::TokenBucket changes_left_;
    std::vector<std::pair<std::uint64_t, json>> history_;
    std::map<std::uint64_t, Lease> leases_;
    std::vector<Watch> watches_;
    std::uint64_t revision_ = 0, next_lease_ = 1;
    double key_value_store_outage_until_ = 0, cloud_outage_until_ = 0;
    std::map<std::string, double> refused_until_;
    struct Partition {
        std::string a, b;
        double until;
        bool hold;
        bool one_way = false;  // from a to b only
    };
    std::vector<Partition> partitions_;
    double duplicates_until_ = 0, duplicates_max_delay_s_ = 0;
    double slow_key_value_store_until_ = 0, key_value_store_delay_s_ = 0;
    double frequent_queries_until_ = 0, cancel_at_job_end_until_ = 0, keep_heartbeats_until_ = 0,
           delay_commands_until_ = 0, fast_boots_until_ = 0, fast_boots_write_delay_s_ = 0;
    std::vector<std::pair<std::string, http::Request>> kept_heartbeats_;  // with who sent it
    int last_leader_ = -1;                                                // who led last
    void replay_kept_heartbeats();
    int next_invalid_job_ = 0, next_extra_ = 0;
    std::set<std::string> hidden_keys_;
    std::optional<std::size_t> removed_from_load_balancer_;
    std::string hidden_from_controller_;
    std::map<std::string, json> rentals_;
    friend class HostTimers;
};

}  // namespace coralhitch::simulation

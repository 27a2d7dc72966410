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
#include "simulation/message_digest.hpp"

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
    explicit HostTimers(SimulatedCluster& world) : world_(world) {}
    double now() const override;
    double unix_time() const override { return now() + 1e9; }
    event_loop::TimerId after(double s, event_loop::Task task) override;
    void cancel(event_loop::TimerId id) override { cancelled_->insert(id); }
    void kill() { *alive_ = false; }
    // Nothing that is due happens until then; it happens all at once afterwards.
    void stand_still(double until) { *still_until_ = until; }
    double still_until() const { return *still_until_; }

  private:
    SimulatedCluster& world_;
    event_loop::TimerId next_ = 1;
    void fire(event_loop::TimerId id, double due, event_loop::Task task);
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    std::shared_ptr<double> still_until_ = std::make_shared<double>(0);
    std::shared_ptr<std::set<event_loop::TimerId>> cancelled_ =
        std::make_shared<std::set<event_loop::TimerId>>();
};

class InlinePlanner : public leader::Planner {
  public:
    explicit InlinePlanner(event_loop::Timers& t) : timers_(t) {}
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
    bool spot = false, dead = false, hung = false, sick = false;
    std::uint64_t agent_epoch = 1, sequence = 0, helm = 0;
    bool keeps_tasks = false;  // for ever, whatever its lease says: a broken worker
    double created = 0, up_at = 0, last_answered = 0;
    double mute_until = 0;    // it can't open connections to controllers
    std::uint64_t lives = 0;  // reboots so far: what was on its way to the one before does not reach it
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
    bool served = false, ever_served = false;
    std::deque<bool> probes;
    double pause = 3, removed_at = -1e9, well_since = -1;
    std::uint64_t lives = 0;  // processes so far: what is answered to one is not for the next
    double busy_until = 0;    // with what workers sent
};

// An answer that a user got about a job: when the question was sent, when the answer was received.
struct Answer {
    std::string id;
    enum class To { submission, question, cancellation } to = To::question;
    double sent = 0, received = 0;
    int http = 200;
    std::string status;  // of the job; empty for errors
};

// What users were told about a job, and when they first received it (-1: never).
struct JobHistory {
    json spec;
    bool accepted = false, cancelled = false, done = false;
    bool cancel_asked = false;
    int refused = 0;  // what its submission must get instead of acceptance; 0: it is accepted
    double accepted_at = -1, cancelled_at = -1, done_at = -1;
    double waiting_since = -1;  // with room and quota, and nothing of it started
    bool waited_too_long = false;
    double answered_at = 0;  // a question about it, or its submission
    bool open_too_long = false;
    std::set<std::string> tasks_done;
    double completed_at = -1, stored_at = -1;  // its last task; its final record
    double reported_at = -1;                   // its worker first said that its last task is done
};

// The jobs whose ends this one waits for.
std::vector<std::string> awaits_of(const json& spec);

struct Options {
    std::uint64_t seed = 1;
    std::size_t machines = 6;
    double heartbeat_interval_s = 3, lease_s = 24, cancel_s = 44;
    double gpus_max = 12;      // limit of team `tight`
    double free_gpus_max = 0;  // of team `free`; 0: none
    double waits_s = 90;       // a job may wait for so long with room and quota, once the troubles are over
    double boot_s = 1;         // what a machine takes; the nominal time is 5 s
    std::set<std::size_t>
        without_replication;       // controllers of a version, or with settings, that do not replicate
    bool relay_heartbeats = true;  // followers relay heartbeats to the leader
    double hear_s = 0;             // what a controller takes for each message of a worker; the next ones wait
    bool old_pings = false;        // what controllers say of themselves is as the version before says it
    // The key-value store's limits, and what they fall to without notice, if they do.
    double value_kb = 16, next_value_kb = 16;
    std::uint32_t txn_ops = 8, next_txn_ops = 8;
    double limits_fall_at = 1e9;
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
    void cut(const std::string& a, const std::string& b, double for_s, bool hold) {
        add_cut(a, b, for_s, hold, false);
    }
    void cut_one_way(const std::string& from, const std::string& to, double for_s, bool hold = false) {
        add_cut(from, to, for_s, hold, true);
    }
    // Until then some messages come once more, up to so many seconds later; nobody waits for the answer.
    void copy_messages(double for_s, double late_s) {
        copies_until_ = now_ + for_s;
        copies_late_ = late_s;
    }
    void reboot(std::size_t k, bool anew);
    // Watches that wait are never told of this job's record; those of one controller not even if they don't.
    void hide_from_watches(const std::string& id) { hidden_.insert("job/" + id); }
    void hide_from(std::size_t node, const std::string& id) {
        hide_from_watches(id);
        hidden_from_ = addr_of(node);
    }
    bool healthy(std::size_t node) const;
    void state_down(double for_s) { state_down_until_ = now_ + for_s; }
    // Each answer of the key-value store takes so much longer, or half as much at the least.
    void slow_state(double for_s, double by_s) {
        slow_until_ = now_ + for_s;
        slow_by_ = by_s;
    }
    void cloud_down(double for_s) { cloud_down_until_ = now_ + for_s; }
    void fall_further(double value_kb, std::uint32_t txn_ops) {  // than the settings announce
        options_.next_value_kb = value_kb;
        options_.next_txn_ops = txn_ops;
    }
    // Seconds for which a transaction stays without an answer before it is carried out, after newer ones;
    // 0: it is answered at once; less: it is carried out at once, and only its answer is lost. Empty: all are
    // answered at once.
    std::function<double(const json& txn)> late_txn;
    void refuse_state(std::size_t node, double for_s) { refused_until_[addr_of(node)] = now_ + for_s; }
    // Users look at all controllers, again and again within milliseconds, and repeat the submission, right
    // after a job was accepted, ended or cancelled; some cancel at once.
    void close_looks(double for_s) { close_looks_until_ = now_ + for_s; }
    // Half of the jobs that end are cancelled at that moment.
    void cancel_at_end(double for_s) { cancel_at_end_until_ = now_ + for_s; }
    // Up to so many jobs that run are cancelled, and up to eight of their machines hang.
    void cancel_now(std::size_t count, double hang_s);
    // The machine reaches no controller; what controllers ask of it arrives and is answered.
    void mute(std::size_t k, double for_s) { workers[k % workers.size()]->mute_until = now_ + for_s; }
    void odd_requests(double for_s);
    // Copies of a part of the reports are kept, and arrive at all controllers when the next one leads.
    void keep_copies(double for_s) { keep_copies_until_ = now_ + for_s; }
    // A quarter of the direct commands is held up, unanswered, and carried out 2 to 16 s late.
    void late_commands(double for_s) { late_commands_until_ = now_ + for_s; }
    // New machines are up within 2 s, and transactions take so much longer until they are carried out.
    void fast_boots(double for_s, double slow_by) {
        fast_boots_until_ = now_ + for_s;
        slow_writes_by_ = slow_by;
    }
    // Work that fills the limit of each team that has one, a third of it cancelled.
    void fill_limits();
    void small_jobs(double for_s, double per_s = 4);
    void die(std::size_t k);
    void hang(std::size_t k, double for_s);
    void stand_still(std::size_t node, double for_s);
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
    void post_to(std::size_t node, const std::string& body, http::Reply done) {
        ask_node(node, {"POST", "/api/jobs", body}, std::move(done));
    }
    void ask_node(std::size_t node, http::Request r, http::Reply done);
    void poll_all();
    // Takes down what a user was told, and holds it against what was received before the question was sent.
    void note(const Answer& a);
    // Called with each message as it is sent, so that a fault can be placed right after it.
    std::function<void(const std::string& from, const std::string& to, const http::Request&)> sent;
    // Seconds by which a direct command is held up: it is carried out once then, and its answer is lost.
    std::function<double(const std::string& to, const http::Request&)> late_command;
    // A copy of a message arrives at this controller now; nobody waits for the answer.
    void copy_to(std::size_t node, const std::string& from, const http::Request& r) {
        deliver(from, addr_of(node), r, [](http::Response) {});
    }
    void no_users(std::size_t node) { unserved_ = node; }  // none is led to it by the load balancer
    std::string told_by(std::size_t node, const std::string& gauge);  // of its /metrics
    bool cancel_wanted(const std::string& id) const;  // of the job itself, or of one that it needs

    // Network, for the hosts' requesters
    void send(const std::string& from, const std::string& to, http::Request r, double timeout,
              http::Result result);
    std::string addr_of(std::size_t node) const { return "10.0.0." + std::to_string(node + 1) + ":8080"; }
    // To break a rule on purpose: a start, on the first machine without the task or on that one, and a change
    // of a stored record, or its end.
    void rogue_run(const std::string& task, std::uint64_t attempt, std::optional<std::size_t> machine = {});
    void tamper(const std::string& key, std::optional<std::string> value);
    std::string record(const std::string& key) const { return kv_.at(key).value; }

    std::vector<std::string> broken;
    std::map<std::string, JobHistory> jobs;
    std::vector<std::unique_ptr<Worker>> workers;
    std::size_t starts = 0, done_again = 0;  // done_again: of tasks that were done already
    std::size_t starts_cancelled = 0;        // after the cancellation was confirmed
    std::size_t answers = 0;                 // that users got about jobs
    MessageDigest digest;                    // of all requests sent and responses received
    // From then on no question about a job may stay without an answer for longer than `open_s`.
    double troubles_over = 1e9, open_s = 45;
    std::size_t deleted = 0;                     // machines with tasks on them
    std::map<std::string, std::size_t> reads;    // of each key at the key-value store
    std::map<std::string, std::size_t> changes;  // at the key-value store, by the first part of the key
    std::size_t changes_refused = 0;             // calls, for too many changes a second
    std::optional<std::string> stored(const std::string& key) const {
        auto it = kv_.find(key);
        return it == kv_.end() ? std::nullopt : std::optional(it->second.value);
    }

  private:
    struct Event {
        double t;
        std::uint64_t n;
        event_loop::Task task;
        bool operator<(const Event& o) const { return std::tie(t, n) > std::tie(o.t, o.n); }
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
    void rule(const std::string& what) { broken.push_back(std::to_string(now_) + " " + what); }
    double latency() { return std::uniform_real_distribution<double>(0.001, 0.008)(random_); }
    void boot(std::size_t node);
    void in_turn(Node& n, event_loop::Task task);
    void balance();
    Node* pick_node();
    void deliver(const std::string& from, const std::string& to, http::Request r, http::Reply reply);
    double command_delay(const std::string& to, const http::Request& r);
    void add_cut(const std::string& a, const std::string& b, double for_s, bool hold, bool one_way);
    bool is_cut(const std::string& from, const std::string& to, bool& hold, double& until) const;
    static std::string host(const std::string& addr) { return addr.substr(0, addr.find(':')); }

    // State service
    void state(const std::string& from, const http::Request& r, http::Reply reply);
    void kv_changed();
    void expire_leases();
    json events(const Watch& w) const;
    http::Response txn(const json& j);
    // Cloud
    http::Response cloud(const http::Request& r);
    Worker& add_worker(const std::string& zone, bool spot);
    // Workers
    void report_loop(Worker& w);
    json report(Worker& w);
    void command(Worker& w, const json& orders);
    http::Response direct(Worker& w, const http::Request& r);
    void start(Worker& w, const std::string& task, std::uint64_t attempt);
    void finish(Worker& w, const std::string& task, std::uint64_t attempt, const std::string& cause);
    void check_lease(Worker& w);
    bool present(const Task& t) const { return t.status != "exited"; }
    // Users
    void ask(const std::string& id, const std::string& method, const std::string& path,
             const std::string& body, std::function<void(const http::Response&)> done, int tries = 40);
    // Once, of this controller; `answered` is called with what the user receives.
    void ask_once(Node& node, const std::string& id, http::Request r,
                  std::function<void(const http::Response&)> answered);
    void look_closely(const std::string& id, bool just_accepted);
    void odd_request();
    void submit_odd();
    void ended(const std::string& id);
    json plain_job(const std::string& id, const std::string& kind, int tasks, double run_s) const;
    // Checks
    void check_start(const Worker& w, const std::string& task);
    void check_waiting();
    bool could_start(const std::string& id) const;
    std::size_t places(const Worker& w, const json& spec) const;
    double limit_of(const std::string& team) const;
    double used_by(const std::string& team) const;
    // When the user of a job that this one needs was first told that it is cancelled, or never.
    double cancelled_before(const std::string& id) const;
    bool is_done(const std::string& id) const;
    void check_orphaned(const Answer& a);
    void check_cancelled();

    Options options_;
    std::mt19937_64 random_;
    double now_ = 0;
    std::uint64_t next_event_ = 0;
    std::priority_queue<Event> queue_;
    std::vector<Node> nodes_;
    std::vector<Node> graveyard_;
    std::map<std::string, Item> kv_;
    event_loop::TokenBucket changes_left_;
    std::vector<std::pair<std::uint64_t, json>> history_;
    std::map<std::uint64_t, Lease> leases_;
    std::vector<Watch> watches_;
    std::uint64_t revision_ = 0, next_lease_ = 1;
    double state_down_until_ = 0, cloud_down_until_ = 0;
    std::map<std::string, double> refused_until_;
    struct Cut {
        std::string a, b;
        double until;
        bool hold;
        bool one_way = false;  // from a to b only
    };
    std::vector<Cut> cuts_;
    double copies_until_ = 0, copies_late_ = 0;
    double slow_until_ = 0, slow_by_ = 0;
    double close_looks_until_ = 0, cancel_at_end_until_ = 0, keep_copies_until_ = 0, late_commands_until_ = 0,
           fast_boots_until_ = 0, slow_writes_by_ = 0;
    std::vector<std::pair<std::string, http::Request>> kept_;  // with who sent it
    int led_ = -1;                                             // who led last
    void deliver_kept();
    int next_odd_ = 0, next_extra_ = 0;
    std::set<std::string> hidden_;
    std::optional<std::size_t> unserved_;
    std::string hidden_from_;
    std::map<std::string, json> rentals_;
    friend class HostTimers;
};

}  // namespace coralhitch::simulation

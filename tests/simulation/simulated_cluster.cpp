// The three controllers as processes in simulated time, and what happens regularly.
#include "simulation/simulated_cluster.hpp"

#include <algorithm>

#include "controller/controller.hpp"

namespace coralhitch::simulation {
namespace {
class NodeRequester : public http::Requester {
  public:
    NodeRequester(SimulatedCluster& w, std::string from) : world_(w), from_(std::move(from)) {}
    void send(const std::string& addr, http::Request r, double timeout, http::Result result) override {
        world_.send(from_, addr, std::move(r), timeout, std::move(result));
    }

  private:
    SimulatedCluster& world_;
    std::string from_;
};
}  // namespace

// Here, where the controller's type is complete.
Node::Node() = default;
Node::Node(Node&&) noexcept = default;
Node& Node::operator=(Node&&) noexcept = default;
Node::~Node() = default;

double HostTimers::now() const {
    return world_.now();
}
event_loop::TimerId HostTimers::after(double s, event_loop::Task task) {
    auto id = next_++;
    fire(id, world_.now() + std::max(0.0, s), std::move(task));
    return id;
}
void HostTimers::fire(event_loop::TimerId id, double due, event_loop::Task task) {
    world_.at(due, [this, alive = alive_, cancelled = cancelled_, id, task = std::move(task)] {
        if (!*alive || cancelled->erase(id)) return;
        if (still_until() > now()) return fire(id, still_until(), task);
        task();
    });
}

SimulatedCluster::SimulatedCluster(Options options)
    : options_(options), random_(options.seed), changes_left_(options.write_rps, options.write_rps) {
    for (std::size_t k = 0; k < 3; ++k) {
        Node n;
        auto& s = n.settings;
        s.label = "berth-" + std::to_string(k);
        s.zone = zones[k % 2];
        s.listen = addr_of(k);
        s.peer_listen = host(addr_of(k)) + ":8081";
        for (std::size_t p = 0; p < 3; ++p)
            if (p != k)
                s.peers.push_back({"berth-" + std::to_string(p), zones[p % 2], host(addr_of(p)) + ":8081"});
        s.kv_addr = state_addr;
        s.cloud_addr = cloud_addr;
        s.nodes = 3;
        s.zones = zones;
        s.teams = {{"free", 0, 0, 0, options_.free_gpus_max}, {"tight", 0, 0, 0, options_.gpus_max}};
        s.heartbeat_interval_s = options_.heartbeat_interval_s;
        s.lease_s = options_.lease_s;
        s.cancel_s = options_.cancel_s;
        s.gang_wait_s = 50;
        s.gang_peer_s = 5;
        s.op.relay_heartbeats = options_.relay_heartbeats;
        s.op.replicate_starts = !options_.without_replication.contains(k);
        s.kv_rps = 200;
        s.kv_write_rps = options_.write_rps;
        s.value_kb = options_.value_kb;
        s.safe_value_kb = std::min(options_.value_kb, options_.next_value_kb);
        s.txn_ops = std::min(options_.txn_ops, options_.next_txn_ops);
        s.cloud_rps = 10;
        s.list_lag_s = 10;
        s.memory_mb = 100;
        s.sockets = 1000;
        nodes_.push_back(std::move(n));
    }
    for (std::size_t k = 0; k < options_.machines; ++k) add_worker(zones[k % 2], k % 3 == 2);
    for (std::size_t k = 0; k < 3; ++k) boot(k);
    auto every = [this](double s, auto f) {
        auto again = std::make_shared<std::function<void()>>();
        *again = [this, s, f, weak = std::weak_ptr(again)] {
            f();
            if (auto self = weak.lock()) at(now_ + s, [self] { (*self)(); });
        };
        at(now_ + s, [again] { (*again)(); });
    };
    every(0.1, [this] { expire_leases(); });
    every(0.5, [this] { check_cancelled(); });
    every(1.0, [this] { balance(); });
    every(1.0, [this] { check_waiting(); });
    every(0.05, [this] { deliver_kept(); });
    every(4.0, [this] { poll_all(); });
    // A hanging machine's tasks end with its lease too.
    every(0.1, [this] {
        for (auto& w : workers)
            if (!w->dead) check_lease(*w);
    });
}
SimulatedCluster::~SimulatedCluster() {
    for (auto& n : nodes_)
        if (n.timers) n.timers->kill();
    // A controller that ends answers what still waits with it, into a world that must be whole.
    for (auto* all : {&nodes_, &graveyard_})
        for (auto& n : *all) n.controller.reset();
}

void SimulatedCluster::run_until(double t) {
    while (!queue_.empty() && queue_.top().t <= t) {
        auto e = queue_.top();
        queue_.pop();
        now_ = e.t;
        e.task();
    }
    now_ = t;
}

void SimulatedCluster::boot(std::size_t k) {
    auto& n = nodes_[k];
    n.timers = std::make_unique<HostTimers>(*this);
    n.http = std::make_unique<NodeRequester>(*this, n.settings.listen);
    n.planner = std::make_unique<InlinePlanner>(*n.timers);
    n.controller =
        std::make_unique<controller::Controller>(*n.timers, *n.http, n.settings, *n.planner, random_());
    n.up = true;
    ++n.lives;
    n.busy_until = now_;
    n.controller->start();
}
void SimulatedCluster::crash(std::size_t k, double back_after) {
    auto& n = nodes_[k];
    if (!n.up) return;
    n.up = false;
    n.timers->kill();
    // What was under way may still call back; the dead process only never acts on it.
    Node dead;
    dead.timers = std::move(n.timers);
    dead.http = std::move(n.http);
    dead.planner = std::move(n.planner);
    dead.controller = std::move(n.controller);
    graveyard_.push_back(std::move(dead));
    at(now_ + back_after, [this, k] { boot(k); });
}
std::string SimulatedCluster::told_by(std::size_t k, const std::string& gauge) {
    std::string value;
    if (nodes_[k].up)
        nodes_[k].controller->serve({"GET", "/metrics", {}}, [&](http::Response r) {
            auto at = r.body.find("{of=\"" + gauge + "\"} ");
            if (at == std::string::npos) return;
            at = r.body.find(' ', at) + 1;
            value = r.body.substr(at, r.body.find('\n', at) - at);
        });
    return value;
}
void SimulatedCluster::stand_still(std::size_t k, double for_s) {
    if (nodes_[k].up) nodes_[k].timers->stand_still(now_ + for_s);
}
bool SimulatedCluster::healthy(std::size_t node) const {
    return nodes_[node].controller->healthy();
}
void SimulatedCluster::ask_node(std::size_t node, http::Request r, http::Reply done) {
    nodes_[node].controller->serve(std::move(r), std::move(done));
}
int SimulatedCluster::leader() const {
    for (std::size_t k = 0; k < nodes_.size(); ++k)
        if (nodes_[k].up && nodes_[k].controller->leads()) return static_cast<int>(k);
    return -1;
}

}  // namespace coralhitch::simulation

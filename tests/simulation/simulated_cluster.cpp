// The three controllers as processes in simulated time, and the periodic checks.
#include "simulation/simulated_cluster.hpp"

#include <algorithm>

#include "controller/controller.hpp"

namespace coralhitch::simulation {
namespace {
// Sends a controller's requests through the simulated network.
class NodeRequester : public http::Requester {
  public:
    NodeRequester(SimulatedCluster& cluster, std::string from) : cluster_(cluster), from_(std::move(from)) {}
    void send(const std::string& addr, http::Request request, double timeout, http::Result result) override {
        cluster_.send(from_, addr, std::move(request), timeout, std::move(result));
    }

  private:
    SimulatedCluster& cluster_;
    std::string from_;
};

std::string label_of(std::size_t node) {
    return "berth-" + std::to_string(node);
}
}  // namespace

// Defined here, where the controller's type is complete.
Node::Node() = default;
Node::Node(Node&&) noexcept = default;
Node& Node::operator=(Node&&) noexcept = default;
Node::~Node() = default;

SimulatedCluster::SimulatedCluster(Options options)
    : options_(options),
      checker_(rules_of(options)),
      random_(options.seed),
      key_value_store(events_, random_,
                      {.limits = {options.value_kb, options.txn_ops},
                       .reduced_limits = {options.reduced_value_kb, options.reduced_txn_ops},
                       .limits_reduced_at = options.limits_reduced_at,
                       .write_rps = options.write_rps}) {
    key_value_store.on_change = [this](const std::string& key) {
        auto job = jobs.find(key.substr(key.find('/') + 1));
        if (job != jobs.end() && key.starts_with("final/")) job->second.stored_at = now();
    };
    for (std::size_t k = 0; k < controller_count; ++k) {
        Node node;
        node.settings = settings_for(k);
        nodes_.push_back(std::move(node));
    }
    for (std::size_t k = 0; k < options_.machines; ++k) add_machine(zones[k % 2], k % 3 == 2);
    for (std::size_t k = 0; k < controller_count; ++k) boot(k);
    schedule_regular_work();
}
config::Settings SimulatedCluster::settings_for(std::size_t number) const {
    config::Settings settings;
    settings.label = label_of(number);
    settings.zone = zones[number % 2];
    settings.listen = addr_of(number);
    settings.peer_listen = host_of_address(addr_of(number)) + ":8081";
    for (std::size_t peer = 0; peer < 3; ++peer)
        if (peer != number)
            settings.peers.push_back(
                {label_of(peer), zones[peer % 2], host_of_address(addr_of(peer)) + ":8081"});
    settings.kv_addr = state_addr;
    settings.cloud_addr = cloud_addr;
    settings.nodes = 3;
    settings.zones = zones;
    settings.teams = {{"free", 0, 0, 0, options_.free_gpus_max}, {"tight", 0, 0, 0, options_.gpus_max}};
    settings.heartbeat_interval_s = options_.heartbeat_interval_s;
    settings.lease_s = options_.lease_s;
    settings.cancel_s = options_.cancel_s;
    settings.gang_wait_s = 50;
    settings.gang_peer_s = 5;
    settings.op.relay_heartbeats = options_.relay_heartbeats;
    settings.op.replicate_starts = !options_.without_replication.contains(number);
    settings.kv_rps = 200;
    settings.kv_write_rps = options_.write_rps;
    settings.value_kb = options_.value_kb;
    settings.safe_value_kb = std::min(options_.value_kb, options_.reduced_value_kb);
    settings.txn_ops = std::min(options_.txn_ops, options_.reduced_txn_ops);
    settings.cloud_rps = 10;
    settings.list_lag_s = 10;
    settings.memory_mb = 100;
    settings.sockets = 1000;
    return settings;
}
void SimulatedCluster::repeat_every(double period_s, const std::function<void()>& action) {
    at(now() + period_s, [this, period_s, action] {
        action();
        repeat_every(period_s, action);
    });
}
void SimulatedCluster::schedule_regular_work() {
    repeat_every(0.1, [this] { key_value_store.expire_leases(); });
    repeat_every(0.5, [this] { checker_.check_cancelled_jobs(now()); });
    repeat_every(1.0, [this] { check_health(); });
    repeat_every(1.0, [this] { check_waiting(); });
    repeat_every(4.0, [this] { check_dependency_steps(); });
    repeat_every(0.05, [this] { replay_kept_heartbeats(); });
    repeat_every(4.0, [this] { query_all_jobs(); });
    // The tasks of a hanging machine end when its lease expires, too.
    repeat_every(0.1, [this] {
        for (auto& worker : workers)
            if (!worker->dead) check_lease(*worker);
    });
}
SimulatedCluster::~SimulatedCluster() {
    for (auto& node : nodes_)
        if (node.timers) node.timers->kill();
    // A controller's destructor answers the requests that still wait in it. The answers reach this cluster,
    // whose members must still exist then.
    for (auto* all : {&nodes_, &crashed_nodes_})
        for (auto& node : *all) node.controller.reset();
}

void SimulatedCluster::boot(std::size_t number) {
    auto& node = nodes_[number];
    node.timers = std::make_unique<HostTimers>(events_);
    node.http = std::make_unique<NodeRequester>(*this, node.settings.listen);
    node.planner = std::make_unique<InlinePlanner>(*node.timers);
    node.controller = std::make_unique<controller::Controller>(*node.timers, *node.http, node.settings,
                                                               *node.planner, random_());
    node.up = true;
    ++node.incarnation;
    node.busy_until = now();
    node.controller->start();
}
void SimulatedCluster::crash(std::size_t number, double back_after) {
    auto& node = nodes_[number];
    if (!node.up) return;
    node.up = false;
    node.timers->kill();
    // Pending responses may still call back into these objects, so they are kept. Their timers are dead, and
    // the process takes no further action.
    Node dead;
    dead.timers = std::move(node.timers);
    dead.http = std::move(node.http);
    dead.planner = std::move(node.planner);
    dead.controller = std::move(node.controller);
    crashed_nodes_.push_back(std::move(dead));
    at(now() + back_after, [this, number] { boot(number); });
}
void SimulatedCluster::freeze(std::size_t number, double for_s) {
    if (nodes_[number].up) nodes_[number].timers->freeze(now() + for_s);
}
bool SimulatedCluster::healthy(std::size_t node) const {
    return nodes_[node].controller->healthy();
}
void SimulatedCluster::send_user_request(std::size_t node, http::Request request, http::Reply done) {
    nodes_[node].controller->serve(std::move(request), std::move(done));
}
std::optional<std::size_t> SimulatedCluster::leader() const {
    for (std::size_t node = 0; node < nodes_.size(); ++node)
        if (nodes_[node].up && nodes_[node].controller->leads()) return node;
    return {};
}

}  // namespace coralhitch::simulation

// The network between all hosts, and the load balancer in front of the controllers.
#include <algorithm>

#include "controller/controller.hpp"
#include "protocol/agent_api.hpp"
#include "protocol/peer_messages.hpp"
#include "simulation/simulated_cluster.hpp"

namespace coralhitch::simulation {
namespace {
// Removes the feature flags from a ping, as the previous version sends it.
std::string old_ping(const std::string& body) {
    auto ping = protocol::unpack_peer<protocol::PeerPing>(body).value();
    ping.features = 0;
    return protocol::pack_peer(ping);
}
}  // namespace

// Returns the delay of a direct command in seconds, 0 if it is not delayed. A test's `command_delay` decides
// alone if it is set; otherwise one command in four is delayed while that fault lasts.
double SimulatedCluster::draw_command_delay(const std::string& to, const http::Request& request) {
    if (request.target != protocol::paths::commands) return 0;
    if (command_delay) return command_delay(to, request);
    if (now() >= delay_commands_until_ || random_() % 4 != 0) return 0;
    return std::uniform_real_distribution<double>(2, 16)(random_);
}

// A request that a host has sent and that has neither been answered nor timed out.
struct SimulatedCluster::PendingRequest {
    std::string sender, receiver;
    http::Result result;
    std::uint64_t incarnation = 0;  // the sender's process
    bool ended = false;
    // A response that has arrived and waits to be processed. It is passed on at the time-out at the latest.
    std::optional<http::Response> unread = {};

    // Passes the response, or nothing at the time-out, to the sender. Only the first call has an effect.
    void end(std::optional<http::Response> response) {
        if (std::exchange(ended, true)) return;
        result(std::move(response));
    }
};

void SimulatedCluster::send(const std::string& from, const std::string& to, http::Request request,
                            double timeout, http::Result result) {
    digest.add(now(), from, to, request.method + " " + request.target, request.body);
    if (on_message) at(now(), [this, from, to, request] { on_message(from, to, request); });
    maybe_duplicate(from, to, request);
    auto pending = std::make_shared<PendingRequest>(PendingRequest{from, to, std::move(result)});
    for (auto& node : nodes_) {
        if (node.settings.listen != from) continue;
        node.timers->after(timeout, [pending] { pending->end(std::move(pending->unread)); });
        pending->incarnation = node.incarnation;
    }
    if (double late = draw_command_delay(to, request); late > 0)
        return at(now() + late,
                  [this, from, to, request] { deliver(from, to, request, [](http::Response) {}); });
    double arrives_after = now();
    if (auto blocked = partitions_.find(host_of_address(from), host_of_address(to), now())) {
        if (blocked->packets == Packets::dropped) return;
        arrives_after = blocked->until;
    }
    at(arrives_after + latency(), [this, pending, request = std::move(request)] {
        deliver(pending->sender, pending->receiver, request,
                [this, pending](http::Response response) { send_back(pending, std::move(response)); });
    });
}
void SimulatedCluster::maybe_duplicate(const std::string& from, const std::string& to,
                                       const http::Request& request) {
    constexpr std::size_t most_kept = 200;
    bool heartbeat = request.target == protocol::paths::heartbeat;
    if (now() < duplicates_until_ && random_() % 4 == 0) {
        double late = std::uniform_real_distribution<double>(0.05, duplicates_max_delay_s_)(random_);
        auto receiver = heartbeat ? addr_of(random_() % 3) : to;
        at(now() + late,
           [this, from, receiver, request] { deliver(from, receiver, request, [](http::Response) {}); });
    }
    if (now() < keep_heartbeats_until_ && heartbeat && kept_heartbeats_.size() < most_kept &&
        random_() % 3 == 0)
        kept_heartbeats_.push_back({from, request});
}
void SimulatedCluster::send_back(const std::shared_ptr<PendingRequest>& pending, http::Response response) {
    auto& responder = pending->receiver;
    digest.add(now(), responder, pending->sender, std::to_string(response.status), response.body);
    if (partitions_.find(host_of_address(responder), host_of_address(pending->sender), now())) return;
    at(now() + latency(),
       [this, pending, response = std::move(response)] { read_response(pending, response); });
}
// A process that is restarted within a fraction of a second must not receive responses to its predecessor's
// requests: the callbacks of the dead process would run, and end the lease of the process that replaces it.
void SimulatedCluster::read_response(const std::shared_ptr<PendingRequest>& pending,
                                     const http::Response& response) {
    for (auto& node : nodes_) {
        if (node.settings.listen != pending->sender) continue;
        if (!node.up || node.incarnation != pending->incarnation) return;
        if (node.timers->frozen_until() > now()) {
            node.timers->after(0, [pending, response] { pending->end(response); });
            return;
        }
        if (pending->receiver.starts_with("10.1.")) {  // a worker
            pending->unread = response;
            return process_in_turn(node, [pending, response] { pending->end(response); });
        }
    }
    pending->end(response);
}

void SimulatedCluster::deliver(const std::string& from, const std::string& to, const http::Request& request,
                               const http::Reply& reply) {
    if (to == state_addr) return key_value_store.receive(from, request, reply);
    if (to == cloud_addr) return reply(serve_cloud_request(request));
    for (auto& node : nodes_)
        if (host_of_address(node.settings.listen) == host_of_address(to))
            return deliver_to_controller(node, from, to, request, reply);
    for (auto& worker : workers)
        if (worker->addr == to) return deliver_to_worker(*worker, from, request, reply);
}
void SimulatedCluster::deliver_to_controller(Node& node, const std::string& from, const std::string& to,
                                             http::Request request, http::Reply reply) {
    if (!node.up) return;
    if (node.timers->frozen_until() > now()) {
        node.timers->after(0, [this, from, to, request, reply] { deliver(from, to, request, reply); });
        return;
    }
    if (to == node.settings.peer_listen && options_.pings_of_previous_version &&
        request.target == protocol::peer_ping_path) {
        request.body = old_ping(request.body);
        return node.controller->serve_peer(std::move(request), [reply](http::Response response) {
            response.body = old_ping(response.body);
            reply(std::move(response));
        });
    }
    if (to == node.settings.peer_listen)
        return node.controller->serve_peer(std::move(request), std::move(reply));
    if (request.target == protocol::paths::heartbeat)
        return process_in_turn(node, [&node, request, reply] { node.controller->serve(request, reply); });
    node.controller->serve(std::move(request), std::move(reply));
}
void SimulatedCluster::deliver_to_worker(Worker& worker, const std::string& from,
                                         const http::Request& request, const http::Reply& reply) {
    if (worker.dead || now() < worker.up_at) return;
    if (!worker.hung) return reply(serve_command(worker, request));
    // A hanging machine reads the requests that have arrived once it responds again.
    constexpr double try_again_s = 0.5;
    at(now() + try_again_s,
       [this, from, to = worker.addr, request, reply] { deliver(from, to, request, reply); });
}

void SimulatedCluster::replay_kept_heartbeats() {
    auto leads = leader();
    if (!leads || leads == std::exchange(last_leader_, leads)) return;
    for (auto& kept : std::exchange(kept_heartbeats_, {}))
        for (std::size_t k = 0; k < nodes_.size(); ++k)
            at(now() + 10 * latency(), [this, kept, to = addr_of(k)] {
                deliver(kept.from, to, kept.request, [](http::Response) {});
            });
}

// Processes workers' messages one after the other, each in `heartbeat_processing_s`. Other messages do not
// wait for them.
void SimulatedCluster::process_in_turn(Node& node, event_loop::Task task) {
    if (options_.heartbeat_processing_s <= 0) return task();
    node.busy_until = std::max(now(), node.busy_until) + options_.heartbeat_processing_s;
    node.timers->after(node.busy_until - now(), std::move(task));
}

// Checks the controllers' health for the load balancer. A controller is taken out of rotation after two
// failures in a row or three of the last six checks. It is put back after two successes in a row and a pause
// of 3 s, which doubles up to 60 s each time that it is removed again within 120 s.
void SimulatedCluster::check_health() {
    for (auto& node : nodes_) {
        bool ok = node.up && node.timers->frozen_until() <= now() && node.controller->healthy();
        node.health_checks.push_back(ok);
        if (node.health_checks.size() > 6) node.health_checks.pop_front();
        auto failed = std::count(node.health_checks.begin(), node.health_checks.end(), false);
        bool twice = node.health_checks.size() >= 2 &&
                     node.health_checks.back() == node.health_checks[node.health_checks.size() - 2];
        if (node.in_rotation && !ok && (twice || failed >= 3)) {
            node.in_rotation = false;
            node.readmission_pause_s =
                now() - node.removed_at < 120 ? std::min(60.0, node.readmission_pause_s * 2) : 3;
            node.removed_at = now();
        } else if (!node.in_rotation && ok &&
                   (!node.ever_in_rotation ||
                    (twice && now() - node.removed_at >= node.readmission_pause_s))) {
            node.in_rotation = node.ever_in_rotation = true;
            node.health_checks.clear();
        }
    }
}
// Returns a random controller that is up and in rotation, or one that is only up as long as none was in
// rotation yet; null if there is none. A refused connection is tried at the next controller.
Node* SimulatedCluster::pick_controller() {
    bool ever = std::any_of(nodes_.begin(), nodes_.end(), [](auto& node) { return node.ever_in_rotation; });
    auto first = random_() % nodes_.size();
    for (std::size_t k = 0; k < nodes_.size(); ++k) {
        auto& node = nodes_[(first + k) % nodes_.size()];
        if (removed_from_load_balancer_ && &node == &nodes_[*removed_from_load_balancer_]) continue;
        if (node.up && (node.in_rotation || !ever)) return &node;
    }
    return nullptr;
}

}  // namespace coralhitch::simulation

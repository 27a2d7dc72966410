// The network between all hosts, and the load balancer in front of the controllers.
#include <algorithm>

#include "controller/controller.hpp"
#include "simulation/simulated_cluster.hpp"

namespace coralhitch::simulation {
namespace {
std::string old_ping(const std::string& body) {
    auto ping = protocol::unpack_peer<protocol::PeerPing>(body).value();
    ping.features = 0;
    return protocol::pack_peer(ping);
}
}  // namespace

// Ends of a cut are hosts, with or without a port, or, with a dot at the end, all hosts that begin so. A
// machine's address with its port used to match no host at all, so that such a cut did nothing.
void SimulatedCluster::add_partition(const std::string& one_end, const std::string& other_end, double for_s,
                                     bool hold, bool one_way) {
    partitions_.push_back({host(one_end), host(other_end), now_ + for_s, hold, one_way});
}
bool SimulatedCluster::is_partitioned(const std::string& one_end, const std::string& other_end, bool& hold,
                                      double& until) const {
    bool found = false;
    for (auto& partition : partitions_) {
        if (partition.until <= now_) continue;
        auto match = [](const std::string& pattern, const std::string& host) {
            return pattern.ends_with('.') ? host.starts_with(pattern) : host == pattern;
        };
        if (!(match(partition.a, one_end) && match(partition.b, other_end)) &&
            (partition.one_way || !(match(partition.a, other_end) && match(partition.b, one_end))))
            continue;
        found = true;
        hold = partition.hold;
        until = std::max(until, partition.until);
    }
    return found;
}

// Seconds by which a direct command is held up, 0 if it is not: by a script, or for one in four while that
// fault lasts.
double SimulatedCluster::draw_command_delay(const std::string& to, const http::Request& request) {
    if (request.target != protocol::paths::commands) return 0;
    if (command_delay) return command_delay(to, request);
    if (now_ >= delay_commands_until_ || random_() % 4 != 0) return 0;
    return std::uniform_real_distribution<double>(2, 16)(random_);
}

void SimulatedCluster::send(const std::string& from, const std::string& to, http::Request request,
                            double timeout, http::Result result) {
    digest.add(now_, from, to, request.method + " " + request.target, request.body);
    if (on_message) at(now_, [this, from, to, request] { on_message(from, to, request); });
    if (now_ < duplicates_until_ && random_() % 4 == 0) {
        double late = std::uniform_real_distribution<double>(0.05, duplicates_max_delay_s_)(random_);
        auto again = request.target == protocol::paths::report ? addr_of(random_() % 3) : to;
        at(now_ + late,
           [this, from, again, request] { deliver(from, again, request, [](http::Response) {}); });
    }
    if (now_ < keep_heartbeats_until_ && request.target == protocol::paths::report &&
        kept_heartbeats_.size() < 200 && random_() % 3 == 0)
        kept_heartbeats_.emplace_back(from, request);
    auto done = std::make_shared<bool>(false);
    auto end = [done, result](std::optional<http::Response> answer) {
        if (std::exchange(*done, true)) return;
        result(std::move(answer));
    };
    // What has come and was not read yet is read when the time is up.
    auto come = std::make_shared<std::optional<http::Response>>();
    std::uint64_t incarnation = 0;
    for (auto& node : nodes_) {
        if (node.settings.listen != from) continue;
        node.timers->after(timeout, [end, come] { end(std::move(*come)); });
        incarnation = node.incarnation;
    }
    auto sender = from;
    // A process that is back within a fraction of a second must not hear what the one before it asked: that
    // one would go on acting, and end the lease of the process that runs in its place.
    auto back = [this, end, sender, to, come, incarnation](http::Response answer) {
        digest.add(now_, to, sender, std::to_string(answer.status), answer.body);
        bool hold = false;
        double until = 0;
        if (is_partitioned(host(to), host(sender), hold, until)) return;
        at(now_ + latency(), [this, end, sender, to, come, incarnation, answer = std::move(answer)] {
            for (auto& node : nodes_) {
                if (node.settings.listen != sender) continue;
                if (!node.up || node.incarnation != incarnation) return;
                if (node.timers->frozen_until() > now_) {
                    node.timers->after(0, [end, answer] { end(answer); });
                    return;
                }
                if (to.rfind("10.1.", 0) == 0) {
                    *come = answer;
                    return process_in_turn(node, [end, answer] { end(answer); });
                }
            }
            end(answer);
        });
    };
    if (double late = draw_command_delay(to, request); late > 0)
        return at(now_ + late,
                  [this, from, to, request] { deliver(from, to, request, [](http::Response) {}); });
    bool hold = false;
    double until = 0;
    if (is_partitioned(host(from), host(to), hold, until)) {
        // Held packets arrive when the cut ends, even if the sender has given up.
        if (hold)
            at(until + latency(), [this, from, to, request, back] { deliver(from, to, request, back); });
        return;
    }
    at(now_ + latency(),
       [this, from, to, request = std::move(request), back] { deliver(from, to, request, back); });
}

void SimulatedCluster::deliver(const std::string& from, const std::string& to, http::Request request,
                               http::Reply reply) {
    if (to == state_addr && now_ < slow_key_value_store_until_) {
        double by = std::uniform_real_distribution<double>(0.5, 1)(random_) * key_value_store_delay_s_;
        return at(now_ + by, [this, from, request, reply] { state(from, request, reply); });
    }
    if (to == state_addr) return state(from, request, std::move(reply));
    if (to == cloud_addr) return reply(cloud(request));
    for (auto& node : nodes_) {
        if (host(node.settings.listen) != host(to)) continue;
        if (!node.up) return;
        if (node.timers->frozen_until() > now_) {
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
        if (request.target == protocol::paths::report)
            return process_in_turn(node, [&node, request, reply] { node.controller->serve(request, reply); });
        return node.controller->serve(std::move(request), std::move(reply));
    }
    for (auto& worker : workers) {
        if (worker->addr != to) continue;
        if (worker->dead || now_ < worker->up_at) return;
        if (worker->hung) {
            // A hanging machine reads what came in once it goes on.
            at(now_ + 0.5, [this, from, to, request, reply] { deliver(from, to, request, reply); });
            return;
        }
        return reply(serve_command(*worker, request));
    }
}

void SimulatedCluster::replay_kept_heartbeats() {
    auto leads = leader();
    if (leads < 0 || leads == std::exchange(last_leader_, leads)) return;
    for (auto& [from, heartbeat] : std::exchange(kept_heartbeats_, {}))
        for (std::size_t k = 0; k < nodes_.size(); ++k)
            at(now_ + 10 * latency(), [this, from, to = addr_of(k), heartbeat] {
                deliver(from, to, heartbeat, [](http::Response) {});
            });
}

// Messages of workers take time to read and wait for each other; what else comes does not wait for them.
void SimulatedCluster::process_in_turn(Node& node, event_loop::Task task) {
    if (options_.heartbeat_processing_s <= 0) return task();
    node.busy_until = std::max(now_, node.busy_until) + options_.heartbeat_processing_s;
    node.timers->after(node.busy_until - now_, std::move(task));
}

// The load balancer's view of the controllers: out after two failures in a row or three of six, back after
// two successes and a pause that doubles.
void SimulatedCluster::check_health() {
    for (auto& node : nodes_) {
        bool ok = node.up && node.timers->frozen_until() <= now_ && node.controller->healthy();
        node.health_checks.push_back(ok);
        if (node.health_checks.size() > 6) node.health_checks.pop_front();
        auto failed = std::count(node.health_checks.begin(), node.health_checks.end(), false);
        bool twice = node.health_checks.size() >= 2 &&
                     node.health_checks.back() == node.health_checks[node.health_checks.size() - 2];
        if (node.in_rotation && !ok && (twice || failed >= 3)) {
            node.in_rotation = false;
            node.readmission_pause_s =
                now_ - node.removed_at < 120 ? std::min(60.0, node.readmission_pause_s * 2) : 3;
            node.removed_at = now_;
        } else if (!node.in_rotation && ok &&
                   (!node.ever_in_rotation ||
                    (twice && now_ - node.removed_at >= node.readmission_pause_s))) {
            node.in_rotation = node.ever_in_rotation = true;
            node.health_checks.clear();
        }
    }
}
// A refused connection is tried at another controller.
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

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
void SimulatedCluster::add_partition(const std::string& a, const std::string& b, double for_s, bool hold,
                               bool one_way) {
    partitions_.push_back({host(a), host(b), now_ + for_s, hold, one_way});
}
bool SimulatedCluster::is_partitioned(const std::string& a, const std::string& b, bool& hold, double& until) const {
    bool found = false;
    for (auto& c : partitions_) {
        if (c.until <= now_) continue;
        auto match = [](const std::string& p, const std::string& h) {
            return p.ends_with('.') ? h.starts_with(p) : h == p;
        };
        if (!(match(c.a, a) && match(c.b, b)) && (c.one_way || !(match(c.a, b) && match(c.b, a)))) continue;
        found = true;
        hold = c.hold;
        until = std::max(until, c.until);
    }
    return found;
}

// Seconds by which a direct command is held up, 0 if it is not: by a script, or for one in four while that
// fault lasts.
double SimulatedCluster::draw_command_delay(const std::string& to, const http::Request& r) {
    if (r.target != protocol::paths::commands) return 0;
    if (command_delay) return command_delay(to, r);
    if (now_ >= delay_commands_until_ || random_() % 4 != 0) return 0;
    return std::uniform_real_distribution<double>(2, 16)(random_);
}

void SimulatedCluster::send(const std::string& from, const std::string& to, http::Request r, double timeout,
                            http::Result result) {
    digest.add(now_, from, to, r.method + " " + r.target, r.body);
    if (on_message) at(now_, [this, from, to, r] { on_message(from, to, r); });
    if (now_ < duplicates_until_ && random_() % 4 == 0) {
        double late = std::uniform_real_distribution<double>(0.05, duplicates_max_delay_s_)(random_);
        auto again = r.target == protocol::paths::report ? addr_of(random_() % 3) : to;
        at(now_ + late, [this, from, again, r] { deliver(from, again, r, [](http::Response) {}); });
    }
    if (now_ < keep_heartbeats_until_ && r.target == protocol::paths::report && kept_heartbeats_.size() < 200 &&
        random_() % 3 == 0)
        kept_heartbeats_.emplace_back(from, r);
    auto done = std::make_shared<bool>(false);
    auto end = [done, result](std::optional<http::Response> answer) {
        if (std::exchange(*done, true)) return;
        result(std::move(answer));
    };
    // What has come and was not read yet is read when the time is up.
    auto come = std::make_shared<std::optional<http::Response>>();
    std::uint64_t incarnation = 0;
    for (auto& n : nodes_) {
        if (n.settings.listen != from) continue;
        n.timers->after(timeout, [end, come] { end(std::move(*come)); });
        incarnation = n.incarnation;
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
            for (auto& n : nodes_) {
                if (n.settings.listen != sender) continue;
                if (!n.up || n.incarnation != incarnation) return;
                if (n.timers->frozen_until() > now_) {
                    n.timers->after(0, [end, answer] { end(answer); });
                    return;
                }
                if (to.rfind("10.1.", 0) == 0) {
                    *come = answer;
                    return process_in_turn(n, [end, answer] { end(answer); });
                }
            }
            end(answer);
        });
    };
    if (double late = draw_command_delay(to, r); late > 0)
        return at(now_ + late, [this, from, to, r] { deliver(from, to, r, [](http::Response) {}); });
    bool hold = false;
    double until = 0;
    if (is_partitioned(host(from), host(to), hold, until)) {
        // Held packets arrive when the cut ends, even if the sender has given up.
        if (hold) at(until + latency(), [this, from, to, r, back] { deliver(from, to, r, back); });
        return;
    }
    at(now_ + latency(), [this, from, to, r = std::move(r), back] { deliver(from, to, r, back); });
}

void SimulatedCluster::deliver(const std::string& from, const std::string& to, http::Request r,
                               http::Reply reply) {
    if (to == state_addr && now_ < slow_key_value_store_until_) {
        double by = std::uniform_real_distribution<double>(0.5, 1)(random_) * key_value_store_delay_s_;
        return at(now_ + by, [this, from, r, reply] { state(from, r, reply); });
    }
    if (to == state_addr) return state(from, r, std::move(reply));
    if (to == cloud_addr) return reply(cloud(r));
    for (auto& n : nodes_) {
        if (host(n.settings.listen) != host(to)) continue;
        if (!n.up) return;
        if (n.timers->frozen_until() > now_) {
            n.timers->after(0, [this, from, to, r, reply] { deliver(from, to, r, reply); });
            return;
        }
        if (to == n.settings.peer_listen && options_.pings_of_previous_version && r.target == protocol::peer_ping_path) {
            r.body = old_ping(r.body);
            return n.controller->serve_peer(std::move(r), [reply](http::Response a) {
                a.body = old_ping(a.body);
                reply(std::move(a));
            });
        }
        if (to == n.settings.peer_listen) return n.controller->serve_peer(std::move(r), std::move(reply));
        if (r.target == protocol::paths::report)
            return process_in_turn(n, [&n, r, reply] { n.controller->serve(r, reply); });
        return n.controller->serve(std::move(r), std::move(reply));
    }
    for (auto& w : workers) {
        if (w->addr != to) continue;
        if (w->dead || now_ < w->up_at) return;
        if (w->hung) {
            // A hanging machine reads what came in once it goes on.
            at(now_ + 0.5, [this, from, to, r, reply] { deliver(from, to, r, reply); });
            return;
        }
        return reply(serve_command(*w, r));
    }
}

void SimulatedCluster::replay_kept_heartbeats() {
    auto leads = leader();
    if (leads < 0 || leads == std::exchange(last_leader_, leads)) return;
    for (auto& [from, r] : std::exchange(kept_heartbeats_, {}))
        for (std::size_t k = 0; k < nodes_.size(); ++k)
            at(now_ + 10 * latency(),
               [this, from, to = addr_of(k), r] { deliver(from, to, r, [](http::Response) {}); });
}

// Messages of workers take time to read and wait for each other; what else comes does not wait for them.
void SimulatedCluster::process_in_turn(Node& n, event_loop::Task task) {
    if (options_.heartbeat_processing_s <= 0) return task();
    n.busy_until = std::max(now_, n.busy_until) + options_.heartbeat_processing_s;
    n.timers->after(n.busy_until - now_, std::move(task));
}

// The load balancer's view of the controllers: out after two failures in a row or three of six, back after
// two successes and a pause that doubles.
void SimulatedCluster::check_health() {
    for (auto& n : nodes_) {
        bool ok = n.up && n.timers->frozen_until() <= now_ && n.controller->healthy();
        n.health_checks.push_back(ok);
        if (n.health_checks.size() > 6) n.health_checks.pop_front();
        auto failed = std::count(n.health_checks.begin(), n.health_checks.end(), false);
        bool twice = n.health_checks.size() >= 2 && n.health_checks.back() == n.health_checks[n.health_checks.size() - 2];
        if (n.in_rotation && !ok && (twice || failed >= 3)) {
            n.in_rotation = false;
            n.readmission_pause_s = now_ - n.removed_at < 120 ? std::min(60.0, n.readmission_pause_s * 2) : 3;
            n.removed_at = now_;
        } else if (!n.in_rotation && ok && (!n.ever_in_rotation || (twice && now_ - n.removed_at >= n.readmission_pause_s))) {
            n.in_rotation = n.ever_in_rotation = true;
            n.health_checks.clear();
        }
    }
}
// A refused connection is tried at another controller.
Node* SimulatedCluster::pick_controller() {
    bool ever = std::any_of(nodes_.begin(), nodes_.end(), [](auto& n) { return n.ever_in_rotation; });
    auto first = random_() % nodes_.size();
    for (std::size_t k = 0; k < nodes_.size(); ++k) {
        auto& n = nodes_[(first + k) % nodes_.size()];
        if (removed_from_load_balancer_ && &n == &nodes_[*removed_from_load_balancer_]) continue;
        if (n.up && (n.in_rotation || !ever)) return &n;
    }
    return nullptr;
}

}  // namespace coralhitch::simulation

// The network between all hosts, and the load balancer in front of the controllers.
#include <algorithm>

#include "controller/controller.hpp"
#include "protocol/agent_api.hpp"
#include "protocol/peer_messages.hpp"
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
void SimulatedCluster::add_cut(const std::string& a, const std::string& b, double for_s, bool hold,
                               bool one_way) {
    cuts_.push_back({host(a), host(b), now_ + for_s, hold, one_way});
}
bool SimulatedCluster::is_cut(const std::string& a, const std::string& b, bool& hold, double& until) const {
    bool found = false;
    for (auto& c : cuts_) {
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
double SimulatedCluster::command_delay(const std::string& to, const http::Request& r) {
    if (r.target != protocol::paths::commands) return 0;
    if (late_command) return late_command(to, r);
    if (now_ >= late_commands_until_ || random_() % 4 != 0) return 0;
    return std::uniform_real_distribution<double>(2, 16)(random_);
}

void SimulatedCluster::send(const std::string& from, const std::string& to, http::Request r, double timeout,
                            http::Result result) {
    digest.add(now_, from, to, r.method + " " + r.target, r.body);
    if (sent) at(now_, [this, from, to, r] { sent(from, to, r); });
    if (now_ < copies_until_ && random_() % 4 == 0) {
        double late = std::uniform_real_distribution<double>(0.05, copies_late_)(random_);
        auto again = r.target == protocol::paths::heartbeat ? addr_of(random_() % 3) : to;
        at(now_ + late, [this, from, again, r] { deliver(from, again, r, [](http::Response) {}); });
    }
    if (now_ < keep_copies_until_ && r.target == protocol::paths::heartbeat && kept_.size() < 200 &&
        random_() % 3 == 0)
        kept_.emplace_back(from, r);
    auto done = std::make_shared<bool>(false);
    auto end = [done, result](std::optional<http::Response> answer) {
        if (std::exchange(*done, true)) return;
        result(std::move(answer));
    };
    // What has come and was not read yet is read when the time is up.
    auto come = std::make_shared<std::optional<http::Response>>();
    std::uint64_t life = 0;
    for (auto& n : nodes_) {
        if (n.settings.listen != from) continue;
        n.timers->after(timeout, [end, come] { end(std::move(*come)); });
        life = n.lives;
    }
    auto sender = from;
    // A process that is back within a fraction of a second must not hear what the one before it asked: that
    // one would go on acting, and end the lease of the process that runs in its place.
    auto back = [this, end, sender, to, come, life](http::Response answer) {
        digest.add(now_, to, sender, std::to_string(answer.status), answer.body);
        bool hold = false;
        double until = 0;
        if (is_cut(host(to), host(sender), hold, until)) return;
        at(now_ + latency(), [this, end, sender, to, come, life, answer = std::move(answer)] {
            for (auto& n : nodes_) {
                if (n.settings.listen != sender) continue;
                if (!n.up || n.lives != life) return;
                if (n.timers->still_until() > now_) {
                    n.timers->after(0, [end, answer] { end(answer); });
                    return;
                }
                if (to.rfind("10.1.", 0) == 0) {
                    *come = answer;
                    return in_turn(n, [end, answer] { end(answer); });
                }
            }
            end(answer);
        });
    };
    if (double late = command_delay(to, r); late > 0)
        return at(now_ + late, [this, from, to, r] { deliver(from, to, r, [](http::Response) {}); });
    bool hold = false;
    double until = 0;
    if (is_cut(host(from), host(to), hold, until)) {
        // Held packets arrive when the cut ends, even if the sender has given up.
        if (hold) at(until + latency(), [this, from, to, r, back] { deliver(from, to, r, back); });
        return;
    }
    at(now_ + latency(), [this, from, to, r = std::move(r), back] { deliver(from, to, r, back); });
}

void SimulatedCluster::deliver(const std::string& from, const std::string& to, http::Request r,
                               http::Reply reply) {
    if (to == state_addr && now_ < slow_until_) {
        double by = std::uniform_real_distribution<double>(0.5, 1)(random_) * slow_by_;
        return at(now_ + by, [this, from, r, reply] { state(from, r, reply); });
    }
    if (to == state_addr) return state(from, r, std::move(reply));
    if (to == cloud_addr) return reply(cloud(r));
    for (auto& n : nodes_) {
        if (host(n.settings.listen) != host(to)) continue;
        if (!n.up) return;
        if (n.timers->still_until() > now_) {
            n.timers->after(0, [this, from, to, r, reply] { deliver(from, to, r, reply); });
            return;
        }
        if (to == n.settings.peer_listen && options_.old_pings && r.target == protocol::peer_ping_path) {
            r.body = old_ping(r.body);
            return n.controller->serve_peer(std::move(r), [reply](http::Response a) {
                a.body = old_ping(a.body);
                reply(std::move(a));
            });
        }
        if (to == n.settings.peer_listen) return n.controller->serve_peer(std::move(r), std::move(reply));
        if (r.target == protocol::paths::heartbeat)
            return in_turn(n, [&n, r, reply] { n.controller->serve(r, reply); });
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
        return reply(direct(*w, r));
    }
}

void SimulatedCluster::deliver_kept() {
    auto leads = leader();
    if (leads < 0 || leads == std::exchange(led_, leads)) return;
    for (auto& [from, r] : std::exchange(kept_, {}))
        for (std::size_t k = 0; k < nodes_.size(); ++k)
            at(now_ + 10 * latency(),
               [this, from, to = addr_of(k), r] { deliver(from, to, r, [](http::Response) {}); });
}

// Messages of workers take time to read and wait for each other; what else comes does not wait for them.
void SimulatedCluster::in_turn(Node& n, event_loop::Task task) {
    if (options_.hear_s <= 0) return task();
    n.busy_until = std::max(now_, n.busy_until) + options_.hear_s;
    n.timers->after(n.busy_until - now_, std::move(task));
}

// The load balancer's view of the controllers: out after two failures in a row or three of six, back after
// two successes and a pause that doubles.
void SimulatedCluster::balance() {
    for (auto& n : nodes_) {
        bool ok = n.up && n.timers->still_until() <= now_ && n.controller->healthy();
        n.probes.push_back(ok);
        if (n.probes.size() > 6) n.probes.pop_front();
        auto failed = std::count(n.probes.begin(), n.probes.end(), false);
        bool twice = n.probes.size() >= 2 && n.probes.back() == n.probes[n.probes.size() - 2];
        if (n.served && !ok && (twice || failed >= 3)) {
            n.served = false;
            n.pause = now_ - n.removed_at < 120 ? std::min(60.0, n.pause * 2) : 3;
            n.removed_at = now_;
        } else if (!n.served && ok && (!n.ever_served || (twice && now_ - n.removed_at >= n.pause))) {
            n.served = n.ever_served = true;
            n.probes.clear();
        }
    }
}
// A refused connection is tried at another controller.
Node* SimulatedCluster::pick_node() {
    bool ever = std::any_of(nodes_.begin(), nodes_.end(), [](auto& n) { return n.ever_served; });
    auto first = random_() % nodes_.size();
    for (std::size_t k = 0; k < nodes_.size(); ++k) {
        auto& n = nodes_[(first + k) % nodes_.size()];
        if (unserved_ && &n == &nodes_[*unserved_]) continue;
        if (n.up && (n.served || !ever)) return &n;
    }
    return nullptr;
}

}  // namespace coralhitch::simulation

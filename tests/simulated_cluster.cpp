#include "simulated_cluster.hpp"

#include <algorithm>

namespace coralhitch::standin {
namespace {
constexpr const char* state_addr = "10.2.0.1:2379";
constexpr const char* cloud_addr = "10.2.0.2:8443";
const std::vector<std::string> zones{"a", "b"};
constexpr double gpus = 4;

class NodeRequester : public http::Requester {
  public:
    NodeRequester(World& w, std::string from) : world_(w), from_(std::move(from)) {}
    void send(const std::string& addr, http::Request r, double timeout, http::Result result) override {
        world_.send(from_, addr, std::move(r), timeout, std::move(result));
    }

  private:
    World& world_;
    std::string from_;
};
std::string old_ping(const std::string& body) {
    auto ping = wire::unpack_peer<wire::PeerPing>(body).value();
    ping.features = 0;
    return wire::pack_peer(ping);
}
std::vector<std::string> awaits_of(const json& spec) {
    auto it = spec.find("awaits");
    return it == spec.end() || it->is_null() ? std::vector<std::string>{}
                                             : it->get<std::vector<std::string>>();
}
std::string query(const std::string& target, const std::string& name) {
    auto at = target.find(name + "=");
    if (at == std::string::npos) return "";
    at += name.size() + 1;
    return target.substr(at, target.find('&', at) - at);
}
}  // namespace

double HostTimers::now() const {
    return world_.now();
}
loop::TimerId HostTimers::after(double s, loop::Task task) {
    auto id = next_++;
    fire(id, world_.now() + std::max(0.0, s), std::move(task));
    return id;
}
void HostTimers::fire(loop::TimerId id, double due, loop::Task task) {
    world_.at(due, [this, alive = alive_, cancelled = cancelled_, id, task = std::move(task)] {
        if (!*alive || cancelled->erase(id)) return;
        if (still_until() > now()) return fire(id, still_until(), task);
        task();
    });
}

World::World(Options options)
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
        s.state_addr = state_addr;
        s.cloud_addr = cloud_addr;
        s.nodes = 3;
        s.zones = zones;
        s.teams = {{"free", 0, 0, 0, 0}, {"tight", 0, 0, 0, options_.gpus_max}};
        s.report_s = options_.report_s;
        s.lease_s = options_.lease_s;
        s.cancel_s = options_.cancel_s;
        s.gang_wait_s = 50;
        s.gang_peer_s = 5;
        s.op.hearing = options_.hearing;
        s.op.standby = !options_.without_standby.contains(k);
        s.state_rps = 200;
        s.state_write_rps = options_.write_rps;
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
    every(4.0, [this] { poll_all(); });
    // A hanging machine's tasks end with its lease too.
    every(0.1, [this] {
        for (auto& w : workers)
            if (!w->dead) check_lease(*w);
    });
}
World::~World() {
    for (auto& n : nodes_)
        if (n.timers) n.timers->kill();
    // A controller that ends answers what still waits with it, into a world that must be whole.
    for (auto* all : {&nodes_, &graveyard_})
        for (auto& n : *all) n.controller.reset();
}

void World::run_until(double t) {
    while (!queue_.empty() && queue_.top().t <= t) {
        auto e = queue_.top();
        queue_.pop();
        now_ = e.t;
        e.task();
    }
    now_ = t;
}

void World::boot(std::size_t k) {
    auto& n = nodes_[k];
    n.timers = std::make_unique<HostTimers>(*this);
    n.http = std::make_unique<NodeRequester>(*this, n.settings.listen);
    n.planner = std::make_unique<InlinePlanner>(*n.timers);
    n.controller =
        std::make_unique<daemon::Controller>(*n.timers, *n.http, n.settings, *n.planner, random_());
    n.up = true;
    ++n.lives;
    n.busy_until = now_;
    n.controller->start();
}
void World::crash(std::size_t k, double back_after) {
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
std::string World::told_by(std::size_t k, const std::string& gauge) {
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
void World::stand_still(std::size_t k, double for_s) {
    if (nodes_[k].up) nodes_[k].timers->stand_still(now_ + for_s);
}
int World::leader() const {
    for (std::size_t k = 0; k < nodes_.size(); ++k)
        if (nodes_[k].up && nodes_[k].controller->leads()) return static_cast<int>(k);
    return -1;
}
void World::cut(const std::string& a, const std::string& b, double for_s, bool hold) {
    cuts_.push_back({a, b, now_ + for_s, hold, false});
}
bool World::is_cut(const std::string& a, const std::string& b, bool& hold, double& until) const {
    bool found = false;
    for (auto& c : cuts_) {
        if (c.until <= now_) continue;
        auto match = [](const std::string& p, const std::string& h) { return h.rfind(p, 0) == 0; };
        if (!(match(c.a, a) && match(c.b, b)) && (c.one_way || !(match(c.a, b) && match(c.b, a)))) continue;
        found = true;
        hold = c.hold;
        until = std::max(until, c.until);
    }
    return found;
}

void World::send(const std::string& from, const std::string& to, http::Request r, double timeout,
                 http::Result result) {
    if (sent) at(now_, [this, from, to, r] { sent(from, to, r); });
    if (now_ < copies_until_ && random_() % 4 == 0) {
        double late = std::uniform_real_distribution<double>(0.05, copies_late_)(random_);
        auto again = r.target == wire::paths::report ? addr_of(random_() % 3) : to;
        at(now_ + late, [this, from, again, r] { deliver(from, again, r, [](http::Response) {}); });
    }
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
    bool hold = false;
    double until = 0;
    if (is_cut(host(from), host(to), hold, until)) {
        // Held packets arrive when the cut ends, even if the sender has given up.
        if (hold) at(until + latency(), [this, from, to, r, back] { deliver(from, to, r, back); });
        return;
    }
    at(now_ + latency(), [this, from, to, r = std::move(r), back] { deliver(from, to, r, back); });
}

void World::deliver(const std::string& from, const std::string& to, http::Request r, http::Reply reply) {
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
        if (to == n.settings.peer_listen && options_.old_pings && r.target == wire::peer_ping_path) {
            r.body = old_ping(r.body);
            return n.controller->serve_peer(std::move(r), [reply](http::Response a) {
                a.body = old_ping(a.body);
                reply(std::move(a));
            });
        }
        if (to == n.settings.peer_listen) return n.controller->serve_peer(std::move(r), std::move(reply));
        if (r.target == wire::paths::report)
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

// Messages of workers take time to read and wait for each other; what else comes does not wait for them.
void World::in_turn(Node& n, loop::Task task) {
    if (options_.hear_s <= 0) return task();
    n.busy_until = std::max(now_, n.busy_until) + options_.hear_s;
    n.timers->after(n.busy_until - now_, std::move(task));
}

// The load balancer's view of the controllers: out after two failures in a row or three of six, back after
// two successes and a pause that doubles.
void World::balance() {
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
Node* World::pick_node() {
    bool ever = std::any_of(nodes_.begin(), nodes_.end(), [](auto& n) { return n.ever_served; });
    auto first = random_() % nodes_.size();
    for (std::size_t k = 0; k < nodes_.size(); ++k) {
        auto& n = nodes_[(first + k) % nodes_.size()];
        if (unserved_ && &n == &nodes_[*unserved_]) continue;
        if (n.up && (n.served || !ever)) return &n;
    }
    return nullptr;
}

// --- State service --------------------------------------------------------------------------------------

json World::events(const Watch& w) const {
    json out = json::array();
    for (auto& [revision, e] : history_) {
        auto key = e.value("put", e.value("drop", std::string()));
        bool hidden = hidden_.contains(key) && (w.waits || w.from == hidden_from_);
        if (revision > w.since && key.rfind(w.prefix, 0) == 0 && !hidden) out.push_back(e);
    }
    return out;
}
void World::kv_changed() {
    auto open = std::move(watches_);
    watches_.clear();
    for (auto& w : open) {
        bool out = state_down_until_ > now_ || refused_until_[w.from] > now_;
        auto news = out ? json::array() : events(w);
        if (!out && (!news.empty() || now_ >= w.until))
            w.reply({200, json{{"epoch", revision_}, {"news", news}}.dump()});
        else
            watches_.push_back(std::move(w));
    }
}
void World::expire_leases() {
    if (state_down_until_ > now_) {
        for (auto& [id, l] : leases_) l.until = state_down_until_ + l.ttl;
        return;
    }
    for (auto it = leases_.begin(); it != leases_.end();) {
        if (it->second.until > now_) {
            ++it;
            continue;
        }
        bool any = false;
        for (auto k = kv_.begin(); k != kv_.end();) {
            if (k->second.lease != it->first) {
                ++k;
                continue;
            }
            if (!any) ++revision_;
            any = true;
            history_.push_back({revision_, json{{"drop", k->first}, {"stamp", revision_}}});
            k = kv_.erase(k);
        }
        it = leases_.erase(it);
    }
    kv_changed();
}
http::Response World::txn(const json& j) {
    for (auto& c : j["then"])
        if (c.contains("mooring") && !leases_.contains(c["mooring"]))
            return {400, R"({"error":"no such lease"})"};
    json failed = json::array();
    for (auto& c : j["if"]) {
        auto it = kv_.find(c["path"].get<std::string>());
        if ((it == kv_.end() ? 0 : it->second.version) != c["stamp"].get<std::uint64_t>())
            failed.push_back(c["path"]);
    }
    if (!failed.empty()) return {409, json{{"failed", failed}, {"epoch", revision_}}.dump()};
    bool fallen = now_ >= options_.limits_fall_at;
    std::size_t ops = fallen ? options_.next_txn_ops : options_.txn_ops;
    double bytes = 1024 * (fallen ? options_.next_value_kb : options_.value_kb);
    if (j["then"].size() > ops || j["if"].size() > 4 * ops) return {400, R"({"error":"too many"})"};
    for (auto& c : j["then"])
        if (c.contains("put") && static_cast<double>(c["value"].dump().size()) > bytes)
            return {400, R"({"error":"too large"})"};
    ++revision_;
    for (auto& c : j["then"]) {
        std::string key = c.contains("put") ? c["put"] : c["drop"];
        ++changes[key.substr(0, key.find('/'))];
        if (auto job = jobs.find(key.substr(key.find('/') + 1));
            job != jobs.end() && key.starts_with("final/"))
            job->second.stored_at = now_;
        if (c.contains("put")) {
            kv_[c["put"]] = {c["value"].dump(), revision_, c.value("mooring", std::uint64_t{0})};
            history_.push_back(
                {revision_, json{{"put", c["put"]}, {"value", c["value"]}, {"stamp", revision_}}});
        } else {
            kv_.erase(c["drop"].get<std::string>());
            history_.push_back({revision_, json{{"drop", c["drop"]}, {"stamp", revision_}}});
        }
    }
    return {200, json{{"epoch", revision_}}.dump()};
}
void World::state(const std::string& from, const http::Request& r, http::Reply reply) {
    if (state_down_until_ > now_ || refused_until_[from] > now_) return reply({503, "{}"});
    if (r.target.rfind("/kv/", 0) == 0) {
        auto key = r.target.substr(4);
        ++reads[r.target];
        auto it = kv_.find(key);
        if (it == kv_.end()) return reply({404, json{{"epoch", revision_}}.dump()});
        json e{{"path", key}, {"value", json::parse(it->second.value)}, {"stamp", it->second.version}};
        if (it->second.lease) e["mooring"] = it->second.lease;
        return reply({200, e.dump()});
    }
    if (r.target.rfind("/kv?", 0) == 0) {
        auto prefix = query(r.target, "starts"), since = query(r.target, "since");
        json entries = json::array();
        bool more = false;
        for (auto& [k, v] : kv_) {
            if (k.rfind(prefix, 0) != 0 || (!since.empty() && k <= since)) continue;
            if (entries.size() == 3) {  // small pages, so that lists are continued
                more = true;
                break;
            }
            entries.push_back(json{{"path", k}, {"value", json::parse(v.value)}, {"stamp", v.version}});
        }
        return reply({200, json{{"entries", entries}, {"more", more}, {"epoch", revision_}}.dump()});
    }
    if (r.target.rfind("/watch", 0) == 0) {
        double hold_s = std::stod(query(r.target, "hold_ms")) / 1000;
        watches_.push_back({query(r.target, "starts"), std::stoull(query(r.target, "since")), now_ + hold_s,
                            std::move(reply), from, hold_s > 0});
        return kv_changed();
    }
    if (r.target == "/txn") {
        auto j = json::parse(r.body);
        // Transactions with failing conditions count, too.
        auto wanted = static_cast<double>(j["then"].size());
        if (!changes_left_.has(now_, wanted)) {
            ++changes_refused;
            return reply({429, "{}"});
        }
        changes_left_.take(now_, wanted);
        double late = late_txn ? late_txn(j) : 0;
        if (late < 0) {
            txn(j);
            return kv_changed();
        }
        if (late > 0)
            return at(now_ + late, [this, j] {
                if (state_down_until_ > now_) return;
                txn(j);
                kv_changed();
            });
        reply(txn(j));
        return kv_changed();
    }
    if (r.target == "/holds") {
        auto ttl = json::parse(r.body)["ttl_ms"].get<double>() / 1000;
        leases_[next_lease_] = {ttl, now_ + ttl};
        return reply({200, json{{"mooring", next_lease_++}}.dump()});
    }
    auto id = std::stoull(r.target.substr(7));
    auto it = leases_.find(id);
    if (it == leases_.end()) return reply({404, "{}"});
    it->second.until = r.method == "DELETE" ? now_ : now_ + it->second.ttl;
    reply({200, json{{"mooring", id}}.dump()});
    if (r.method == "DELETE") expire_leases();
}

// --- Cloud ----------------------------------------------------------------------------------------------

Worker& World::add_worker(const std::string& zone, bool spot) {
    auto w = std::make_unique<Worker>();
    char name[16];
    std::snprintf(name, sizeof name, "vm-%06zu", workers.size());
    w->id = name;
    w->addr = "10.1.0." + std::to_string(workers.size() + 1) + ":9000";
    w->type = "g4";
    w->zone = zone;
    w->spot = spot;
    w->node = workers.size() % 3;
    w->created = now_;
    w->up_at = w->last_answered = now_ + options_.boot_s;
    workers.push_back(std::move(w));
    auto* p = workers.back().get();
    at(p->up_at, [this, p] { report_loop(*p); });
    return *p;
}
http::Response World::cloud(const http::Request& r) {
    if (cloud_down_until_ > now_) return {503, R"({"error":"trouble"})"};
    if (r.target == "/flavors")
        return {200, json{{"hulls",
                           {{{"name", "g4"},
                             {"vcpus", 16},
                             {"cards", gpus},
                             {"ram_gb", 64},
                             {"cache_gb", 100},
                             {"fetch_gb_per_s", 1},
                             {"hourly", 10},
                             {"spot_price", 4},
                             {"startup_s", 5},
                             {"reefs", zones}}}}}
                         .dump()};
    if (r.target == "/hosts/delete") {
        auto body = json::parse(r.body);
        for (auto& id : body["berths"])
            for (auto& w : workers)
                if (w->id == id) {
                    if (!w->dead && !w->tasks.empty()) ++deleted;
                    w->dead = true;
                    w->tasks.clear();
                }
        return {200, "{}"};
    }
    if (r.target == "/hosts" && r.method == "POST") {
        auto j = json::parse(r.body);
        auto name = j["charter"].get<std::string>();
        if (auto it = rentals_.find(name); it != rentals_.end()) return {200, it->second.dump()};
        std::size_t alive = static_cast<std::size_t>(
            std::count_if(workers.begin(), workers.end(), [](auto& w) { return !w->dead; }));
        if (alive >= options_.machines + 3) return {503, R"({"error":"no capacity"})"};
        json out{{"berths", {add_worker(j["reef"], j["driftwood"]).id}}};
        rentals_[name] = out;
        return {200, out.dump()};
    }
    json list = json::array();
    for (auto& w : workers)
        if (!w->dead)
            list.push_back({{"id", w->id},
                            {"addr", w->addr},
                            {"hull", w->type},
                            {"reef", w->zone},
                            {"driftwood", w->spot},
                            {"status", now_ < w->up_at ? "booting" : "running"},
                            {"age_s", now_ - w->created}});
    return {200, json{{"berths", list}, {"more", false}}.dump()};
}

// --- Workers --------------------------------------------------------------------------------------------

void World::die(std::size_t k) {
    workers[k % workers.size()]->dead = true;
    workers[k % workers.size()]->tasks.clear();
}
void World::hang(std::size_t k, double for_s) {
    auto* w = workers[k % workers.size()].get();
    w->hung = true;
    at(now_ + for_s, [this, w] {
        w->hung = false;
        check_lease(*w);
    });
}
// Under the same name and address; it remembers its session or begins anew.
void World::reboot(std::size_t k, bool anew) {
    auto& w = *workers[k % workers.size()];
    if (w.dead || now_ < w.up_at) return;
    w.tasks.clear();
    w.session = anew ? 1 : w.session + 1;
    w.sequence = 0;
    if (anew) w.helm = 0;
    w.last_answered = now_;
    ++w.lives;
}
void World::check_lease(Worker& w) {
    if (now_ - w.last_answered <= options_.lease_s) return;
    w.tasks.clear();
    ++w.session;
    w.sequence = 0;
    w.last_answered = now_;
}
json World::report(Worker& w) {
    json tasks = json::array();
    for (auto& [name, t] : w.tasks) {
        json e{{"shard", name}, {"launch", t.attempt}, {"status", t.status}};
        if (t.status == "exited") e["cause"] = t.cause, e["saved"] = t.saved;
        tasks.push_back(std::move(e));
    }
    return {{"berth", w.id},         {"addr", w.addr},      {"hull", w.type},
            {"reef", w.zone},        {"driftwood", w.spot}, {"watch", w.session},
            {"tally", ++w.sequence}, {"helm", w.helm},      {"shards", tasks}};
}
void World::report_loop(Worker& w) {
    if (w.dead) return;
    auto again = [this, &w](double s) { at(now_ + s, [this, &w] { report_loop(w); }); };
    if (w.hung) return again(0.5);
    check_lease(w);
    auto sent = now_;
    auto session = w.session;
    auto done = std::make_shared<bool>(false);
    auto from = w.addr, to = addr_of(w.node);
    auto next = [this, &w, again] {
        w.node = (w.node + 1) % 3;
        again(1);
    };
    at(now_ + 4, [done, next] {
        if (!std::exchange(*done, true)) next();
    });
    http::Request r{"POST", "/hello", report(w).dump()};
    send(from, to, r, 100, [=, this, &w, life = w.lives](std::optional<http::Response> a) {
        if (!a || w.dead || w.lives != life || std::exchange(*done, true)) return;
        if (w.hung) return again(0.5);
        check_lease(w);
        if (a->status == 421) {
            auto j = json::parse(a->body);
            if (!j.contains("harbor")) return next();
            w.node = static_cast<std::size_t>(j["harbor"].get<std::string>().back() - '0');
            return again(0.1);
        }
        if (a->status != 200) return next();
        auto j = json::parse(a->body);
        auto helm = j["helm"].get<std::uint64_t>();
        if (session == w.session && helm >= w.helm) {
            bool higher = helm > w.helm;
            w.helm = helm;
            w.last_answered = std::max(w.last_answered, sent);
            command(w, j["orders"]);
            if (higher) return again(0.5);
        }
        again(options_.report_s * std::uniform_real_distribution<double>(0.75, 1.25)(random_));
    });
}
http::Response World::direct(Worker& w, const http::Request& r) {
    check_lease(w);
    if (r.target == "/inspect") return {200, report(w).dump()};
    auto j = json::parse(r.body);
    auto helm = j["helm"].get<std::uint64_t>();
    if (helm < w.helm || j["watch"].get<std::uint64_t>() != w.session) return {409, report(w).dump()};
    w.helm = helm;
    command(w, j["orders"]);
    return {200, report(w).dump()};
}
void World::command(Worker& w, const json& orders) {
    for (auto& o : orders) {
        auto verb = o["verb"].get<std::string>();
        auto task = o["shard"].get<std::string>();
        auto attempt = o["launch"].get<std::uint64_t>();
        auto it = w.tasks.find(task);
        bool same = it != w.tasks.end() && it->second.attempt == attempt;
        if (verb == "run" && !same) start(w, task, attempt);
        if (verb == "kill" && same && present(it->second)) {
            auto stow = jobs[it->second.job].spec.value("stow_s", 0.0);
            bool saves = it->second.status == "running" && o["slack_s"].get<double>() >= stow && stow > 0;
            if (saves) {
                it->second.status = "flushing";
                at(now_ + stow, [this, &w, task, attempt] { finish(w, task, attempt, "halted"); });
            } else if (it->second.status != "flushing" || o["slack_s"].get<double>() <= 0) {
                finish(w, task, attempt, "halted");
            }
        }
        if (verb == "clear" && same && !present(it->second)) w.tasks.erase(it);
    }
}
void World::finish(Worker& w, const std::string& task, std::uint64_t attempt, const std::string& cause) {
    auto it = w.tasks.find(task);
    if (w.dead || it == w.tasks.end() || it->second.attempt != attempt || !present(it->second)) return;
    if (w.hung) return at(now_ + 0.5, [this, &w, task, attempt, cause] { finish(w, task, attempt, cause); });
    it->second.status = "exited";
    it->second.cause = cause;
    it->second.saved = cause == "halted";
    if (cause != "done") return;
    auto& job = jobs[it->second.job];
    if (job.tasks_done.insert(task).second) job.completed_at = now_;
}
// Where the rules about starts are checked.
void World::start(Worker& w, const std::string& task, std::uint64_t attempt) {
    ++starts;
    auto id = task.substr(0, task.find('/'));
    auto& job = jobs[id];
    done_again += job.tasks_done.contains(task);
    if (auto it = w.tasks.find(task); it != w.tasks.end() && present(it->second)) {
        // Refused by the worker; what is there stays. Reported under the new attempt once it has gone.
        return;
    }
    for (auto& before : awaits_of(job.spec))
        if (!is_done(before)) rule("too_early " + task + " before " + before);
    double used = 0, room = gpus;
    std::map<std::string, int> per_zone;
    auto team = job.spec["crew"].get<std::string>();
    auto cards = job.spec["cards"].get<double>();
    for (auto& other : workers)
        for (auto& [name, t] : other->tasks) {
            if (!present(t) || other->dead) continue;
            auto& spec = jobs[t.job].spec;
            if (name == task) rule("ran_twice " + task + " on " + w.id + " and " + other->id);
            if (spec["crew"] == team) used += spec["cards"].get<double>();
            if (t.job == id) ++per_zone[other->zone];
            if (other.get() == &w) room -= spec["cards"].get<double>();
        }
    if (team == "tight" && used + cards > options_.gpus_max + 1e-9) rule("quota " + task);
    if (room + 1e-9 < cards) {
        w.tasks[task] = {id, attempt, "exited", "no_room"};
        return;
    }
    int shards = job.spec["shards"];
    if (w.spot && !job.spec["driftwood"].get<bool>()) rule("wrong_place (spot) " + task);
    if (job.spec["scatter"].get<bool>() && per_zone[w.zone] + 1 > (shards + 1) / 2)
        rule("wrong_place (scatter) " + task);
    if (job.spec["together"].get<bool>())
        for (auto& [z, n] : per_zone)
            if (n > 0 && z != w.zone) rule("wrong_place (together) " + task);
    if (job.cancelled_at >= 0 && now_ > job.cancelled_at + options_.cancel_s)
        rule("ran_cancelled (start) " + task);
    w.tasks[task] = {id, attempt, "fetching", ""};
    at(now_ + 1, [this, &w, task, attempt, id] {
        auto it = w.tasks.find(task);
        if (w.dead || it == w.tasks.end() || it->second.attempt != attempt || it->second.status != "fetching")
            return;
        if (w.sick || jobs[id].spec.value("mistake", false)) return finish(w, task, attempt, "error");
        bool gang = jobs[id].spec["shape"] == "gang";
        it->second.status = gang ? "waiting" : "running";
        if (gang) {
            at(now_ + nodes_[0].settings.gang_wait_s, [this, &w, task, attempt] {
                auto it = w.tasks.find(task);
                if (it != w.tasks.end() && it->second.status == "waiting")
                    finish(w, task, attempt, "incomplete");
            });
            // The gang starts once its last task has its image.
            std::vector<std::pair<Worker*, std::string>> mates;
            for (auto& other : workers)
                for (auto& [name, t] : other->tasks)
                    if (t.job == id && t.attempt == attempt && t.status == "waiting")
                        mates.emplace_back(other.get(), name);
            if (static_cast<int>(mates.size()) < jobs[id].spec["shards"].get<int>()) return;
            for (auto& [m, name] : mates) {
                m->tasks[name].status = "running";
                at(now_ + jobs[id].spec["reckon_s"].get<double>(),
                   [this, m, name, attempt] { finish(*m, name, attempt, "done"); });
            }
            return;
        }
        if (jobs[id].spec["shape"] == "service") return;
        at(now_ + jobs[id].spec["reckon_s"].get<double>(),
           [this, &w, task, attempt] { finish(w, task, attempt, "done"); });
    });
}
void World::rogue_run(const std::string& task, std::uint64_t attempt, std::optional<std::size_t> machine) {
    if (machine) return start(*workers.at(*machine), task, attempt);
    for (auto& w : workers)
        if (!w->dead && !w->tasks.contains(task)) return start(*w, task, attempt);
}
void World::tamper(const std::string& key, std::optional<std::string> value) {
    ++revision_;
    json change{{value ? "put" : "drop", key}, {"stamp", revision_}};
    if (value) {
        kv_[key] = {*value, revision_, 0};
        change["value"] = json::parse(*value);
    } else {
        kv_.erase(key);
    }
    history_.push_back({revision_, change});
    kv_changed();
}
void World::check_cancelled() {
    for (auto& w : workers)
        for (auto& [name, t] : w->tasks) {
            if (w->dead || !present(t)) continue;
            auto& job = jobs[t.job];
            if (job.cancelled_at >= 0 && now_ > job.cancelled_at + options_.cancel_s)
                rule("ran_cancelled " + name);
        }
}

// --- Users ----------------------------------------------------------------------------------------------

void World::ask(const std::string& id, const std::string& method, const std::string& path,
                const std::string& body, std::function<void(const http::Response&)> done, int tries) {
    auto* node = pick_node();
    auto answered = std::make_shared<bool>(false);
    auto again = [=, this] {
        if (tries > 0) at(now_ + 1.5, [=, this] { ask(id, method, path, body, done, tries - 1); });
    };
    at(now_ + 5, [answered, again] {
        if (!std::exchange(*answered, true)) again();
    });
    if (!node) return;
    if (method == "POST" && now_ < copies_until_ && random_() % 4 == 0) {
        double late = std::uniform_real_distribution<double>(0.05, copies_late_)(random_);
        at(now_ + late, [=, this] {
            if (auto* other = pick_node())
                other->timers->after(0, [=] {
                    other->controller->serve({method, path, body}, [](http::Response) {});
                });
        });
    }
    // What comes while the controller stands still is read when it goes on.
    node->timers->after(0, [=, this] {
        node->controller->serve({method, path, body}, [=, this](http::Response r) {
            at(now_ + latency(), [=, this] {
                if (std::exchange(*answered, true)) return;
                if (r.status == 503) return again();
                done(r);
            });
        });
    });
}
void World::submit(const std::string& id, const std::string& kind, int tasks, double run_s, json more) {
    json j{{"id", id},         {"cohort", "c"},     {"crew", "free"},    {"shape", kind},
           {"rank", "normal"}, {"shards", tasks},   {"vcpus", 1.0},      {"cards", 1.0},
           {"ram_gb", 2.0},    {"payload", "img"},  {"image_gb", 1.0},   {"together", false},
           {"scatter", false}, {"driftwood", true}, {"reckon_s", run_s}, {"anchor_s", 5.0},
           {"stow_s", 1.0}};
    if (more.is_object()) j.update(more);
    jobs[id].spec = j;
    ask(
        id, "POST", "/api/jobs", j.dump(),
        [this, id](const http::Response& r) {
            if (r.status != 200 && r.status != 201)
                return rule("submission of " + id + " got " + std::to_string(r.status));
            jobs[id].accepted = true;
            jobs[id].answered_at = now_;
        },
        options_.submit_tries);
}
void World::submit_awaiting(const std::string& id, const std::string& kind, int tasks, double run_s,
                            std::vector<std::string> awaits, json more) {
    for (auto& a : awaits)
        if (!jobs[a].accepted)
            return at(now_ + 0.4, [=, this] { submit_awaiting(id, kind, tasks, run_s, awaits, more); });
    if (!more.is_object()) more = json::object();
    more["awaits"] = awaits;
    submit(id, kind, tasks, run_s, more);
}
bool World::is_done(const std::string& id) const {
    auto& job = jobs.at(id);
    bool gang = job.spec["shape"] == "gang";  // its tasks complete together
    return gang ? !job.tasks_done.empty() : job.tasks_done.size() >= job.spec["shards"].get<std::size_t>();
}
bool World::cancel_wanted(const std::string& id) const {
    auto& job = jobs.at(id);
    if (job.cancel_asked) return true;
    auto awaits = awaits_of(job.spec);
    return std::any_of(awaits.begin(), awaits.end(), [&](auto& a) { return cancel_wanted(a); });
}
double World::cancelled_before(const std::string& id) const {
    double first = 1e18;
    auto& job = jobs.at(id);
    for (auto& a : awaits_of(job.spec)) {
        auto& before = jobs.at(a);
        if (before.cancel_asked && before.cancelled) first = std::min(first, before.cancelled_at);
        first = std::min(first, cancelled_before(a));
    }
    return first;
}
// An answer that came so long after a job before this one was told to be cancelled must say cancelled too.
void World::check_orphaned(const std::string& id, const std::string& status) {
    if (status != "pending" && status != "running") return;
    if (now_ > cancelled_before(id) + options_.cancel_s) rule("orphaned " + id);
}
void World::cancel(const std::string& id) {
    bool accepted = jobs[id].accepted;
    jobs[id].cancel_asked = true;
    ask(id, "POST", "/api/jobs/" + id + "/cancel", "", [this, id, accepted](const http::Response& r) {
        if (r.status == 404 && !accepted) return cancel(id);  // not there yet when it was asked
        if (r.status != 200) return rule("cancellation of " + id + " got " + std::to_string(r.status));
        told(id, json::parse(r.body)["status"]);
    });
}
void World::told(const std::string& id, const std::string& status) {
    auto& job = jobs[id];
    if (job.done && status != "done") rule("went_back " + id + " from done to " + status);
    if (job.cancelled && status != "withdrawn") rule("went_back " + id + " from withdrawn to " + status);
    if (status == "withdrawn" && !cancel_wanted(id)) rule("went_back " + id + ": nobody cancelled it");
    if (status == "withdrawn" && !job.cancelled) {
        job.cancelled = true;
        job.cancelled_at = now_;
    }
    if (status == "done") {
        job.done = true;
        if (!is_done(id)) rule("not_done " + id);
    }
}
void World::poll_all() {
    for (auto& [id, job] : jobs) {
        if (!job.accepted) continue;
        if (now_ - std::max(job.answered_at, troubles_over) > open_s &&
            !std::exchange(job.open_too_long, true))
            rule("forgotten " + id + ": no question was answered for " + std::to_string(open_s) + " s");
        // An answer may overtake another; it is held against what was told before the question was asked.
        bool over = job.done || job.cancelled;
        ask(
            id, "GET", "/api/jobs/" + id, "",
            [this, over, job_id = id](const http::Response& r) {
                if (r.status == 404) return rule("forgotten " + job_id);
                if (r.status != 200) return;
                jobs[job_id].answered_at = now_;
                auto status = json::parse(r.body)["status"].get<std::string>();
                check_orphaned(job_id, status);
                if (over || status == "done" || status == "withdrawn") told(job_id, status);
            },
            0);
    }
    ask(
        "j-999999", "GET", "/api/jobs/j-999999", "",
        [this](const http::Response& r) {
            if (r.status != 404) rule("invented: " + std::to_string(r.status));
        },
        0);
}

}  // namespace coralhitch::standin

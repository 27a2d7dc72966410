#include "controller/controller.hpp"

#include <spdlog/spdlog.h>

#include "kv/keys.hpp"

namespace coralhitch::controller {
namespace paths = protocol::paths;
using metrics::Metric;

namespace {
// Ratios to the report period.
constexpr double ping_reports = 1.0 / 2, doubt_reports = 1.0 / 6;
constexpr double state_check_reports = 1.0 / 3;
constexpr double peer_fresh_reports = 1.5;
constexpr double relay_reports = 1.0 / 10;  // what a relay heard is known here so much later
// Long enough for every worker that turns away from a leader to come by; the ages tell which came since.
constexpr double heard_reports = 3;
constexpr double worse_reports = 1.0 / 2;  // for so long the others must have been able to serve users alone
constexpr double copies_leases = 8;        // in which copies of a report may come
constexpr double counts_reports = 1.0 / 10;
constexpr std::size_t reports_at_once = 16;
constexpr std::uint64_t images_pings = 3;  // caches change slowly
constexpr double pass_on_reports = 1.0 / 3;
constexpr double types_reports = 20;
constexpr double know_reports = 1.0 / 5;  // after the start: for the others to answer the first ping
// After giving way, a controller keeps its leadership for this many worker leases, even if it hears nobody.
constexpr double resign_leases = 4;
constexpr std::pair<kv::RequestPriority, const char*> queue_names[] = {
    {kv::RequestPriority::user, "cancellations"},
    {kv::RequestPriority::accept, "acceptances"},
    {kv::RequestPriority::write, "writes"},
    {kv::RequestPriority::read, "reads"}};
http::Response packed(std::string body) {
    return {200, std::move(body), "application/msgpack"};
}
}  // namespace

Controller::Controller(event_loop::Timers& timers, http::Requester& http, const config::Settings& settings,
                       leader::Planner& planner, std::uint64_t seed)
    : timers_(timers),
      http_(http),
      settings_(settings),
      planner_(planner),
      random_(seed),
      incarnation_(random_()),
      state_(timers, http, settings),
      election_(timers, state_, settings, incarnation_, random_()),
      cloud_(timers, http, settings),
      users_(timers, state_, settings, *this),
      relay_(timers, http, settings, incarnation_, [this] { return relay_target(); }),
      reports_(relay_.refusals()),
      cancellations_(timers, http, settings, [this] { return election_.leader_version(); }),
      follower_(incarnation_),
      heard_(settings.report_s * heard_reports, settings.lease_s * copies_leases) {
    for (auto& p : settings.peers) peers_[p.label].peer = p;
}
Controller::~Controller() {
    if (leader_) leader_->stop();
}

void Controller::start() {
    started_ = timers_.now();
    election_.start({[this](std::uint64_t v) { on_elected(v); }, [this] { on_lease_lost(); },
                     [this] { return should_defer(); }});
    learn_types();
    ping_peers();
    check_state();
    relay_.start();
}

void Controller::on_elected(std::uint64_t version) {
    leader::LeaderDependencies c{
        timers_,
        http_,
        settings_,
        state_,
        election_,
        cloud_,
        planner_,
        metrics_,
        types_,
        [this](const std::map<std::string, double>& m) { return heartbeats_seen_by_peers(m); },
        remembered_,
        [this] { return resign_leadership(); },
        incarnation_,
        {},
        follower_.copy(),
        [this](const std::string& label) -> const protocol::PeerPing* {
            auto it = peers_.find(label);
            return it != peers_.end() && fresh(it->second) ? &it->second.last : nullptr;
        },
        relay_.refusals()};
    for (auto& [id, since] : suspected_)
        if (!heard_.since(id, since)) c.suspected.emplace(id, timers_.now() - since);
    heard_.none_lately();
    leader_ = std::make_shared<leader::Leader>(std::move(c), version, random_());
    leader_->start();
    for (auto& waiting : relay_.take_waiting()) queue_heartbeat(std::move(waiting));
    metrics_.increment(Metric::elections_won);
    store_types();
}
void Controller::on_lease_lost() {
    metrics_.increment(Metric::leaderships_lost);
    if (leader_) remembered_ = leader_->images();
    if (leader_) leader_->stop();
    leader_.reset();
}
bool Controller::fresh(const PeerState& p) const {
    return p.heard >= 0 && timers_.now() - p.heard < settings_.report_s * peer_fresh_reports;
}
// What another heard before the machine fell silent here says nothing: leaders used to give way because of a
// cut that silenced the same machines for all of them.
std::optional<std::size_t> Controller::heartbeats_seen_by_peers(
    const std::map<std::string, double>& silent) const {
    std::optional<std::size_t> most;
    for (auto& [label, p] : peers_) {
        if (!fresh(p) || !p.last.state_ok) continue;
        std::size_t n = 0;
        auto& ages = p.last.ages_ms;
        double since = timers_.now() - p.whole, slack = settings_.report_s * relay_reports;
        for (std::size_t k = 0; k < p.last.workers.size(); ++k) {
            auto it = silent.find(p.last.workers[k]);
            n += it != silent.end() && (k >= ages.size() || ages[k] / 1000.0 + since + slack < it->second);
        }
        most = std::max(most.value_or(0), n);
    }
    return most;
}
// Whether another controller, which could lead, knows more of the last leader's machines, or as much and
// hears clearly more of them. A leader that was started anew used to win before those that had followed it,
// since its lease ends about when it is back. Nobody stands back for an older version: it is about to be
// stopped and replaced. Of two, at most one stands back for the other.
bool Controller::should_defer() const {
    // Just started, it can't know yet.
    bool young = settings_.op.standby && timers_.now() - started_ < settings_.report_s * know_reports;
    auto own = followed();
    auto ours = heard_.lately(timers_.now());
    for (auto& [label, p] : peers_) {
        if (young && !p.answered) return true;
        if (!fresh(p) || !p.last.state_ok || p.last.features < protocol::peer_features) continue;
        auto theirs = p.last.workers.size();
        if (p.last.followed > own ? theirs * 2 >= ours : p.last.followed == own && theirs > 2 * ours)
            return true;
    }
    return false;
}
std::uint64_t Controller::followed() const {
    return follower_.copy().whole ? follower_.copy().version : 0;
}
bool Controller::resign_leadership() {
    if (last_resigned_ >= 0 && timers_.now() - last_resigned_ < settings_.lease_s * resign_leases)
        return false;
    last_resigned_ = timers_.now();
    return true;
}

// --- Health ---------------------------------------------------------------------------------------------

bool Controller::state_ok() const {
    return state_.answering() && timers_.now() - state_.last_answer() < settings_.report_s;
}
bool Controller::healthy() const {
    if (!state_seen_ || types_.empty()) return false;
    return state_ok() || worse_since_ < 0 ||
           timers_.now() - worse_since_ < settings_.report_s * worse_reports;
}
// Users are better served by a controller that reaches the key-value store. If none does, going away and
// coming back slowly would only add to the outage. One that hears no other controller either is the one that
// is cut off, as far as it can know: the balancer would leave its users with it for as long as that lasts.
bool Controller::others_may_serve() const {
    bool any = false;
    for (auto& [label, p] : peers_) {
        if (fresh(p) && p.last.state_ok) return true;
        any |= fresh(p);
    }
    return !any && !peers_.empty();
}
void Controller::check_state() {
    // Each removal makes the balancer's next pause twice as long, up to a minute: not for a lost answer.
    if (state_ok() || !others_may_serve())
        worse_since_ = -1;
    else if (worse_since_ < 0)
        worse_since_ = timers_.now();
    heard_.tidy(timers_.now());
    state_.get(kv::keys::leader, kv::RequestPriority::lease,
               [this](kv::GetResult f) { state_seen_ |= f.ok; });
    users_.live_jobs().keep_up();
    if (sockets_ && sockets_->refused() > sockets_refused_) {
        sockets_refused_ = sockets_->refused();
        spdlog::info("sockets: {}", sockets_->text());
    }
    log_queues();
    timers_.after(settings_.report_s * state_check_reports, [this] { check_state(); });
}

// Once a lease, and only while something is refused: which line is the one that is too long.
void Controller::log_queues() {
    double refused = users_.admission().refused();
    for (auto& [rank, name] : queue_names) refused += state_.queue_counts(rank).refused;
    if (refused <= refused_logged_ || timers_.now() - queues_logged_ < settings_.lease_s) return;
    queues_logged_ = timers_.now();
    refused_logged_ = refused;
    spdlog::info("{} submissions put off so far; calls to the state service:", users_.admission().refused());
    for (auto& [rank, name] : queue_names) {
        auto& q = state_.queue_counts(rank);
        spdlog::info("  {}: {} sent, {} refused, waited {:.3f} s on average, {:.3f} s at most", name, q.sent,
                     q.refused, q.waited_s / std::max(1.0, q.sent), q.longest_wait_s);
    }
}

protocol::PeerPing Controller::own_ping(bool brief) {
    protocol::PeerPing p{settings_.label,
                         incarnation_,
                         election_.leader_version(),
                         election_.leader(),
                         state_ok(),
                         {},
                         {},
                         protocol::peer_features,
                         followed()};
    p.brief = brief;
    if (brief) return p;
    heard_.each_lately(timers_.now(), [&](auto& machine, double ago_s) {
        p.workers.push_back(machine);
        p.ages_ms.push_back(static_cast<std::uint32_t>(ago_s * 1000));
    });
    return p;
}
void Controller::heard_ping(protocol::PeerPing ping) {
    auto it = peers_.find(ping.label);
    if (it == peers_.end()) return;
    auto counts = std::exchange(ping.counts, {});
    bool anew = it->second.last.incarnation != ping.incarnation;
    bool brief = ping.brief;
    if (brief && !anew) {
        ping.workers = std::move(it->second.last.workers);
        ping.ages_ms = std::move(it->second.last.ages_ms);
    }
    auto& last = it->second.last = std::move(ping);
    it->second.heard = timers_.now();
    if (!brief) it->second.whole = timers_.now();
    if (last.leader == last.label && !brief) {
        suspected_.clear();
        for (std::size_t k = 0; k < std::min(last.silent.size(), last.silent_ms.size()); ++k)
            suspected_[last.silent[k]] = timers_.now() - last.silent_ms[k] / 1000.0;
    }
    if (anew && leader_) leader_->started_anew(last.label, last.incarnation);
    if (!counts.empty() && last.leader == last.label) {
        counted_ = timers_.now();
        counts_.clear();
        for (auto& c : counts) counts_[c.id] = {c.done, c.running};
    }
    election_.peer_says(last.leader, last.leader_version);
}
void Controller::ping_peers() {
    auto ping = own_ping(false);
    if (leader_) {
        ping.counts = leader_->all_counts();
        for (auto& [id, silent] : leader_->suspected()) {
            ping.silent.push_back(id);
            ping.silent_ms.push_back(static_cast<std::uint32_t>(silent * 1000));
        }
    }
    auto body = protocol::pack_peer(ping);
    for (auto& [label, p] : peers_)
        http_.send(p.peer.addr, {"POST", std::string(protocol::peer_ping_path), body, "application/msgpack"},
                   settings_.report_s * ping_reports, [this, &p](std::optional<http::Response> r) {
                       p.answered = true;
                       if (!r || r->status != 200) return;
                       if (auto p = protocol::unpack_peer<protocol::PeerPing>(r->body))
                           heard_ping(std::move(*p));
                   });
    if (leader_ && pings_++ % images_pings == 0) {
        auto images = protocol::pack_peer(leader_->images());
        for (auto& [label, p] : peers_)
            http_.send(p.peer.addr,
                       {"POST", std::string(protocol::peer_images_path), images, "application/msgpack"},
                       settings_.report_s * ping_reports, [](std::optional<http::Response>) {});
    }
    // A leader that doubts itself goes by what the others tell, while leases run out.
    bool hurry = leader_ && leader_->suspects_itself();
    timers_.after(settings_.report_s * (hurry ? doubt_reports : ping_reports), [this] { ping_peers(); });
}

// --- Machine types --------------------------------------------------------------------------------------

void Controller::set_types(std::vector<protocol::MachineType> types) {
    if (types.empty()) return;
    types_ = std::move(types);
    if (leader_) leader_->types_changed();
}
void Controller::store_types() {
    if (!leader_ || types_.empty()) return;
    auto value = protocol::stored_types(types_);
    if (value == stored_types_ || value.size() > state_.limits().value_bytes()) return;
    protocol::Txn t;
    t.conditions = {{kv::keys::leader, election_.version()}};
    t.changes = {{kv::keys::types, value, 0}};
    state_.txn(std::move(t), kv::RequestPriority::background, [this, value](kv::TxnResult c) {
        if (c.status == kv::TxnResult::Status::committed) stored_types_ = value;
    });
}
// From the cloud; while it does not answer, from what a leader stored last.
void Controller::learn_types() {
    cloud_.types([this](std::optional<std::vector<protocol::MachineType>> t) {
        bool known = t && !t->empty();
        if (known) {
            set_types(std::move(*t));
            store_types();
        } else if (types_.empty()) {
            state_.get(kv::keys::types, kv::RequestPriority::read, [this](kv::GetResult f) {
                if (!f.entry || !types_.empty()) return;
                try {
                    set_types(protocol::parse_types(f.entry->value));
                } catch (const protocol::Malformed& m) {
                    spdlog::error("stored machine types: {}", m.what());
                }
            });
        }
        double again = known ? settings_.report_s * types_reports : settings_.report_s / 2;
        timers_.after(again, [this] { learn_types(); });
    });
}

// --- Routes ---------------------------------------------------------------------------------------------

void Controller::serve(http::Request r, http::Reply reply) {
    auto path = r.target.substr(0, r.target.find('?'));
    auto only = [&](std::string_view method) {
        if (r.method == method) return true;
        reply({405, protocol::error_body("wrong method")});
        return false;
    };
    if (path == paths::report) {
        if (only("POST")) queue_heartbeat({std::move(r.body), std::move(reply), timers_.now()});
    } else if (path.starts_with(paths::jobs)) {
        user_route(r, path, std::move(reply));
    } else if (path == paths::health) {
        if (only("GET")) reply({healthy() ? 200 : 503, "{}"});
    } else if (path == paths::metrics) {
        if (only("GET")) reply({200, metrics_text(), "text/plain; version=0.0.4"});
    } else {
        reply({404, protocol::error_body("no such path")});
    }
}

std::string Controller::metrics_text() {
    auto& live = users_.live_jobs();
    metrics_.set(Metric::job_status_queries, static_cast<double>(live.questions()));
    metrics_.set(Metric::job_status_reads, static_cast<double>(live.requests()));
    metrics_.set(Metric::heartbeats_answered_by_relay, static_cast<double>(relay_.repeated()));
    metrics_.set(Metric::heartbeats_relayed, static_cast<double>(relay_.relayed()));
    metrics_.set(Metric::cancellation_notices, static_cast<double>(cancellations_.size()));
    metrics_.set(Metric::cancellation_notices_repeated, static_cast<double>(cancellations_.repeated()));
    metrics_.set(Metric::heartbeats_expired, static_cast<double>(relay_.dropped() + reports_.refused()));
    metrics_.set(Metric::replica_machines, static_cast<double>(follower_.copy().rows.size()));
    metrics_.set(Metric::leader_replication_members,
                 leader_ ? static_cast<double>(leader_->replication().members()) : 0);
    metrics_.set(Metric::leader_replication_messages,
                 leader_ ? static_cast<double>(leader_->replication().pieces()) : 0);
    metrics_.set(Metric::leader_replication_members_dropped,
                 leader_ ? static_cast<double>(leader_->replication().dropped()) : 0);
    if (leader_)
        for (auto& [step, after] : leader_->steps().all())
            metrics_.set(Metric::leader_failover_step, std::string(step), after);
    metrics_.set(Metric::leader_delegated_machines, leader_ ? static_cast<double>(leader_->lent()) : 0);
    for (std::size_t k = 0; k < relay::heartbeat_rejection_names.size(); ++k)
        metrics_.set(Metric::heartbeats_rejected, std::string(relay::heartbeat_rejection_names[k]),
                     static_cast<double>(relay_.refusals().count(static_cast<relay::HeartbeatRejection>(k))));
    for (std::size_t k = 0; sockets_ && k < http::peer_kinds; ++k) {
        auto name = std::string(http::peer_kind_names[k]);
        auto& use = sockets_->use(static_cast<http::PeerKind>(k));
        metrics_.set(Metric::sockets_used, name, static_cast<double>(use.used));
        metrics_.set(Metric::sockets_used_peak, name, static_cast<double>(use.peak));
        metrics_.set(Metric::sockets_refused, name, static_cast<double>(use.refused));
    }
    metrics_.set(Metric::live_jobs, static_cast<double>(live.size()));
    for (auto& [what, n] : state_.changes()) metrics_.set(Metric::kv_changes, what, n);
    for (auto& [rank, name] : queue_names) {
        auto& q = state_.queue_counts(rank);
        metrics_.set(Metric::kv_requests_sent, name, q.sent);
        metrics_.set(Metric::kv_requests_refused, name, q.refused);
        metrics_.set(Metric::kv_request_wait, name, q.waited_s);
        metrics_.set(Metric::kv_request_longest_wait, name, q.longest_wait_s);
    }
    metrics_.set(Metric::submissions_deferred, users_.admission().refused());
    metrics_.set(Metric::kv_transactions_rejected, static_cast<double>(state_.rejections()));
    return metrics_.text();
}

// One that reaches the key-value store and understands the request: a version that knows nothing of awaited
// jobs would store one that awaits others as if it awaited none.
const Controller::PeerState* Controller::peer_with_state(const http::Request& r) const {
    bool awaits = r.method == "POST" && protocol::names_dependencies(r.body);
    for (auto& [label, p] : peers_)
        if (fresh(p) && p.last.state_ok && (!awaits || p.last.features >= protocol::peer_features_awaits))
            return &p;
    return nullptr;
}
// A controller that alone is cut off from the key-value store passes its users' requests on: they would
// otherwise come back to it until the load balancer has noticed.
void Controller::user_route(const http::Request& r, const std::string& path, http::Reply reply) {
    if (!state_ok() && peer_with_state(r))
        return ask_peer(r, {503, "{}", "application/json", 1}, std::move(reply));
    jobs_route(r, path, [this, r, reply](http::Response a) {
        if (a.status == 503 && !state_ok() && peer_with_state(r)) return ask_peer(r, std::move(a), reply);
        reply(std::move(a));
    });
}
void Controller::ask_peer(const http::Request& r, http::Response refusal, http::Reply reply) {
    auto body = protocol::pack_peer(protocol::PeerUserRequest{r.method, r.target, r.body});
    http_.send(
        peer_with_state(r)->peer.addr,
        {"POST", std::string(protocol::peer_user_path), std::move(body), "application/msgpack"},
        settings_.report_s * pass_on_reports, [refusal, reply](std::optional<http::Response> a) {
            if (a && a->status == 200)
                if (auto p = protocol::unpack_peer<protocol::PeerUserAnswer>(a->body))
                    return reply({p->status, std::move(p->body), "application/json", p->retry_after_s});
            reply(refusal);
        });
}

void Controller::jobs_route(const http::Request& r, const std::string& path, http::Reply reply) {
    auto wrong = [&](int status, const char* what) { reply({status, protocol::error_body(what)}); };
    if (!path.starts_with(paths::jobs)) return wrong(404, "no such path");
    std::string rest = path.substr(paths::jobs.size());
    if (rest.empty()) {
        if (r.method != "POST") return wrong(405, "wrong method");
        double begun = timers_.now();
        return users_.submit(r.body, [this, begun, reply](http::Response a) {
            metrics_.observe_submission(timers_.now() - begun);
            metrics_.count_request("submit", a.status);
            if (a.status >= 429) spdlog::debug("submission put off with {}", a.status);
            reply(std::move(a));
        });
    }
    if (rest[0] != '/') return wrong(404, "no such path");
    rest.erase(0, 1);
    auto counted = [this, reply](const char* route) {
        return [this, reply, route](http::Response a) {
            metrics_.count_request(route, a.status);
            reply(std::move(a));
        };
    };
    if (rest.ends_with(paths::cancel)) {
        if (r.method != "POST") return wrong(405, "wrong method");
        return users_.cancel(rest.substr(0, rest.size() - paths::cancel.size()), counted("cancel"));
    }
    if (rest.empty() || rest.find('/') != std::string::npos) return wrong(404, "no such path");
    if (r.method != "GET") return wrong(405, "wrong method");
    users_.query(rest, counted("query"));
}

// Reports are most of the work. They are read as they come, but heard a few at a time in between: after a
// failover, when every worker calls at once, users, health checks and the lease's renewal must not wait
// behind all of them.
void Controller::queue_heartbeat(relay::HeartbeatQueue::Report report) {
    reports_.push(std::move(report));
    if (std::exchange(hearing_, true)) return;
    timers_.after(0, [this] { handle_queued_heartbeats(); });
}
void Controller::handle_queued_heartbeats() {
    for (std::size_t k = 0; k < reports_at_once; ++k) {
        auto report = reports_.next(timers_.now());
        if (!report) break;
        handle_heartbeat(std::move(*report));
    }
    hearing_ = !reports_.empty();
    if (hearing_) timers_.after(0, [this] { handle_queued_heartbeats(); });
}
void Controller::handle_heartbeat(relay::HeartbeatQueue::Report report) {
    if (leader_) return leader_->handle_heartbeat(std::move(report));
    auto& [body, reply, since] = report;
    // To read no more of it than its name leaves time for others: without a leader every worker calls each
    // second.
    if (auto o = protocol::outline_heartbeat(body)) {
        heard_.note(o->machine, o->agent_epoch, o->sequence, timers_.now());
    } else {
        try {
            auto r = protocol::parse_heartbeat(body);
            heard_.note(r.machine, r.agent_epoch, r.sequence, timers_.now());
        } catch (const protocol::Malformed& m) {
            spdlog::info("report: {}", m.what());
            return reply({400, protocol::error_body(m.what())});
        }
    }
    if (relay_.offer(body, reply)) return;
    auto* peer = leading_peer();
    relay_.refusals().note(peer ? relay::HeartbeatRejection::elsewhere
                                : relay::HeartbeatRejection::no_leader);
    reply({421, protocol::heartbeat_redirect(peer ? peer->label : "")});
}
// The leader, if its version takes reports from others.
relay::Leadership Controller::relay_target() const {
    auto it = peers_.find(election_.leader());
    if (leader_ || !settings_.op.hearing || it == peers_.end() ||
        it->second.last.features < protocol::peer_features_relay)
        return {};
    return {it->second.peer.addr, election_.leader_version()};
}

const config::Peer* Controller::leading_peer() const {
    auto it = peers_.find(election_.leader());
    return it == peers_.end() ? nullptr : &it->second.peer;
}

void Controller::counts(const std::string& id, std::function<void(std::optional<api::TaskCounts>)> done) {
    if (leader_) return done(leader_->counts(id));
    // The leader's pings tell all of them: asking it for each poll took it more time than planning.
    if (counted_ >= 0 && timers_.now() - counted_ < settings_.report_s * ping_reports * 1.5) {
        auto it = counts_.find(id);
        return done(it == counts_.end() ? api::TaskCounts{} : it->second);
    }
    auto* peer = leading_peer();
    if (!peer) return done(std::nullopt);
    http_.send(peer->addr,
               {"POST", std::string(protocol::peer_job_path), protocol::pack_peer(protocol::PeerJobQuery{id}),
                "application/msgpack"},
               settings_.report_s * counts_reports, [done](std::optional<http::Response> r) {
                   if (r && r->status == 200)
                       if (auto c = protocol::unpack_peer<protocol::PeerJobCounts>(r->body); c && c->known)
                           return done(api::TaskCounts{c->done, c->running});
                   done(std::nullopt);
               });
}

// To the others also if this one leads: its lease may be over without its knowing.
void Controller::cancelled(const std::string& id, std::uint64_t version) {
    if (leader_) leader_->cancelled(id, version);
    cancellations_.confirmed(id, version, leader_ ? election_.version() : 0);
}

void Controller::serve_peer(http::Request r, http::Reply reply) {
    if (r.method != "POST") return reply({405, {}});
    if (r.target == protocol::peer_ping_path) {
        if (auto p = protocol::unpack_peer<protocol::PeerPing>(r.body)) {
            // Not to a leader: when it doubts itself it goes by whom others hear, and has little time.
            bool brief = p->features >= protocol::peer_features_brief && p->leader != p->label;
            heard_ping(std::move(*p));
            return reply(packed(protocol::pack_peer(own_ping(brief))));
        }
    } else if (r.target == protocol::peer_user_path) {
        if (auto q = protocol::unpack_peer<protocol::PeerUserRequest>(r.body)) {
            // Not passed on again: two controllers must not send a request back and forth.
            return jobs_route({q->method, q->target, q->body}, q->target.substr(0, q->target.find('?')),
                              [reply](http::Response a) {
                                  reply(packed(protocol::pack_peer(protocol::PeerUserAnswer{
                                      a.status, std::move(a.body), a.retry_after_s})));
                              });
        }
    } else if (r.target == protocol::peer_relay_path) {
        if (auto m = protocol::unpack_peer<protocol::PeerRelay>(r.body)) {
            if (leader_) return leader_->relay(*m, std::move(reply));
            return reply(packed(protocol::pack_peer(protocol::PeerRelayAnswer{})));
        }
    } else if (r.target == protocol::peer_fleet_path) {
        // With its own standby switched off it has no part in that of others.
        if (auto piece = protocol::unpack_peer<protocol::PeerFleet>(r.body); piece && settings_.op.standby)
            return reply(packed(protocol::pack_peer(follower_.take(std::move(*piece)))));
    } else if (r.target == protocol::peer_images_path) {
        if (auto images = protocol::unpack_peer<protocol::PeerImages>(r.body)) {
            remembered_ = std::move(*images);
            return reply(packed({}));
        }
    } else if (r.target == protocol::peer_job_path) {
        if (auto q = protocol::unpack_peer<protocol::PeerJobQuery>(r.body)) {
            auto c = leader_ ? leader_->counts(q->id) : std::nullopt;
            return reply(packed(protocol::pack_peer(
                protocol::PeerJobCounts{c.has_value(), c ? c->done : 0, c ? c->running : 0})));
        }
    } else if (r.target == protocol::peer_cancelled_path) {
        if (auto q = protocol::unpack_peer<protocol::PeerCancelledAgain>(r.body)) {
            if (leader_) leader_->cancelled(q->id, q->version);
            for (auto& m : q->more)
                if (leader_) leader_->cancelled(m.id, m.version);
            return reply(packed(
                protocol::pack_peer(protocol::PeerCancelledAnswer{leader_ ? election_.version() : 0})));
        }
    } else {
        return reply({404, {}});
    }
    reply({400, {}});
}

}  // namespace coralhitch::controller

#include "controller/controller.hpp"

#include <utility>

#include "protocol/agent_api.hpp"
#include "protocol/user_api.hpp"

namespace coralhitch::controller {
namespace paths = protocol::paths;

namespace {

constexpr double check_interval_heartbeat_periods = 1.0 / 3;
// A machine is listed in pings for this long after its last heartbeat. This is long enough for every agent
// that leaves a leader to send a heartbeat here. The heartbeat ages in the pings show which heartbeats
// arrived after the agent left.
constexpr double recent_heartbeat_periods = 3;

// The tracker remembers a machine's latest heartbeat for this long, since delayed copies of it may still
// arrive.
constexpr double duplicate_retention_leases = 8;
// Minimum time between two resignations. A controller that is elected again earlier keeps its leadership even
// if it receives no heartbeats.
constexpr double resign_interval_leases = 4;

}  // namespace

Controller::Controller(event_loop::Timers& timers, http::Requester& http, const config::Settings& settings,
                       leader::Planner& planner, std::uint64_t seed)
    : timers_(timers),
      http_(http),
      settings_(settings),
      planner_(planner),
      random_(seed),
      incarnation_(random_()),
      kv_(timers, http, settings),
      kv_reachability_(kv_, settings),
      election_(timers, kv_, settings, incarnation_, random_()),
      cloud_(timers, http, settings),
      machine_types_(timers, cloud_, kv_, election_, settings, leader_),
      replica_(incarnation_),
      heartbeat_tracker_(settings.heartbeat_interval_s * recent_heartbeat_periods,
                         settings.lease_s * duplicate_retention_leases),
      peers_({timers, http, settings, election_, kv_reachability_, leader_, heartbeat_tracker_, replica_,
              incarnation_},
             [this](auto& counts) { task_counts_.set_all(counts); }),
      task_counts_(timers, http, settings, leader_, peers_),
      heartbeats_({timers, http, settings, election_, leader_, peers_, heartbeat_tracker_, incarnation_}),
      cancellations_(timers, http, settings, [this] { return election_.leader_fencing_token(); }),
      user_api_(timers, kv_, settings, *this),
      users_({timers, http, settings, user_api_, metrics_, kv_reachability_, peers_}),
      peer_messages_({settings, election_, leader_, peers_, users_, task_counts_, replica_}),
      health_(timers, kv_, settings, kv_reachability_, peers_, machine_types_),
      metrics_exporter_(metrics_, {user_api_, kv_, heartbeats_, cancellations_, replica_, leader_}),
      overload_log_(timers, settings, kv_, user_api_.admission()) {}

Controller::~Controller() {
    leader_.stop_leading();
}

void Controller::start() {
    election_.start({[this](protocol::LeaderVersion version) { on_elected(version); },
                     [this] { on_lease_lost(); }, [this] { return peers_.should_defer(); }});
    machine_types_.start();
    peers_.start();
    check_periodically();
    heartbeats_.start();
}

void Controller::watch_sockets(const http::SocketBudget& sockets) {
    metrics_exporter_.watch_sockets(sockets);
    overload_log_.watch_sockets(sockets);
}

void Controller::check_periodically() {
    heartbeat_tracker_.expire(timers_.now());
    health_.check();
    user_api_.live_jobs().refresh_if_stale();
    overload_log_.update();
    timers_.after(settings_.heartbeat_interval_s * check_interval_heartbeat_periods,
                  [this] { check_periodically(); });
}

// --- Leadership -----------------------------------------------------------------------------------------

void Controller::on_elected(protocol::LeaderVersion version) {
    auto dependencies = leader_dependencies();
    // The leader records heartbeats itself. The tracker must list only machines whose heartbeats arrive here
    // after this leadership has ended.
    heartbeat_tracker_.reset_recent();
    leader_.start_leading(std::make_shared<leader::Leader>(std::move(dependencies), version, random_()));
    heartbeats_.requeue_from_relay();
    metrics_.increment(metrics::Metric::elections_won);
    machine_types_.store();
}

leader::LeaderDependencies Controller::leader_dependencies() {
    return {.timers = timers_,
            .http = http_,
            .settings = settings_,
            .kv = kv_,
            .election = election_,
            .cloud = cloud_,
            .planner = planner_,
            .metrics = metrics_,
            .machine_types = machine_types_.types(),
            .heartbeats_seen_by_peers =
                [this](const std::map<std::string, double>& silent_s) {
                    return peers_.heartbeats_seen_by_peers(silent_s);
                },
            .inherited_image_caches = peers_.image_caches(),
            .resign_leadership = [this] { return approve_resignation(); },
            .incarnation = incarnation_,
            .inherited_suspicions = peers_.inherited_suspicions(),
            .replica = replica_.replica(),
            .recent_ping = [this](const std::string& label) { return peers_.recent_ping(label); },
            .heartbeat_rejections = heartbeats_.rejections()};
}

void Controller::on_lease_lost() {
    metrics_.increment(metrics::Metric::leaderships_lost);
    if (leader_) peers_.set_image_caches(leader_->image_caches());
    leader_.stop_leading();
}

// Returns true, and records the time, if the leader may resign because it suspects that it is cut off itself.
// Returns false if the last resignation was too recent.
bool Controller::approve_resignation() {
    const double now = timers_.now();
    if (last_resigned_at_ && now - *last_resigned_at_ < settings_.lease_s * resign_interval_leases)
        return false;
    last_resigned_at_ = now;
    return true;
}

// --- Requests -------------------------------------------------------------------------------------------

void Controller::serve(http::Request request, http::Reply reply) {
    const auto path = path_of(request);
    const auto check_method = [&](std::string_view method) {
        if (request.method == method) return true;
        reply({405, protocol::error_body("wrong method")});
        return false;
    };
    if (path == paths::heartbeat) {
        if (check_method("POST")) heartbeats_.accept(std::move(request.body), std::move(reply));
    } else if (path.starts_with(paths::jobs)) {
        users_.serve(request, reply);
    } else if (path == paths::health) {
        if (check_method("GET")) reply({healthy() ? 200 : 503, "{}"});
    } else if (path == paths::metrics) {
        if (check_method("GET")) reply({200, metrics_exporter_.text(), "text/plain; version=0.0.4"});
    } else {
        reply({404, protocol::error_body("no such path")});
    }
}

void Controller::serve_peer(const http::Request& request, const http::Reply& reply) {
    peer_messages_.serve(request, reply);
}

// --- api::ClusterQueries -------------------------------------------------------------------------------

void Controller::task_counts(const std::string& id, TaskCountsCallback done) {
    task_counts_.query(id, done);
}

// Notifies the other controllers even if this one leads, because its lease may have expired without its
// noticing.
void Controller::notify_cancelled(const std::string& id, std::uint64_t version) {
    if (leader_) leader_->apply_cancellation(id, version);
    cancellations_.announce(id, version,
                            leader_ ? election_.fencing_token() : protocol::LeaderVersion::none());
}

}  // namespace coralhitch::controller

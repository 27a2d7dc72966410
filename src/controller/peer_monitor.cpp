#include "controller/peer_monitor.hpp"

#include <algorithm>
#include <utility>

#include "controller/peer_http.hpp"

namespace coralhitch::controller {
namespace {

constexpr double ping_interval_heartbeat_periods = 1.0 / 2,
                 ping_interval_while_suspecting_itself_heartbeat_periods = 1.0 / 6;
constexpr double ping_recent_heartbeat_periods = 1.5;
// A relayed heartbeat may arrive here up to this much later than it arrived at the relay.
constexpr double relay_delay_heartbeat_periods = 1.0 / 10;
constexpr double startup_grace_heartbeat_periods = 1.0 / 5;  // time for the peers to answer the first ping

// Image caches are sent only with every third round of pings, since they change slowly.
constexpr std::uint64_t ping_rounds_per_image_caches = 3;

std::uint32_t to_milliseconds(double seconds) {
    return static_cast<std::uint32_t>(seconds * 1000);
}

}  // namespace

PeerMonitor::PeerMonitor(PeerMonitorDependencies dependencies, TaskCountsReceived task_counts_received)
    : dependencies_(dependencies), task_counts_received_(std::move(task_counts_received)) {
    for (auto& peer : dependencies_.settings.peers) peers_[peer.label].config = peer;
}

void PeerMonitor::start() {
    started_at_ = dependencies_.timers.now();
    ping_peers();
}

// --- Pings ----------------------------------------------------------------------------------------------

void PeerMonitor::ping_peers() {
    const double period_s = dependencies_.settings.heartbeat_interval_s;
    auto body = protocol::pack_peer(own_full_ping_with_leader_lists());
    for (auto& entry : peers_) {
        auto& peer = entry.second;
        dependencies_.http.send(peer.config.addr, msgpack_request(protocol::peer_ping_path, body),
                                period_s * ping_interval_heartbeat_periods,
                                [this, &peer](std::optional<http::Response> response) {
                                    peer.responded = true;
                                    if (!response || response->status != 200) return;
                                    if (auto ping = protocol::unpack_peer<protocol::PeerPing>(response->body))
                                        handle_ping(std::move(*ping));
                                });
    }
    const auto& leader = dependencies_.leader;
    if (leader && ping_rounds_as_leader_++ % ping_rounds_per_image_caches == 0) send_image_caches();
    // A leader that suspects itself of being cut off decides by the peers' pings, and must do so before the
    // agents' leases expire.
    const bool urgent = leader && leader->suspects_itself();
    const double interval_heartbeat_periods =
        urgent ? ping_interval_while_suspecting_itself_heartbeat_periods : ping_interval_heartbeat_periods;
    dependencies_.timers.after(period_s * interval_heartbeat_periods, [this] { ping_peers(); });
}

void PeerMonitor::send_image_caches() {
    auto body = protocol::pack_peer(dependencies_.leader->image_caches());
    for (auto& [label, peer] : peers_)
        dependencies_.http.send(peer.config.addr, msgpack_request(protocol::peer_images_path, body),
                                dependencies_.settings.heartbeat_interval_s * ping_interval_heartbeat_periods,
                                [](const std::optional<http::Response>&) {});
}

protocol::PeerPing PeerMonitor::own_ping(bool brief) const {
    protocol::PeerPing ping;
    ping.label = dependencies_.settings.label;
    ping.incarnation = dependencies_.incarnation;
    ping.leader_version = dependencies_.election.leader_fencing_token();
    ping.leader = dependencies_.election.leader_label();
    ping.kv_reachable = dependencies_.kv_reachability.reachable();
    ping.features = protocol::peer_features::latest;
    ping.replicated_leadership = replicated_leadership();
    ping.lists_omitted = brief;
    if (brief) return ping;
    dependencies_.heartbeats.for_each_recent(dependencies_.timers.now(), [&](auto& machine, double age_s) {
        ping.reporting_machines.push_back(machine);
        ping.heartbeat_ages_ms.push_back(to_milliseconds(age_s));
    });
    return ping;
}

protocol::PeerPing PeerMonitor::own_full_ping_with_leader_lists() const {
    auto ping = own_ping(false);
    if (!dependencies_.leader) return ping;
    ping.task_counts = dependencies_.leader->all_counts();
    for (auto& [machine, silent_s] : dependencies_.leader->suspected()) {
        ping.suspected.push_back(machine);
        ping.suspected_silence_ms.push_back(to_milliseconds(silent_s));
    }
    return ping;
}

protocol::PeerPing PeerMonitor::answer_ping(protocol::PeerPing ping) {
    // A leader always gets a full ping. When it suspects itself of being cut off, it needs the list of
    // machines whose heartbeats the peers receive, and has little time.
    const bool brief = ping.features >= protocol::peer_features::brief_pings && ping.leader != ping.label;
    handle_ping(std::move(ping));
    return own_ping(brief);
}

void PeerMonitor::handle_ping(protocol::PeerPing ping) {
    auto it = peers_.find(ping.label);
    if (it == peers_.end()) return;
    auto& peer = it->second;
    const auto task_counts = std::exchange(ping.task_counts, {});
    const bool restarted = peer.last_ping.incarnation != ping.incarnation;
    const bool brief = ping.lists_omitted;
    if (brief && !restarted) {
        ping.reporting_machines = std::move(peer.last_ping.reporting_machines);
        ping.heartbeat_ages_ms = std::move(peer.last_ping.heartbeat_ages_ms);
    }
    peer.last_ping = std::move(ping);
    const auto& last_ping = peer.last_ping;
    const bool from_leader = last_ping.leader == last_ping.label;
    peer.last_ping_at = dependencies_.timers.now();
    if (!brief) peer.last_full_ping_at = peer.last_ping_at;
    if (from_leader && !brief) store_suspicions(last_ping);
    if (restarted && dependencies_.leader)
        dependencies_.leader->controller_restarted(last_ping.label, last_ping.incarnation);
    if (from_leader && !task_counts.empty()) task_counts_received_(task_counts);
    dependencies_.election.observe_leader(last_ping.leader, last_ping.leader_version);
}

void PeerMonitor::store_suspicions(const protocol::PeerPing& leader_ping) {
    suspected_since_.clear();
    const auto count = std::min(leader_ping.suspected.size(), leader_ping.suspected_silence_ms.size());
    for (std::size_t index = 0; index < count; ++index)
        suspected_since_[leader_ping.suspected[index]] =
            dependencies_.timers.now() - leader_ping.suspected_silence_ms[index] / 1000.0;
}

// --- Evaluation of the pings ----------------------------------------------------------------------------

bool PeerMonitor::is_recent(const Peer& peer) const {
    return peer.last_ping_at &&
           dependencies_.timers.now() - *peer.last_ping_at <
               dependencies_.settings.heartbeat_interval_s * ping_recent_heartbeat_periods;
}

const PeerMonitor::Peer* PeerMonitor::leading_peer() const {
    auto it = peers_.find(dependencies_.election.leader_label());
    return it == peers_.end() ? nullptr : &it->second;
}

const PeerMonitor::Peer* PeerMonitor::peer_that_reaches_kv(std::uint64_t minimum_features) const {
    for (auto& [label, peer] : peers_)
        if (is_recent(peer) && peer.last_ping.kv_reachable && peer.last_ping.features >= minimum_features)
            return &peer;
    return nullptr;
}

bool PeerMonitor::any_reachable() const {
    return std::any_of(peers_.begin(), peers_.end(), [&](auto& entry) { return is_recent(entry.second); });
}

const protocol::PeerPing* PeerMonitor::recent_ping(const std::string& label) const {
    auto it = peers_.find(label);
    return it != peers_.end() && is_recent(it->second) ? &it->second.last_ping : nullptr;
}

std::optional<std::size_t> PeerMonitor::heartbeats_seen_by_peers(
    const std::map<std::string, double>& silent_s) const {
    std::optional<std::size_t> most;
    for (auto& [label, peer] : peers_)
        if (is_recent(peer) && peer.last_ping.kv_reachable)
            most = std::max(most.value_or(0), heartbeats_seen_by(peer, silent_s));
    return most;
}

// Counts only heartbeats that the peer received after the machine fell silent here. Earlier heartbeats are no
// evidence that this controller is cut off. When they were counted, leaders resigned because of a network cut
// that silenced the same machines for all controllers.
std::size_t PeerMonitor::heartbeats_seen_by(const Peer& peer,
                                            const std::map<std::string, double>& silent_s) const {
    const auto& machines = peer.last_ping.reporting_machines;
    const auto& ages_ms =
        peer.last_ping.heartbeat_ages_ms;  // empty from an older version; then all machines count
    const double since_ping_s = dependencies_.timers.now() - peer.last_full_ping_at.value_or(0);
    const double slack_s = dependencies_.settings.heartbeat_interval_s * relay_delay_heartbeat_periods;
    std::size_t seen = 0;
    for (std::size_t index = 0; index < machines.size(); ++index) {
        auto it = silent_s.find(machines[index]);
        if (it == silent_s.end()) continue;
        if (index >= ages_ms.size() || ages_ms[index] / 1000.0 + since_ping_s + slack_s < it->second) ++seen;
    }
    return seen;
}

// Returns true if a peer that could lead has a replica of a later leadership and receives heartbeats of at
// least half as many machines as this controller, or has a replica of the same leadership and receives
// heartbeats of more than twice as many machines. Without this rule, a restarted leader won the election
// against its former followers, because its lease ends at about the time when it is back. A controller never
// defers to a peer of an older version, since that peer is about to be stopped and replaced. Of two
// controllers, at most one defers to the other.
bool PeerMonitor::should_defer() const {
    const double now = dependencies_.timers.now();
    // Shortly after the start, this controller does not know its peers' replicas yet.
    const bool just_started =
        dependencies_.settings.op.replicate_starts &&
        now - started_at_ < dependencies_.settings.heartbeat_interval_s * startup_grace_heartbeat_periods;
    const auto own_replica = replicated_leadership();
    const auto own_machines = dependencies_.heartbeats.recent_count(now);
    for (auto& [label, peer] : peers_) {
        if (just_started && !peer.responded) return true;
        const auto& ping = peer.last_ping;
        if (!is_recent(peer) || !ping.kv_reachable || ping.features < protocol::peer_features::latest)
            continue;
        const auto machines = ping.reporting_machines.size();
        if (ping.replicated_leadership > own_replica && machines * 2 >= own_machines) return true;
        if (ping.replicated_leadership == own_replica && machines > 2 * own_machines) return true;
    }
    return false;
}

protocol::LeaderVersion PeerMonitor::replicated_leadership() const {
    const auto& replica = dependencies_.replica.replica();
    return replica.complete ? replica.leader_version : protocol::LeaderVersion::none();
}

std::map<std::string, double> PeerMonitor::inherited_suspicions() const {
    std::map<std::string, double> silent_s;
    for (auto& [machine, since] : suspected_since_)
        if (!dependencies_.heartbeats.seen_since(machine, since))
            silent_s.emplace(machine, dependencies_.timers.now() - since);
    return silent_s;
}

}  // namespace coralhitch::controller

#include "controller/heartbeat_intake.hpp"

#include <spdlog/spdlog.h>

#include <utility>

#include "protocol/agent_api.hpp"
#include "protocol/malformed.hpp"
#include "protocol/peer_messages.hpp"
#include "protocol/user_api.hpp"

namespace coralhitch::controller {
namespace {
constexpr std::size_t heartbeats_per_batch = 16;  // handled before other events get their turn
}  // namespace

HeartbeatIntake::HeartbeatIntake(HeartbeatIntakeDependencies dependencies)
    : dependencies_(dependencies),
      relay_(dependencies.timers, dependencies.http, dependencies.settings, dependencies.incarnation,
             [this] { return relay_target(); }),
      queue_(relay_.rejections()) {}

void HeartbeatIntake::accept(std::string body, http::Reply reply) {
    enqueue({std::move(body), std::move(reply), dependencies_.timers.now()});
}

void HeartbeatIntake::requeue_from_relay() {
    for (auto& waiting : relay_.take_pending()) enqueue(std::move(waiting));
}

void HeartbeatIntake::enqueue(relay::PendingHeartbeat heartbeat) {
    queue_.push(std::move(heartbeat));
    if (!scheduled_) schedule();
}

void HeartbeatIntake::schedule() {
    scheduled_ = true;
    dependencies_.timers.after(0, [this] { handle_batch(); });
}

void HeartbeatIntake::handle_batch() {
    for (std::size_t handled = 0; handled < heartbeats_per_batch; ++handled) {
        auto heartbeat = queue_.pop(dependencies_.timers.now());
        if (!heartbeat) break;
        handle(std::move(*heartbeat));
    }
    scheduled_ = false;
    if (!queue_.empty()) schedule();
}

void HeartbeatIntake::handle(relay::PendingHeartbeat heartbeat) {
    if (dependencies_.leader) return dependencies_.leader->handle_heartbeat(std::move(heartbeat));
    try {
        record(heartbeat.body);
    } catch (const protocol::Malformed& malformed) {
        spdlog::info("component=controller event=malformed_heartbeat error=\"{}\"", malformed.what());
        return heartbeat.reply({400, protocol::error_body(malformed.what())});
    }
    if (relay_.try_accept(heartbeat.body, heartbeat.reply)) return;
    redirect(heartbeat.reply);
}

// Records the heartbeat in the tracker; throws protocol::Malformed if it cannot be parsed. Reads only the
// machine, the agent epoch and the sequence number where possible, to save time: without a leader every agent
// sends a heartbeat each second.
void HeartbeatIntake::record(const std::string& body) {
    const double now = dependencies_.timers.now();
    if (auto outline = protocol::outline_heartbeat(body)) {
        dependencies_.tracker.record(outline->machine, outline->agent_epoch, outline->sequence, now);
        return;
    }
    auto heartbeat = protocol::parse_heartbeat(body);
    dependencies_.tracker.record(heartbeat.machine, heartbeat.agent_epoch, heartbeat.sequence, now);
}

void HeartbeatIntake::redirect(const http::Reply& reply) {
    auto* peer = dependencies_.peers.leading_peer();
    rejections().record(peer ? relay::HeartbeatRejection::redirected : relay::HeartbeatRejection::no_leader);
    reply({421, protocol::heartbeat_redirect(peer ? peer->config.label : "")});
}

// Returns the leading peer, or an empty endpoint if relaying is switched off, this controller leads, the
// leader is unknown, or the leader's version does not accept relayed heartbeats.
relay::LeaderEndpoint HeartbeatIntake::relay_target() const {
    auto* peer = dependencies_.peers.leading_peer();
    if (dependencies_.leader || !dependencies_.settings.op.relay_heartbeats || !peer ||
        peer->last_ping.features < protocol::peer_features::relay)
        return {};
    return {peer->config.addr, dependencies_.election.leader_fencing_token()};
}

}  // namespace coralhitch::controller

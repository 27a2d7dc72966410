#include "relay/heartbeat_relay.hpp"

#include <algorithm>
#include <utility>

#include "election/election.hpp"
#include "protocol/agent_api.hpp"

namespace coralhitch::relay {
namespace {
constexpr double rejection_log_heartbeat_periods = 2;
// The longest time between two messages. Without heartbeats an empty message is sent, because its answer
// carries revocations and extends the delegation.
constexpr double idle_send_heartbeat_periods = 1.0 / 10;
constexpr double retry_heartbeat_periods = 1.0 / 5;  // delay after a failed message

// Shares of the time for which an agent waits for its answer. The relay stops waiting for the leader earlier,
// so that its own answer reaches the agent in time.
constexpr double leader_timeout_share = 0.5;
constexpr double failover_wait_share = 0.75;  // while there is no leader

constexpr std::size_t max_batch_heartbeats = 96;      // the leader processes a message in one go
constexpr double max_batch_memory_share = 1.0 / 128;  // of the memory limit
constexpr double failover_window_ttls = 1.5;  // in TTLs of the leader's lease; a failover rarely takes longer
// In agent leases. A cached reply that is older is not used, and the heartbeat is forwarded to the leader.
// Otherwise a wrong reply, once cached, would be repeated without end.
constexpr double max_reply_age_leases = 4;
}  // namespace

HeartbeatRelay::HeartbeatRelay(event_loop::Timers& timers, http::Requester& http,
                               const config::Settings& settings, protocol::Incarnation incarnation,
                               LeaderLookup leader_lookup)
    : timers_(timers),
      http_(http),
      settings_(settings),
      incarnation_(incarnation),
      leader_lookup_(std::move(leader_lookup)),
      rejections_(timers, settings.heartbeat_interval_s * rejection_log_heartbeat_periods) {}
HeartbeatRelay::~HeartbeatRelay() = default;

void HeartbeatRelay::tick() {
    refresh_leader();
    if (connection_ != LeaderConnection::connected) reject_expired(failover_wait_share);
    if (!waiting_.empty() && !within_failover_window() && connection_ == LeaderConnection::failed)
        reject_all(waiting_);
    timers_.after(settings_.heartbeat_interval_s * idle_send_heartbeat_periods / 2,
                  guarded_([this] { tick(); }));
    if (!last_sent_ ||
        timers_.now() - *last_sent_ >= settings_.heartbeat_interval_s * idle_send_heartbeat_periods)
        send();
}

// Updates the known leader. Delegations and cached replies of the previous leadership are invalid under the
// next one, so they are dropped.
void HeartbeatRelay::refresh_leader() {
    auto leader = leader_lookup_();
    if (leader == leader_) return;
    if (connection_ == LeaderConnection::connected) record_disconnect();
    leader_ = std::move(leader);
    connection_ = leader_.addr.empty() ? LeaderConnection::failed : LeaderConnection::untried;
    delegation_expiry_.reset();
    reply_cache_.clear();
    unreported_heartbeats_.clear();
    // No leader has processed the waiting heartbeats, so they can be sent to the new one.
    schedule_send();
}

// Begins the failover window: the leader has probably ended, and heartbeats wait until its successor accepts
// messages or their agents would time out. When they were rejected instead, all agents of a large cluster
// called every controller each second, and the next leader was so overloaded that it lost its lease.
void HeartbeatRelay::record_disconnect() {
    disconnected_at_ = timers_.now();
}
bool HeartbeatRelay::within_failover_window() const {
    double ttl_s = settings_.lease_s * settings_.op.lease_ratio;
    return settings_.op.relay_heartbeats && disconnected_at_ &&
           timers_.now() - *disconnected_at_ < ttl_s * failover_window_ttls;
}

void HeartbeatRelay::reject_expired(double timeout_share) {
    while (!waiting_.empty() &&
           timers_.now() - waiting_.front().received_at > protocol::heartbeat_timeout_s * timeout_share) {
        reject_timed_out(waiting_.front());
        waiting_.pop_front();
    }
}
void HeartbeatRelay::reject_timed_out(const PendingHeartbeat& heartbeat) {
    rejections_.record(HeartbeatRejection::queue_timeout);
    ++timed_out_;
    heartbeat.reply({503, "{}"});
}
void HeartbeatRelay::reject_all(Batch& heartbeats) {
    for (auto& heartbeat : std::exchange(heartbeats, {})) {
        rejections_.record(HeartbeatRejection::no_leader);
        heartbeat.reply({503, "{}"});
    }
}

std::deque<PendingHeartbeat> HeartbeatRelay::take_pending() {
    reject_expired(leader_timeout_share);
    return std::exchange(waiting_, {});
}
void HeartbeatRelay::requeue(Batch batch) {
    waiting_.insert(waiting_.begin(), std::make_move_iterator(batch.begin()),
                    std::make_move_iterator(batch.end()));
}

bool HeartbeatRelay::delegation_valid() const {
    return delegation_expiry_ && timers_.now() < *delegation_expiry_;
}

// Returns the cached reply that this relay may give to the heartbeat; null if it must be forwarded.
const CachedReply* HeartbeatRelay::find_repeated(const std::string& body, double now) {
    auto outline = protocol::outline_heartbeat(body);
    if (!outline || connection_ != LeaderConnection::connected || !delegation_valid()) return nullptr;
    auto* cached = reply_cache_.find(body, *outline);
    if (!cached || now - cached->parsed_at >= settings_.lease_s * max_reply_age_leases) return nullptr;
    cached->sequence = outline->sequence;
    unreported_heartbeats_[std::string(outline->machine)] = now;
    return cached;
}

bool HeartbeatRelay::try_accept(std::string& body, http::Reply& reply) {
    refresh_leader();
    if (connection_ == LeaderConnection::failed && !within_failover_window()) return false;
    double now = timers_.now();
    if (auto* cached = find_repeated(body, now)) {
        ++answered_locally_;
        reply({200, cached->reply_body});
        return true;
    }
    waiting_.push_back({std::move(body), std::move(reply), now});
    schedule_send();
    return true;
}

void HeartbeatRelay::schedule_send(double interval_heartbeat_periods) {
    if (in_flight_ || send_scheduled_) return;
    send_scheduled_ = true;
    double delay_s =
        last_sent_ ? std::max(0.0, *last_sent_ + settings_.heartbeat_interval_s * interval_heartbeat_periods -
                                       timers_.now())
                   : 0;
    timers_.after(delay_s, guarded_([this] {
                      send_scheduled_ = false;
                      send();
                  }));
}

HeartbeatRelay::Batch HeartbeatRelay::next_batch(double now) {
    Batch batch;
    auto max_bytes = static_cast<std::size_t>(settings_.memory_mb * 1024 * 1024 * max_batch_memory_share);
    std::size_t bytes = 0;
    while (!waiting_.empty() && batch.size() < max_batch_heartbeats && bytes <= max_bytes) {
        auto heartbeat = std::move(waiting_.front());
        waiting_.pop_front();
        if (now - heartbeat.received_at > protocol::heartbeat_timeout_s * leader_timeout_share) {
            reject_timed_out(heartbeat);  // its agent will have timed out before the leader answers
            continue;
        }
        bytes += heartbeat.body.size();
        batch.push_back(std::move(heartbeat));
    }
    return batch;
}

protocol::RelayRequest HeartbeatRelay::next_message(const Batch& batch, double now) {
    protocol::RelayRequest message{
        settings_.label, incarnation_, leader_.version, ++last_message_, acknowledged_message_, {}, {}};
    for (auto& heartbeat : batch) message.heartbeats.push_back(heartbeat.body);
    for (auto& [machine, answered_at] : unreported_heartbeats_)
        message.answered_heartbeats.push_back(
            {machine, static_cast<std::uint64_t>(std::max(0.0, now - answered_at) * 1000)});
    unreported_heartbeats_.clear();
    return message;
}

void HeartbeatRelay::send() {
    refresh_leader();
    if (in_flight_ || leader_.addr.empty()) return;
    double now = timers_.now();
    if (connection_ == LeaderConnection::failed && last_sent_ &&
        now - *last_sent_ < settings_.heartbeat_interval_s * retry_heartbeat_periods)
        return;
    auto batch = next_batch(now);
    auto message = next_message(batch, now);
    forwarded_ += batch.size();
    in_flight_ = true;
    last_sent_ = now;
    auto shared = std::make_shared<Batch>(std::move(batch));  // a callback must be copyable
    http_.send(
        leader_.addr,
        {"POST", std::string(protocol::peer_relay_path), protocol::pack_peer(message), "application/msgpack"},
        protocol::heartbeat_timeout_s * leader_timeout_share,
        guarded_([this, number = message.sequence_number, now, receiver = leader_,
                  shared](const std::optional<http::Response>& response) {
            handle_answer(number, now, receiver, std::move(*shared), response);
        }));
}

// Handles a message that was not answered, or whose receiver does not lead or is no longer the known leader.
// None of its heartbeats has been answered. Within the failover window they wait for the next leader;
// otherwise they are rejected.
void HeartbeatRelay::handle_failure(const LeaderEndpoint& receiver, Batch batch) {
    if (connection_ == LeaderConnection::connected) record_disconnect();
    if (receiver == leader_) connection_ = LeaderConnection::failed;
    if (within_failover_window()) return requeue(std::move(batch));
    if (receiver == leader_) reject_all(waiting_);
    reject_all(batch);
}

void HeartbeatRelay::handle_answer(std::uint64_t number, double sent_at, const LeaderEndpoint& receiver,
                                   Batch batch, const std::optional<http::Response>& response) {
    in_flight_ = false;
    refresh_leader();
    std::optional<protocol::RelayResponse> answer;
    if (response && response->status == 200)
        answer = protocol::unpack_peer<protocol::RelayResponse>(response->body);
    if (!answer || !answer->is_leader || receiver != leader_)
        return handle_failure(receiver, std::move(batch));
    connection_ = LeaderConnection::connected;
    if (!answer->ready) {
        // The leader has just been elected and is still loading its state. The heartbeats are sent again
        // while their agents wait.
        requeue(std::move(batch));
        if (!waiting_.empty()) schedule_send();
        return;
    }
    auto answered = std::min(batch.size(), answer->replies.size());
    for (std::size_t k = 0; k < answered; ++k) deliver(std::move(batch[k]), answer->replies[k]);
    batch.erase(batch.begin(), batch.begin() + static_cast<std::ptrdiff_t>(answered));
    reject_all(batch);
    // Revocations are applied before the extension. Otherwise a revoked machine's lease could be renewed for
    // longer than the leader expects.
    for (auto& machine : answer->revoked) reply_cache_.forget(machine);
    acknowledged_message_ = number;
    delegation_expiry_ =
        sent_at + static_cast<double>(answer->delegation_ms) / 1000 * (1 - 2 * election::max_clock_drift);
    // A full batch is sent at once, since it cannot take more heartbeats. With one full message per interval,
    // the only relay of 4,000 machines could not keep up when most heartbeats were not repetitions.
    if (!waiting_.empty())
        schedule_send(waiting_.size() < max_batch_heartbeats ? batch_interval_heartbeat_periods : 0);
}

void HeartbeatRelay::deliver(PendingHeartbeat heartbeat, const protocol::RelayedReply& answer) {
    if (auto outline = protocol::outline_heartbeat(heartbeat.body)) {
        std::string machine(outline->machine);  // the outline points into the body, which is moved
        if (answer.status == 200 && answer.nothing_pending)
            reply_cache_.put(std::move(heartbeat.body), machine, outline->sequence, answer.body,
                             timers_.now());
        else
            reply_cache_.forget(machine);
    }
    heartbeat.reply({answer.status, answer.body});
}

}  // namespace coralhitch::relay

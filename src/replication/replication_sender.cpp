#include "replication/replication_sender.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace coralhitch::replication {
namespace {
// Changes that no start waits for are collected for this long and sent together.
constexpr double batch_interval_heartbeat_periods = 1.0 / 10;
// If a follower in sync stops answering, starts are delayed by up to this long.
constexpr double in_sync_timeout_heartbeat_periods = 1.0 / 5;
// No start waits for a follower that is not in sync yet, so its timeout can be longer.
constexpr double snapshot_timeout_heartbeat_periods = 2;
constexpr double min_backoff_heartbeat_periods = 1.0 / 2;
// Delay before a batch is sent again, as a share of the answer timeout. The request may have failed at once.
constexpr double retry_timeout_share = 1.0 / 4;
// Limits a batch so that processing it does not block the event loop for long. A new leader is so busy that
// each batch of a snapshot takes a fifth of a second: with smaller batches, no follower was in sync when the
// leader was killed a second after its leadership began.
constexpr std::size_t max_batch_machines = 1024;
}  // namespace

ReplicationSender::ReplicationSender(event_loop::Timers& timers, http::Requester& http,
                                     const config::Settings& settings, kv::KvClient& kv,
                                     protocol::LeaderVersion leader_version, Callbacks callbacks)
    : timers_(timers),
      http_(http),
      settings_(settings),
      leader_version_(leader_version),
      callbacks_(std::move(callbacks)),
      record_(timers, settings, kv, leader_version,
              {[this] { return in_sync_members(); }, [this] { return callbacks_.begin_txn(); },
               [this] {
                   spdlog::info("component=replication event=record_stored in_sync={} peers={}",
                                record_.confirmed_count(), sessions_.size());
                   send_all();
                   callbacks_.on_progress();
               },
               [this] { send_all(); }}) {
    for (auto& peer : settings.peers) sessions_.try_emplace(peer.label, peer);
}
ReplicationSender::~ReplicationSender() = default;

void ReplicationSender::start(std::uint64_t record_version,
                              const std::optional<protocol::InSyncReplicas>& inherited) {
    record_.start(record_version);
    if (inherited)
        for (auto& member : inherited->members) resume(member);
    // The record is replaced even if there is no follower. Otherwise a controller named by an earlier
    // leader's record would conclude that its replica contains every start.
    record_.update();
    tick();
}

void ReplicationSender::tick() {
    if (!record_.started()) return;
    for (auto& [label, session] : sessions_) {
        if (session.may_retry(timers_.now()) && capable_peer(label, protocol::peer_features::replication))
            begin_snapshot(session);
        // Once a follower has been in sync for longer than an agent lease, the backoff after its next failure
        // is the shortest one again.
        if (session.in_sync() && timers_.now() - session.in_sync_since() > settings_.lease_s)
            session.reset_backoff();
    }
    schedule_send();
}

// --- Sessions -------------------------------------------------------------------------------------------

// Returns the controller's last ping if its software version has these features; null otherwise.
const protocol::PeerPing* ReplicationSender::capable_peer(const std::string& label,
                                                          std::uint64_t features) const {
    auto* ping = callbacks_.last_ping(label);
    return ping && ping->features >= features ? ping : nullptr;
}

void ReplicationSender::begin_snapshot(FollowerSession& session) {
    session.begin_snapshot(callbacks_.all_machines());
    send(session);
}

// Continues the replica of a follower that the inherited record names. That replica contains all tasks that
// may run, as this leader's own replica did, and from now on it receives all changes. The follower therefore
// counts as in sync from the first record on. With a snapshot instead, which takes longer than a second, no
// leader left an in-sync follower when three leaders were killed a second apart.
void ReplicationSender::resume(const protocol::InSyncReplicas::Member& member) {
    auto it = sessions_.find(member.label);
    if (it == sessions_.end()) return;
    auto* ping = capable_peer(member.label, protocol::peer_features::replica_handover);
    if (ping && ping->incarnation == member.incarnation) it->second.resume(member, timers_.now());
}

// Sends a snapshot to the new process at once. A backoff would delay it for no reason: it is meant for
// followers that fail, and a new process can be in sync long before the backoff ends.
void ReplicationSender::handle_follower_restart(const std::string& label, protocol::Incarnation incarnation) {
    auto it = sessions_.find(label);
    if (!record_.started() || it == sessions_.end() || it->second.incarnation() == incarnation) return;
    auto& session = it->second;
    end_session(session, "restarted", Backoff::none);
    if (!session.active() && capable_peer(label, protocol::peer_features::replication))
        begin_snapshot(session);
    session.set_incarnation(incarnation);
}

void ReplicationSender::end_session(FollowerSession& session, const char* reason, Backoff backoff) {
    if (!session.active()) return;
    spdlog::info("component=replication event=session_ended follower={} reason={}", session.peer().label,
                 reason);
    if (session.in_sync()) ++in_sync_sessions_ended_;
    double delay_s =
        backoff == Backoff::none
            ? 0
            : session.increase_backoff(settings_.heartbeat_interval_s * min_backoff_heartbeat_periods,
                                       settings_.lease_s);
    session.end(timers_.now() + delay_s);
    record_.update();
}

std::vector<FollowerSession::Member> ReplicationSender::in_sync_members() const {
    std::vector<FollowerSession::Member> members;
    for (auto& [label, session] : sessions_)
        if (session.in_sync()) members.push_back(session.member());
    return members;
}

// --- Changes --------------------------------------------------------------------------------------------

void ReplicationSender::record_machine_change(const std::string& machine) {
    ++log_index_;
    for (auto& [label, session] : sessions_) session.enqueue(machine, log_index_);
    schedule_send();
}

bool ReplicationSender::replicated(std::uint64_t log_index) const {
    return record_.owned() && std::all_of(sessions_.begin(), sessions_.end(), [&](auto& entry) {
               return entry.second.acknowledged_index() >= log_index || !record_.may_name(entry.first);
           });
}

void ReplicationSender::flush() {
    urgent_index_ = log_index_;
    send_all();
}

void ReplicationSender::schedule_send() {
    if (std::exchange(send_scheduled_, true)) return;
    timers_.after(settings_.heartbeat_interval_s * batch_interval_heartbeat_periods, guarded_([this] {
                      send_scheduled_ = false;
                      send_all();
                  }));
}

// --- Batches --------------------------------------------------------------------------------------------

double ReplicationSender::answer_timeout_s(const FollowerSession& session) const {
    bool starts_wait = session.in_sync() || record_.may_name(session.peer().label);
    return settings_.heartbeat_interval_s *
           (starts_wait ? in_sync_timeout_heartbeat_periods : snapshot_timeout_heartbeat_periods);
}

void ReplicationSender::send_all() {
    for (auto& [label, session] : sessions_) send(session);
}

void ReplicationSender::send(FollowerSession& session) {
    // No replica may be newer than the stored record, so nothing is sent before this leadership has stored
    // it.
    if (!record_.owned() || !session.ready_to_send()) return;
    protocol::ReplicationRequest message{
        leader_version_,
        ++batches_sent_,
        {},
        session.resumed() ? session.base_version() : protocol::LeaderVersion::none(),
        session.in_sync()};
    auto batch = session.next_batch(max_batch_machines, log_index_, timers_.now());
    for (auto& machine : batch.machines)
        if (auto row = callbacks_.machine_row(machine)) message.rows.push_back(std::move(*row));
    http_.send(session.peer().addr,
               {"POST", std::string(protocol::peer_replication_path), protocol::pack_peer(message),
                "application/msgpack"},
               answer_timeout_s(session),
               guarded_([this, &session, batch](const std::optional<http::Response>& response) {
                   handle_answer(session, batch, response);
               }));
}

void ReplicationSender::handle_answer(FollowerSession& session, const FollowerSession::Batch& batch,
                                      const std::optional<http::Response>& response) {
    if (!session.is_current(batch.session)) return;
    session.finish_batch();
    std::optional<protocol::ReplicationResponse> answer;
    if (response && response->status == 200)
        answer = protocol::unpack_peer<protocol::ReplicationResponse>(response->body);
    if (!answer) return handle_no_answer(session, batch);
    if (session.incarnation().is_set() && answer->incarnation != session.incarnation())
        return handle_follower_restart(session.peer().label, answer->incarnation);
    if (!answer->applied) return handle_rejection(session, *answer);
    handle_acknowledgement(session, batch, *answer);
}

void ReplicationSender::handle_no_answer(FollowerSession& session, const FollowerSession::Batch& batch) {
    double timeout_s = answer_timeout_s(session);
    if (timers_.now() - session.waiting_since().value_or(timers_.now()) >= timeout_s)
        return end_session(session, "unreachable", Backoff::increase);
    session.requeue(batch);
    timers_.after(timeout_s * retry_timeout_share, guarded_([this, &session, number = batch.session] {
                      if (session.is_current(number)) send(session);
                  }));
}

void ReplicationSender::handle_rejection(FollowerSession& session,
                                         const protocol::ReplicationResponse& answer) {
    if (session.resumed() && answer.base_version != session.base_version())
        end_session(session, "replica_not_the_recorded_one", Backoff::none);
    else
        end_session(session, "later_leader", Backoff::increase);
}

void ReplicationSender::handle_acknowledgement(FollowerSession& session, const FollowerSession::Batch& batch,
                                               const protocol::ReplicationResponse& answer) {
    session.acknowledge(batch, answer, leader_version_);
    if (session.snapshot_acknowledged()) {
        session.set_in_sync(timers_.now());
        record_.update();
    }
    // A start may have begun to wait for later changes while this batch was in flight.
    if (!session.in_sync() || session.acknowledged_index() < urgent_index_ ||
        session.queue_size() >= max_batch_machines)
        send(session);
    if (session.queue_size() > 0) schedule_send();
    callbacks_.on_progress();
}

}  // namespace coralhitch::replication

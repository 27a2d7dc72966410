#include "relay/cancellation_notices.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace coralhitch::relay {
namespace {
constexpr double resend_interval_heartbeat_periods = 1.0 / 4;
constexpr std::size_t max_notices_per_mb = 20;        // of the memory limit; the oldest notice is dropped
constexpr std::size_t max_notices_per_message = 256;  // about 5 KB
}  // namespace

CancellationNotices::CancellationNotices(event_loop::Timers& timers, http::Requester& http,
                                         const config::Settings& settings, LeaderVersionLookup leader_version)
    : timers_(timers), http_(http), settings_(settings), leader_version_(std::move(leader_version)) {}

void CancellationNotices::announce(const std::string& job_id, std::uint64_t version,
                                   protocol::LeaderVersion acknowledged_by) {
    send(protocol::pack_peer(protocol::PeerCancellation{job_id, version}), {job_id, version, {}});
    if (static_cast<double>(notices_.size() + 1) > settings_.memory_mb * max_notices_per_mb &&
        !notices_.empty())
        notices_.pop_front();
    notices_.push_back({job_id, version, acknowledged_by, timers_.now() + settings_.cancel_s});
    schedule_resend();
}

// Sends to all controllers, since the leader known here may have lost its lease to one that is not known yet.
void CancellationNotices::send(const std::string& body, const protocol::PeerCancellationBatch& message) {
    for (auto& peer : settings_.peers)
        http_.send(
            peer.addr, {"POST", std::string(protocol::peer_cancellation_path), body, "application/msgpack"},
            settings_.heartbeat_interval_s, guarded_([this, message](std::optional<http::Response> response) {
                if (!response || response->status != 200) return;
                // A controller of the previous software version answers without a body, which does not count
                // as an acknowledgement.
                auto answer = protocol::unpack_peer<protocol::PeerCancellationResponse>(response->body);
                if (answer && answer->applied_by.is_set()) acknowledge(message, answer->applied_by);
            }));
}

void CancellationNotices::acknowledge(const protocol::PeerCancellationBatch& message,
                                      protocol::LeaderVersion leader_version) {
    std::set<std::string> job_ids{message.id};
    for (auto& more : message.more) job_ids.insert(more.id);
    for (auto& notice : notices_)
        if (job_ids.contains(notice.job_id))
            notice.acknowledged_by = std::max(notice.acknowledged_by, leader_version);
}

void CancellationNotices::schedule_resend() {
    if (std::exchange(resend_scheduled_, true)) return;
    timers_.after(settings_.heartbeat_interval_s * resend_interval_heartbeat_periods, guarded_([this] {
                      resend_scheduled_ = false;
                      resend();
                  }));
}

protocol::PeerCancellationBatch CancellationNotices::unacknowledged() const {
    auto leader_version = leader_version_();
    protocol::PeerCancellationBatch message;
    std::size_t count = 0;
    for (auto& notice : notices_) {
        if (notice.acknowledged_by.is_set() && notice.acknowledged_by >= leader_version) continue;
        if (count == max_notices_per_message) break;
        // A controller of the previous software version reads only the first notice of a repeated message. It
        // received each notice once in a message of its own.
        if (count++ == 0) {
            message.id = notice.job_id;
            message.version = notice.version;
        } else {
            message.more.push_back({notice.job_id, notice.version});
        }
    }
    return message;
}

void CancellationNotices::resend() {
    while (!notices_.empty() && notices_.front().expiry < timers_.now()) notices_.pop_front();
    if (notices_.empty()) return;
    if (auto message = unacknowledged(); !message.id.empty()) {
        send(protocol::pack_peer(message), message);
        resent_ += settings_.peers.size();
    }
    schedule_resend();
}

}  // namespace coralhitch::relay

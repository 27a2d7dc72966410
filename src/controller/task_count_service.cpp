#include "controller/task_count_service.hpp"

#include <utility>

#include "controller/peer_http.hpp"

namespace coralhitch::controller {
namespace {
// The leader pings every half heartbeat period. A ping may be late by half of that interval.
constexpr double recent_counts_heartbeat_periods = 1.0 / 2 * 1.5;
constexpr double query_timeout_heartbeat_periods = 1.0 / 10;
}  // namespace

void TaskCountService::set_all(const std::vector<protocol::PeerTaskCounts>& counts) {
    received_at_ = timers_.now();
    counts_.clear();
    for (auto& count : counts) counts_[count.id] = {count.done, count.running};
}

bool TaskCountService::is_recent() const {
    return received_at_ &&
           timers_.now() - *received_at_ < settings_.heartbeat_interval_s * recent_counts_heartbeat_periods;
}

void TaskCountService::query(const std::string& job, const Done& done) const {
    if (leader_) return done(leader_->counts(job));
    if (!is_recent()) return ask_leader(job, done);
    auto it = counts_.find(job);
    done(it == counts_.end() ? api::TaskCounts{} : it->second);
}

void TaskCountService::ask_leader(const std::string& job, const Done& done) const {
    auto* peer = peers_.leading_peer();
    if (!peer) return done(std::nullopt);
    auto body = protocol::pack_peer(protocol::PeerJobQuery{job});
    http_.send(peer->config.addr, msgpack_request(protocol::peer_job_path, std::move(body)),
               settings_.heartbeat_interval_s * query_timeout_heartbeat_periods,
               [done](std::optional<http::Response> response) {
                   if (!response || response->status != 200) return done(std::nullopt);
                   auto counts = protocol::unpack_peer<protocol::PeerJobCounts>(response->body);
                   if (!counts || !counts->known) return done(std::nullopt);
                   done(api::TaskCounts{counts->done, counts->running});
               });
}

protocol::PeerJobCounts TaskCountService::answer_peer(const protocol::PeerJobQuery& query) const {
    auto counts = leader_ ? leader_->counts(query.id) : std::nullopt;
    if (!counts) return {};
    return {true, counts->done, counts->running};
}

}  // namespace coralhitch::controller

#include "replication/follower_session.hpp"

#include <algorithm>
#include <string_view>
#include <utility>

namespace coralhitch::replication {

void FollowerSession::begin_snapshot(const std::vector<std::string>& machines) {
    state_ = State::snapshotting;
    in_flight_ = resumed_ = announce_complete_ = false;
    incarnation_ = protocol::Incarnation::none();
    base_version_ = protocol::LeaderVersion::none();
    acknowledged_index_ = 0;
    waiting_since_.reset();
    queue_.clear();
    queued_machines_.clear();
    ++session_;
    // Log index 1 keeps `acknowledged_index_` at 0 until the whole snapshot is acknowledged.
    for (auto& machine : machines) enqueue(machine, 1);
}

void FollowerSession::resume(const Member& member, double now) {
    state_ = State::in_sync;
    resumed_ = announce_complete_ = true;
    incarnation_ = member.incarnation;
    base_version_ = member.base_version;
    in_sync_since_ = now;
    ++session_;
}

void FollowerSession::end(double retry_at) {
    state_ = State::inactive;
    in_flight_ = resumed_ = false;
    retry_at_ = retry_at;
    ++session_;
}

double FollowerSession::increase_backoff(double min_s, double max_s) {
    backoff_s_ = std::clamp(backoff_s_ * 2, min_s, max_s);
    return backoff_s_;
}

void FollowerSession::enqueue(const std::string& machine, std::uint64_t log_index) {
    if (active() && queued_machines_.insert(machine).second) queue_.push_back({log_index, machine});
}

bool FollowerSession::ready_to_send() const {
    return active() && !in_flight_ && (!queue_.empty() || !in_sync() || announce_complete_);
}

FollowerSession::Batch FollowerSession::next_batch(std::size_t max_machines, std::uint64_t log_index,
                                                   double now) {
    Batch batch;
    batch.session = session_;
    announce_complete_ = false;
    while (!queue_.empty() && batch.machines.size() < max_machines) {
        queued_machines_.erase(queue_.front().machine);
        batch.machines.push_back(std::move(queue_.front().machine));
        queue_.pop_front();
    }
    batch.last_index = queue_.empty() ? log_index : queue_.front().log_index - 1;
    in_flight_ = true;
    if (!waiting_since_) waiting_since_ = now;
    return batch;
}

// It is not known whether the follower applied the batch. A machine of the batch that has changed again since
// is also further back in the queue. That later entry is removed: the queue holds each machine once, and the
// earlier change must not count as acknowledged before the machine is sent again.
void FollowerSession::requeue(const Batch& batch) {
    announce_complete_ = in_sync();
    std::unordered_set<std::string_view> repeated(batch.machines.begin(), batch.machines.end());
    std::erase_if(queue_, [&](auto& change) { return repeated.contains(change.machine); });
    for (auto& machine : batch.machines) {
        queued_machines_.insert(machine);
        queue_.push_front({acknowledged_index_ + 1, machine});
    }
}

void FollowerSession::acknowledge(const Batch& batch, const protocol::ReplicationResponse& answer,
                                  protocol::LeaderVersion leader_version) {
    incarnation_ = answer.incarnation;
    base_version_ = answer.base_version.is_set() ? answer.base_version : leader_version;
    waiting_since_.reset();
    acknowledged_index_ = std::max(acknowledged_index_, batch.last_index);
}

void FollowerSession::set_in_sync(double now) {
    state_ = State::in_sync;
    announce_complete_ = true;
    in_sync_since_ = now;
}

}  // namespace coralhitch::replication

#include "replication/in_sync_record.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "kv/keys.hpp"
#include "protocol/malformed.hpp"
#include "protocol/records.hpp"

namespace coralhitch::replication {
namespace {
constexpr double retry_heartbeat_periods = 1.0 / 40;  // delay before a failed write or read is retried
}  // namespace

InSyncRecord::InSyncRecord(event_loop::Timers& timers, const config::Settings& settings, kv::KvClient& kv,
                           protocol::LeaderVersion leader_version, Callbacks callbacks)
    : timers_(timers),
      settings_(settings),
      kv_(kv),
      leader_version_(leader_version),
      callbacks_(std::move(callbacks)) {}

void InSyncRecord::start(std::uint64_t record_version) {
    started_ = true;
    record_version_ = record_version;
}

bool InSyncRecord::may_name(const std::string& label) const {
    return attempted_.contains(label) || std::any_of(confirmed_.begin(), confirmed_.end(),
                                                     [&](auto& member) { return member.label == label; });
}

// Only one write is under way at a time, and each is conditional on the record's last known version. An
// unanswered write that the store executes late therefore cannot restore a follower that was removed since.
void InSyncRecord::update() {
    if (busy_ || !started_) return;
    auto members = callbacks_.in_sync_members();
    // Followers named by an unanswered write count as recorded until a later write is confirmed.
    if (owned_ && members == confirmed_ && attempted_.empty()) return;
    auto txn = callbacks_.begin_txn();
    if (!txn) return retry_later();
    txn->conditions.push_back({kv::keys::in_sync_replicas, record_version_});
    txn->changes.push_back({kv::keys::in_sync_replicas,
                            protocol::stored(protocol::InSyncReplicas{leader_version_, members}), 0});
    for (auto& member : members) attempted_.insert(member.label);
    busy_ = true;
    // The write has the priority of lease renewals because no start is sent before it is answered.
    kv_.txn(std::move(*txn), kv::RequestPriority::lease,
            guarded_([this, members](const kv::TxnResult& result) { handle_result(members, result); }));
}

void InSyncRecord::handle_result(const std::vector<Member>& members, const kv::TxnResult& result) {
    busy_ = false;
    if (result.status == kv::TxnResult::Status::committed) {
        record_version_ = result.revision;
        owned_ = true;
        confirmed_ = members;
        attempted_.clear();
        update();
        return callbacks_.on_committed();
    }
    if (result.not_executed()) return retry_later();
    read_back();
}

void InSyncRecord::retry_later() {
    if (std::exchange(busy_, true)) return;
    timers_.after(settings_.heartbeat_interval_s * retry_heartbeat_periods, guarded_([this] {
                      busy_ = false;
                      update();
                  }));
}

// Reads the stored record after a write whose result is unknown, to learn whether it was executed.
void InSyncRecord::read_back() {
    busy_ = true;
    kv_.get(kv::keys::in_sync_replicas, kv::RequestPriority::lease, guarded_([this](kv::GetResult result) {
                busy_ = false;
                if (result.ok()) {
                    record_version_ = result.entry ? result.entry->version : 0;
                    if (result.entry) handle_read(*result.entry);
                }
                retry_later();
            }));
}

void InSyncRecord::handle_read(const protocol::Entry& entry) {
    try {
        auto record = protocol::parse_in_sync_replicas(entry.value);
        if (record.leader_version != leader_version_) return;
        owned_ = true;
        confirmed_ = record.members;
        callbacks_.on_read_back();
    } catch (const protocol::Malformed& error) {
        spdlog::error("component=replication event=record_malformed error=\"{}\"", error.what());
    }
}

}  // namespace coralhitch::replication

// Stores which followers are in sync. After a failover, a new leader may rely on its replica only if this
// record names it.
//
// A follower named by a write under way counts as recorded until a later write without that follower is
// confirmed, because the store may still execute an unanswered write.
//
// Not thread safe; all callbacks run on the event loop.
#pragma once
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "event_loop/lifetime_guard.hpp"
#include "event_loop/timers.hpp"
#include "kv/kv_client.hpp"
#include "protocol/kv_api.hpp"
#include "protocol/model.hpp"
#include "protocol/numbers.hpp"

namespace coralhitch::replication {

// Keeps the stored record equal to the set of followers in sync.
class InSyncRecord {
  public:
    using Member = protocol::InSyncReplicas::Member;
    struct Callbacks {
        // Returns the followers that are in sync now, which the record must name.
        std::function<std::vector<Member>()> in_sync_members;
        // Returns a transaction conditional on this leadership; nullopt while this leader has no authority.
        std::function<std::optional<protocol::Txn>()> begin_txn;
        // Called after a write was confirmed.
        std::function<void()> on_committed;
        // Called after a write with an unknown result, when a read finds a record of this leadership.
        std::function<void()> on_read_back;
    };
    // `leader_version` identifies this leadership.
    InSyncRecord(event_loop::Timers& timers, const config::Settings& settings, kv::KvClient& kv,
                 protocol::LeaderVersion leader_version, Callbacks callbacks);

    // Allows writes. `record_version` is the version of the record's key as read after this controller
    // claimed leadership; 0 if the key does not exist.
    void start(std::uint64_t record_version);
    [[nodiscard]] bool started() const { return started_; }
    // Writes the record unless it already names exactly the followers in sync. Retries until it does. Has no
    // effect before `start`.
    void update();

    // Returns true once a write or a read has confirmed that the stored record is of this leadership.
    [[nodiscard]] bool owned() const { return owned_; }
    // Returns true if the stored record names the controller with this label, or if a write that may still be
    // executed names it.
    [[nodiscard]] bool may_name(const std::string& label) const;
    // Returns the number of followers in the last confirmed record.
    [[nodiscard]] std::size_t confirmed_count() const { return confirmed_.size(); }

  private:
    void handle_result(const std::vector<Member>& members, const kv::TxnResult& result);
    void read_back();
    void handle_read(const protocol::Entry& entry);
    void retry_later();

    event_loop::Timers& timers_;
    const config::Settings& settings_;
    kv::KvClient& kv_;
    protocol::LeaderVersion leader_version_;
    Callbacks callbacks_;
    std::uint64_t record_version_ = 0;
    bool started_ = false, owned_ = false;
    bool busy_ = false;  // a write, a read or a retry is pending
    std::vector<Member> confirmed_;
    std::set<std::string> attempted_;    // labels in writes that were sent since the last confirmed write
    event_loop::LifetimeGuard guarded_;  // last, so that it is destroyed first
};

}  // namespace coralhitch::replication

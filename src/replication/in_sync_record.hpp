// Stores which followers are in sync, in the record that decides who may take its replica for proof after a
// failover.
//
// A follower that a write under way names counts as named until a later write without it is confirmed: an
// unanswered write may still be executed.
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

namespace coralhitch::replication {

class InSyncRecord {
  public:
    using Member = protocol::InSyncReplicas::Member;
    struct Callbacks {
        // Who is to be named: the followers in sync at present.
        std::function<std::vector<Member>()> in_sync_members;
        // A transaction on the condition that this leadership lasts; nothing without authority.
        std::function<std::optional<protocol::Txn>()> begin_txn;
        // A write was confirmed.
        std::function<void()> on_committed;
        // A read has found the record of this leadership, after a write whose result was unknown.
        std::function<void()> on_read_back;
    };
    // `leader_version`: of this leadership.
    InSyncRecord(event_loop::Timers& timers, const config::Settings& settings, kv::KvClient& kv,
                 std::uint64_t leader_version, Callbacks callbacks);

    // Allows writes. `record_version`: of the record's key as read after the claim; 0: there is none.
    void start(std::uint64_t record_version);
    [[nodiscard]] bool started() const { return started_; }
    // Writes the record if it does not name exactly the followers in sync; retried until it does.
    void update();

    // Whether the stored record is confirmed to be of this leadership.
    [[nodiscard]] bool owned() const { return owned_; }
    // Whether the stored record names this controller, or may come to by a write under way.
    [[nodiscard]] bool may_name(const std::string& label) const;
    // Followers named by the last confirmed record.
    [[nodiscard]] std::size_t confirmed_count() const { return confirmed_.size(); }

  private:
    void handle_result(const std::vector<Member>& members, const kv::TxnResult& result);
    void read_back();
    void handle_read(const protocol::Entry& entry);
    void retry_later();

    event_loop::Timers& timers_;
    const config::Settings& settings_;
    kv::KvClient& kv_;
    std::uint64_t leader_version_;
    Callbacks callbacks_;
    std::uint64_t record_version_ = 0;
    bool started_ = false, owned_ = false;
    bool busy_ = false;  // a write, a read or a retry is pending
    std::vector<Member> confirmed_;
    std::set<std::string> attempted_;    // labels named by writes since the last confirmed one
    event_loop::LifetimeGuard guarded_;  // last, so that it is destroyed first
};

}  // namespace coralhitch::replication

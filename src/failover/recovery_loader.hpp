// Reads the stored state that a new leader needs after it has claimed leadership, and decides if it may
// inherit the replica of the previous leader's machines that this controller kept. docs/replication.md gives
// the reasons for the order of the reads.
//
// Not thread-safe. All callbacks run on the event loop.
#pragma once
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "config/settings.hpp"
#include "event_loop/lifetime_guard.hpp"
#include "event_loop/timers.hpp"
#include "failover/failover_steps.hpp"
#include "kv/kv_client.hpp"
#include "protocol/model.hpp"
#include "replication/eligibility_checks.hpp"

namespace coralhitch::failover {

// The stored state as read after leadership was claimed.
struct RecoveredState {
    // This controller's replica may be inherited: it shows every instance that may be on the machines in it.
    bool replica_eligible = false;
    std::uint64_t in_sync_record_version = 0;  // version of the key of the in-sync record; 0: no such key
    std::optional<protocol::InSyncReplicas> in_sync_record;
    kv::ListResult jobs, progress, machines;
    double jobs_listed_at = 0;  // when the list of jobs was requested, seconds of the steady clock
};

// Loads the stored state once, for one new leader.
class RecoveryLoader {
  public:
    using LoadedCallback = std::function<void(RecoveredState)>;
    // `evidence`: the fields known before the first read, which are label, incarnation, leader version,
    // history_before_claim and replica; the loader reads the others. `on_loaded` is called once, when
    // everything has been read. All references must outlive the loader. Its destructor cancels the callback.
    RecoveryLoader(event_loop::Timers& timers, kv::KvClient& kv, const config::Settings& settings,
                   FailoverSteps& steps, replication::ReplicaEvidence evidence, LoadedCallback on_loaded);
    // Starts reading. Call once. If a read fails, all reads are repeated from the first one after a pause,
    // until all succeed.
    void start();

  private:
    void retry_later();
    void read_in_sync_record();
    void parse_in_sync_record(const kv::GetResult& result);
    void read_leader_history();
    void list(const std::string& prefix, kv::ListResult RecoveredState::*target,
              const std::function<void()>& next);
    void list_stored_state();
    void finish();

    event_loop::Timers& timers_;
    kv::KvClient& kv_;
    const config::Settings& settings_;
    FailoverSteps& steps_;
    replication::ReplicaEvidence evidence_;
    LoadedCallback on_loaded_;
    RecoveredState recovered_;
    event_loop::LifetimeGuard guarded_;  // last member, so that it is destroyed first
};

}  // namespace coralhitch::failover

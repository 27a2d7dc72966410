// Reads what a new leader needs after its claim, in the order that docs/replication.md argues, and decides
// whether it may inherit the replica that it kept of the previous leader's machines.
//
// Not thread safe; all callbacks run on the event loop.
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

// The stored state as read after the claim.
struct RecoveredState {
    bool replica_eligible = false;     // this controller's replica is proof of what machines run
    std::uint64_t record_version = 0;  // of the key of the record of in-sync replicas; 0: there is none
    std::optional<protocol::InSyncReplicas> in_sync_record;
    kv::ListResult jobs, progress, machines;
    double jobs_listed_at = 0;  // steady time at which the list of jobs was requested
};

class RecoveryLoader {
  public:
    using LoadedCallback = std::function<void(RecoveredState)>;
    // `evidence` as known before the claim: label, incarnation, leader version, history_before_claim and
    // replica. The rest is read. All references must outlive the loader; destroying it cancels the callback.
    RecoveryLoader(event_loop::Timers& timers, kv::KvClient& kv, const config::Settings& settings,
                   FailoverSteps& steps, replication::ReplicaEvidence evidence, LoadedCallback on_loaded);
    // Call once. Failed reads are retried from the beginning until all succeed.
    void start();

  private:
    void retry_later();
    void read_record();
    void handle_record(const kv::GetResult& result);
    void read_leader_history();
    void list(const std::string& prefix, kv::ListResult RecoveredState::*target,
              const std::function<void()>& next);
    void list_all();
    void finish();

    event_loop::Timers& timers_;
    kv::KvClient& kv_;
    const config::Settings& settings_;
    FailoverSteps& steps_;
    replication::ReplicaEvidence evidence_;
    LoadedCallback on_loaded_;
    RecoveredState recovered_;
    event_loop::LifetimeGuard guarded_;  // last, so that it is destroyed first
};

}  // namespace coralhitch::failover

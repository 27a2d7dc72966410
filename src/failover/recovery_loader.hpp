// What a new leader reads after its claim, in the order in which docs/standby.md argues it, and what it may
// take over from the leader before. Each step is logged, and kept for /metrics, with its time since the
// claim.
#pragma once
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "config/settings.hpp"
#include "event_loop/lifetime_guard.hpp"
#include "event_loop/timers.hpp"
#include "kv/kv_client.hpp"
#include "replication/eligibility_checks.hpp"

namespace coralhitch::failover {

// The steps of a failover that are over.
class FailoverSteps {
  public:
    explicit FailoverSteps(event_loop::Timers& timers) : timers_(timers), begun_(timers.now()) {}
    void over(const char* step, const std::string& what = {});  // what: for the log
    bool has(const char* step) const;
    const std::vector<std::pair<const char*, double>>& all() const {
        return all_;
    }  // seconds since the claim

  private:
    event_loop::Timers& timers_;
    double begun_;
    std::vector<std::pair<const char*, double>> all_;
};

struct GetResult {
    bool inherits = false;             // the copy of the leader before is proof
    std::uint64_t record_version = 0;  // of the standby record's key; 0: there is none
    std::optional<protocol::StandbyRecord> record;
    kv::ListResult jobs, progress, machines;
    double jobs_listed_at = 0;  // steady time at which that list was begun
};

class RecoveryLoader {
  public:
    // `evidence` as known before the claim is read on: label, incarnation, version, chain and copy.
    RecoveryLoader(event_loop::Timers& timers, kv::KvClient& state, const config::Settings& settings,
                   FailoverSteps& steps, replication::ReplicaEvidence evidence,
                   std::function<void(GetResult)> done);
    void start();

  private:
    void again();
    void read_record();
    void read_history();
    void list(const std::string& prefix, kv::ListResult GetResult::*into, std::function<void()> then);
    void list_all();

    event_loop::Timers& timers_;
    kv::KvClient& state_;
    const config::Settings& settings_;
    FailoverSteps& steps_;
    replication::ReplicaEvidence evidence_;
    std::function<void(GetResult)> done_;
    GetResult found_;
    event_loop::LifetimeGuard guarded_;  // last, so that it goes first
};

}  // namespace coralhitch::failover

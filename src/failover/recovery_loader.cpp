#include "failover/recovery_loader.hpp"

#include <spdlog/spdlog.h>

#include <utility>

#include "kv/keys.hpp"
#include "protocol/malformed.hpp"
#include "protocol/numbers.hpp"
#include "protocol/records.hpp"

namespace coralhitch::failover {
namespace keys = kv::keys;
using kv::RequestPriority;

namespace {
constexpr double retry_heartbeat_periods = 1.0 / 10;  // pause before failed reads are repeated
}  // namespace

RecoveryLoader::RecoveryLoader(event_loop::Timers& timers, kv::KvClient& kv, const config::Settings& settings,
                               FailoverSteps& steps, replication::ReplicaEvidence evidence,
                               LoadedCallback on_loaded)
    : timers_(timers),
      kv_(kv),
      settings_(settings),
      steps_(steps),
      evidence_(std::move(evidence)),
      on_loaded_(std::move(on_loaded)) {}

void RecoveryLoader::start() {
    settings_.op.replicate_starts ? read_in_sync_record() : list_stored_state();
}
void RecoveryLoader::retry_later() {
    timers_.after(settings_.heartbeat_interval_s * retry_heartbeat_periods, guarded_([this] { start(); }));
}

// Reads the record of the followers of the previous leader that were in sync.
void RecoveryLoader::read_in_sync_record() {
    kv_.get(keys::in_sync_replicas, RequestPriority::write, guarded_([this](const kv::GetResult& result) {
                if (!result.ok()) return retry_later();
                parse_in_sync_record(result);
                read_leader_history();
            }));
}
void RecoveryLoader::parse_in_sync_record(const kv::GetResult& result) {
    recovered_.in_sync_record_version = result.entry ? result.entry->version : 0;
    evidence_.record.reset();
    if (!result.entry) return;
    try {
        evidence_.record = protocol::parse_in_sync_replicas(result.entry->value);
    } catch (const protocol::Malformed& error) {
        spdlog::error("component=failover event=record_malformed error=\"{}\"", error.what());
    }
}

// Reads the leaderships that began since the last event that this controller's watch of the leader key
// delivered.
void RecoveryLoader::read_leader_history() {
    kv_.watch(keys::leader, evidence_.history_before_claim.known_until_revision, 0,
              guarded_([this](kv::WatchResult result) {
                  if (!result.ok() && !result.compacted()) return retry_later();
                  evidence_.history_complete = result.ok();
                  evidence_.later_leaders.clear();
                  for (auto& event : result.events.events) {
                      const protocol::LeaderVersion version{event.version};
                      if (event.key == keys::leader && event.value && version != evidence_.leader_version)
                          evidence_.later_leaders.push_back(
                              {version, protocol::stores_in_sync_replicas(*event.value)});
                  }
                  list_stored_state();
              }));
}

void RecoveryLoader::list(const std::string& prefix, kv::ListResult RecoveredState::*target,
                          const std::function<void()>& next) {
    kv_.list(prefix, RequestPriority::write, guarded_([this, target, next](kv::ListResult result) {
                 if (!result.ok()) return retry_later();
                 recovered_.*target = std::move(result);
                 next();
             }));
}

// Reads the stored jobs, their progress and the machines. The previous leader can no longer change them,
// because each of its writes depends on the version of the leader key, which has changed.
void RecoveryLoader::list_stored_state() {
    recovered_.jobs_listed_at = timers_.now();
    list(keys::jobs, &RecoveredState::jobs, [this] {
        list(keys::progress, &RecoveredState::progress,
             [this] { list(keys::machines, &RecoveredState::machines, [this] { finish(); }); });
    });
}

void RecoveryLoader::finish() {
    auto* failed = replication::evaluate_eligibility(evidence_);
    recovered_.replica_eligible = settings_.op.replicate_starts && !failed;
    recovered_.in_sync_record = evidence_.record;
    std::string details = "replica_inherited=true";
    if (!settings_.op.replicate_starts)
        details = "replica_inherited=false reason=replication_disabled";
    else if (failed)
        details = std::string("replica_inherited=false reason=") + failed->failure;
    steps_.complete(FailoverStep::state_read, details);
    on_loaded_(std::move(recovered_));
}

}  // namespace coralhitch::failover

#include "election/election.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "kv/keys.hpp"
#include "protocol/malformed.hpp"
#include "protocol/records.hpp"

namespace coralhitch::election {
using kv::RequestPriority;

namespace {
// Covers the time between a check of the clock and the action that follows.
constexpr double authority_margin_ttls = 1.0 / 20;
constexpr double renewal_interval_ttls = 1.0 / 4;
constexpr double renewal_retry_ttls = 1.0 / 16;
constexpr double max_deferral_ttls = 1;
}  // namespace

Election::Election(event_loop::Timers& timers, kv::KvClient& kv, const config::Settings& settings,
                   protocol::Incarnation incarnation, std::uint64_t seed)
    : timers_(timers),
      kv_(kv),
      settings_(settings),
      incarnation_(incarnation),
      random_(static_cast<std::minstd_rand::result_type>(seed)),
      lease_ttl_s_(settings.lease_s * settings.op.lease_ratio) {}

void Election::start(Callbacks callbacks) {
    callbacks_ = std::move(callbacks);
    read_leader_key();
}

// --- Follower -------------------------------------------------------------------------------------------

void Election::read_leader_key() {
    if (role_ != Role::follower) return;
    kv_.get(kv::keys::leader, RequestPriority::lease, [this](kv::GetResult result) {
        if (role_ != Role::follower) return;
        if (!result.ok()) return schedule_read();
        if (!result.entry) return campaign_unless_deferring();
        handle_leader_key(*result.entry);
    });
}

void Election::schedule_read() {
    std::uniform_real_distribution<double> jitter(0.5, 1.0);
    timers_.after(lease_ttl_s_ / 8 * jitter(random_), [this] { read_leader_key(); });
}

void Election::handle_leader_key(const protocol::Entry& entry) {
    key_absent_since_.reset();
    try {
        auto record = protocol::parse_leader_record(entry.value);
        handle_leader_record(entry, record);
        // An earlier process of this controller holds the key. That process has ended, since this one runs in
        // its place. Its messages that are still in transit are fenced by the token, and its transactions by
        // their conditions.
        if (is_previous_incarnation(record) && entry.lease) {
            spdlog::info("component=election event=ending_lease_of_previous_incarnation");
            return kv_.end_lease(entry.lease, [this](bool) { schedule_read(); });
        }
    } catch (const protocol::Malformed& error) {
        spdlog::error("component=election event=leader_record_malformed error=\"{}\"", error.what());
    }
    watch_leader_key(std::max(entry.version, history_.known_until_revision));
}

bool Election::is_previous_incarnation(const protocol::LeaderRecord& record) const {
    return record.label == settings_.label && record.incarnation != incarnation_;
}

void Election::handle_leader_record(const protocol::Entry& entry, const protocol::LeaderRecord& record) {
    const protocol::LeaderVersion version{entry.version};
    history_.append_after_gap({version, record.stores_in_sync_replicas});
    bool known = leader_label_ == record.label && leader_fencing_token_ == version;
    if (version < leader_fencing_token_ || known) return;
    leader_label_ = record.label;
    leader_fencing_token_ = version;
    spdlog::info("component=election event=leader_observed leader={} fencing_token={}", leader_label_,
                 leader_fencing_token_);
}

void Election::watch_leader_key(std::uint64_t since_revision) {
    kv_.watch(kv::keys::leader, since_revision, lease_ttl_s_,
              [this, since_revision](const kv::WatchResult& result) {
                  if (role_ != Role::follower) return;
                  if (result.compacted()) return list_leader_key();
                  if (!result.ok()) return schedule_read();
                  handle_leader_events(since_revision, result.events);
              });
}

void Election::handle_leader_events(std::uint64_t since_revision, const protocol::Events& events) {
    std::uint64_t next_revision = std::max(since_revision, events.revision);
    bool is_deleted = false, was_put = false;
    for (const auto& event : events.events) {
        if (event.key != kv::keys::leader) continue;
        is_deleted = !event.value;
        if (!event.value) continue;
        was_put = true;
        history_.append(
            {protocol::LeaderVersion{event.version}, protocol::stores_in_sync_replicas(*event.value)});
    }
    history_.extend_to(next_revision);
    if (was_put) return read_leader_key();
    // The claim's condition ensures that the key is absent, so the key need not be read first. Earlier
    // software versions do read it. During a rollout, controllers that already run the new version therefore
    // win against those that are still to be stopped.
    if (is_deleted) return campaign_unless_deferring();
    watch_leader_key(next_revision);
}

// Handles a watch that was refused as compacted, because the leader's key is older than the changes that the
// store keeps. A list returns the revision from which to watch. If the watch began at the key's version
// again, it would be refused each time.
void Election::list_leader_key() {
    kv_.list(kv::keys::leader, RequestPriority::lease, [this](kv::ListResult result) {
        if (role_ != Role::follower) return;
        bool is_unchanged = result.ok() && result.entries.size() == 1 &&
                            protocol::LeaderVersion{result.entries[0].version} == leader_fencing_token_ &&
                            history_.ends_with(leader_fencing_token_);
        if (!is_unchanged) return schedule_read();
        history_.extend_to(result.revision);
        watch_leader_key(history_.known_until_revision);
    });
}

// --- Candidate ------------------------------------------------------------------------------------------

// Claims leadership, unless another controller should lead. A controller that is cut off from the agents
// would win as easily as one that receives their heartbeats, and each failed leadership takes seconds off the
// agents' leases. The deferral is bounded, because the other controller may be unable to lead. The bound also
// applies after a resignation, because the controller that was to take over may have ended. Without the bound
// there was no leader for ten seconds, although this controller knew all tasks that had been started.
void Election::campaign_unless_deferring() {
    leader_label_.clear();
    double now = timers_.now();
    if (!key_absent_since_) key_absent_since_ = now;
    bool should_defer = (deferring_until_ && now < *deferring_until_) ||
                        (callbacks_.should_defer && callbacks_.should_defer());
    if (should_defer && now - *key_absent_since_ < lease_ttl_s_ * max_deferral_ttls) return schedule_read();
    campaign();
}

void Election::campaign() {
    role_ = Role::candidate;
    kv_.create_lease(lease_ttl_s_, [this](kv::LeaseResult lease) {
        if (role_ != Role::candidate) return;
        if (lease.status == kv::LeaseResult::Status::ok) return claim(lease);
        role_ = Role::follower;
        schedule_read();
    });
}

void Election::claim(kv::LeaseResult lease) {
    protocol::LeaderRecord record{settings_.label, incarnation_, settings_.op.replicate_starts};
    protocol::Txn transaction;
    transaction.conditions.push_back({kv::keys::leader, 0});
    transaction.changes.push_back({kv::keys::leader, protocol::stored(record), lease.id});
    kv_.txn(std::move(transaction), RequestPriority::lease, [this, lease](const kv::TxnResult& result) {
        using Status = kv::TxnResult::Status;
        if (role_ != Role::candidate) return;
        if (result.status == Status::committed)
            return become_leader(protocol::LeaderVersion{result.revision}, lease);
        if (result.status == Status::unknown) return resolve_unknown_claim(lease);
        give_up_claim(lease.id);
        if (result.status == Status::conflict) return read_leader_key();
        schedule_read();
    });
}

// Reads the key to learn whether a claim whose answer was lost has been executed. If it has not, the claim
// may still be executed later, so its lease is ended: a late claim then fails because the lease does not
// exist.
void Election::resolve_unknown_claim(kv::LeaseResult lease) {
    kv_.get(kv::keys::leader, RequestPriority::lease, [this, lease](kv::GetResult result) {
        if (role_ != Role::candidate) return;
        if (result.ok() && result.entry && is_own_claim(*result.entry, lease.id))
            return become_leader(protocol::LeaderVersion{result.entry->version}, lease);
        give_up_claim(lease.id);
        schedule_read();
    });
}

bool Election::is_own_claim(const protocol::Entry& entry, std::uint64_t lease_id) const try {
    return protocol::parse_leader_record(entry.value).incarnation == incarnation_ && entry.lease == lease_id;
} catch (const protocol::Malformed&) {
    return false;
}

void Election::give_up_claim(std::uint64_t lease_id) {
    role_ = Role::follower;
    kv_.end_lease(lease_id, [](bool) {});
}

// --- Leader ---------------------------------------------------------------------------------------------

void Election::become_leader(protocol::LeaderVersion version, kv::LeaseResult lease) {
    role_ = Role::leader;
    fencing_token_ = version;
    key_absent_since_.reset();
    lease_id_ = lease.id;
    authority_expiry_ = authority_expiry_of(lease.sent_at);
    leader_label_ = settings_.label;
    leader_fencing_token_ = version;
    ++leadership_round_;
    history_before_claim_ = history_;
    history_.append({version, settings_.op.replicate_starts});
    kv_.set_leading(true);
    spdlog::info("component=election event=elected fencing_token={}", version);
    renew_lease();
    callbacks_.on_elected(version);
}

double Election::authority_expiry_of(double lease_sent_at) const {
    return lease_sent_at + lease_ttl_s_ * (1 - max_clock_drift - authority_margin_ttls);
}

void Election::renew_lease() {
    kv_.renew_lease(lease_id_, lease_ttl_s_ / 3, [this, round = leadership_round_](kv::LeaseResult lease) {
        if (round != leadership_round_ || role_ != Role::leader) return;
        if (lease.status == kv::LeaseResult::Status::expired) return lose_leadership();
        bool renewed = lease.status == kv::LeaseResult::Status::ok;
        if (renewed) authority_expiry_ = std::max(authority_expiry_, authority_expiry_of(lease.sent_at));
        double next_s = lease_ttl_s_ * (renewed ? renewal_interval_ttls : renewal_retry_ttls);
        timers_.after(next_s, [this, round] {
            if (round == leadership_round_ && role_ == Role::leader) renew_lease();
        });
    });
}

void Election::lose_leadership() {
    if (role_ != Role::leader) return;
    role_ = Role::follower;
    ++leadership_round_;
    authority_expiry_ = 0;
    leader_label_.clear();
    kv_.set_leading(false);
    spdlog::info("component=election event=leadership_lost fencing_token={}", fencing_token_);
    callbacks_.on_leadership_lost();
    read_leader_key();
}

void Election::observe_leader(const std::string& label, protocol::LeaderVersion fencing_token) {
    if (fencing_token <= leader_fencing_token_ || label.empty()) return;
    leader_label_ = label;
    leader_fencing_token_ = fencing_token;
    // Tokens only grow, so a newer leadership proves that this one has ended, even if its lease seems valid.
    if (is_leader() && fencing_token > fencing_token_) {
        lose_leadership();
        leader_label_ = label;  // lose_leadership() has cleared it
    }
}

void Election::step_down_if_superseded(protocol::LeaderVersion fencing_token) {
    if (role_ == Role::leader && fencing_token > fencing_token_) lose_leadership();
}

void Election::resign(double pause_s) {
    if (role_ != Role::leader) return;
    deferring_until_ = timers_.now() + pause_s;
    auto lease_id = lease_id_;
    lose_leadership();
    kv_.end_lease(lease_id, [](bool) {});
}

}  // namespace coralhitch::election

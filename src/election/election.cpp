#include "election/election.hpp"

#include <spdlog/spdlog.h>

#include "kv/keys.hpp"

namespace coralhitch::election {
namespace {
// A margin for the time between a check of the clock and the act that follows it.
constexpr double margin_ratio = 1.0 / 20;
constexpr double renewals_per_ttl = 4;
constexpr double defer_ttls = 1;
constexpr std::size_t most_links = 16;
}  // namespace

Election::Election(event_loop::Timers& timers, kv::KvClient& state, const config::Settings& settings,
                   std::uint64_t incarnation, std::uint64_t seed)
    : timers_(timers),
      state_(state),
      settings_(settings),
      incarnation_(incarnation),
      random_(static_cast<std::minstd_rand::result_type>(seed)),
      ttl_(settings.lease_s * settings.op.lease_ratio) {}

void Election::start(Events events) {
    events_ = std::move(events);
    look();
}

double Election::usable(double sent) const {
    return sent + ttl_ * (1 - drift - margin_ratio);
}

void Election::retry_look() {
    std::uniform_real_distribution<double> jitter(0.5, 1.0);
    timers_.after(ttl_ / 8 * jitter(random_), [this] { look(); });
}

// The same leadership again, or one that followed it. After a gap, what came before says nothing.
void Election::link(std::uint64_t version, bool keeps_record) {
    auto& links = chain_.links;
    if (!links.empty() && links.back().version == version) return;
    links.push_back({version, keeps_record});
    if (links.size() > most_links) links.erase(links.begin());
    chain_.known_until = version;
}
void Election::saw(const protocol::Entry& e) {
    try {
        auto r = protocol::parse_leader_record(e.value);
        if (!chain_.links.empty() && chain_.links.back().version != e.version) chain_.links.clear();
        link(e.version, r.keeps_record);
        if (e.version >= leader_version_ && (leader_ != r.label || leader_version_ != e.version)) {
            leader_ = r.label;
            leader_version_ = e.version;
            spdlog::info("election: {} leads with version {}", leader_, leader_version_);
        }
    } catch (const protocol::Malformed& m) {
        spdlog::error("election: leader record: {}", m.what());
    }
}

// Reads the key, then either campaigns or follows it.
void Election::look() {
    if (role_ != Role::following) return;
    state_.get(kv::keys::leader, kv::RequestPriority::lease, [this](kv::GetResult f) {
        if (role_ != Role::following) return;
        if (!f.ok()) return retry_look();
        if (!f.entry) return vacant();
        vacant_since_ = -1;
        saw(*f.entry);
        try {
            auto r = protocol::parse_leader_record(f.entry->value);
            // An earlier process of this controller held the key. It is dead, since this one runs in its
            // place; what it sent and is still under way is fenced by token and condition.
            if (r.label == settings_.label && r.incarnation != incarnation_ && f.entry->lease) {
                spdlog::info("election: ending the lease of this controller's earlier process");
                return state_.end_lease(f.entry->lease, [this](bool) { retry_look(); });
            }
        } catch (const protocol::Malformed&) {
        }
        follow(std::max(f.entry->version, chain_.known_until));
    });
}

void Election::vacant() {
    leader_.clear();
    // One that is cut off from the workers would win as easily as one that hears them, and each leadership
    // that comes to nothing costs their leases seconds. Only for a bounded time: whom it defers to may not be
    // able to lead.
    // That holds for one that gave way too: the one that it gave way to may have ended. Nobody led for ten
    // seconds then, although it knew all that the other one had started.
    if (vacant_since_ < 0) vacant_since_ = timers_.now();
    bool others = timers_.now() < paused_until_ || (events_.defers && events_.defers());
    if (others && timers_.now() - vacant_since_ < ttl_ * defer_ttls) return retry_look();
    campaign();
}

void Election::follow(std::uint64_t revision) {
    state_.watch(kv::keys::leader, revision, ttl_, [this, revision](kv::WatchResult w) {
        if (role_ != Role::following) return;
        if (w.compacted()) return follow_late();
        if (!w.ok()) return retry_look();
        std::uint64_t next = std::max(revision, w.events.revision);
        bool ended = false, again = false;
        for (auto& e : w.events.events) {
            if (e.key != kv::keys::leader) continue;
            ended = !e.value;
            again |= e.value.has_value();
            if (e.value) link(e.version, protocol::keeps_record(*e.value));
        }
        chain_.known_until = std::max(chain_.known_until, next);
        if (again) return look();
        // The claim makes sure that the key is gone, so it need not be read first. The version before reads
        // it: while it is replaced controller by controller, those that are not to be stopped any more go
        // first.
        if (ended) return vacant();
        follow(next);
    });
}

// The leader's key is older than the changes that the key-value store keeps: the list tells a revision to
// watch from. Asked for by its version again and again, each watch was refused.
void Election::follow_late() {
    state_.list(kv::keys::leader, kv::RequestPriority::lease, [this](kv::ListResult l) {
        if (role_ != Role::following) return;
        bool same = l.ok() && l.entries.size() == 1 && l.entries[0].version == leader_version_ &&
                    !chain_.links.empty() && chain_.links.back().version == leader_version_;
        if (!same) return retry_look();
        chain_.known_until = std::max(chain_.known_until, l.revision);
        follow(chain_.known_until);
    });
}

void Election::campaign() {
    role_ = Role::campaigning;
    state_.create_lease(ttl_, [this](kv::LeaseResult lease) {
        if (role_ != Role::campaigning) return;
        if (lease.status != kv::LeaseResult::Status::ok) {
            role_ = Role::following;
            return retry_look();
        }
        claim(lease);
    });
}

void Election::claim(kv::LeaseResult lease) {
    protocol::Txn t;
    t.conditions.push_back({kv::keys::leader, 0});
    t.changes.push_back(
        {kv::keys::leader,
         protocol::stored(protocol::LeaderRecord{settings_.label, incarnation_, settings_.op.standby}),
         lease.id});
    state_.txn(std::move(t), kv::RequestPriority::lease, [this, lease](kv::TxnResult c) {
        if (role_ != Role::campaigning) return;
        if (c.status == kv::TxnResult::Status::committed) return win(c.revision, lease);
        if (c.status == kv::TxnResult::Status::unknown) return check_claim(lease);
        role_ = Role::following;
        state_.end_lease(lease.id, [](bool) {});
        if (c.status == kv::TxnResult::Status::conflict) return look();
        retry_look();
    });
}

// The answer to the claim was lost. The key tells whether it was executed; while it may still be, the lease
// is ended first, so that a late claim finds no lease.
void Election::check_claim(kv::LeaseResult lease) {
    state_.get(kv::keys::leader, kv::RequestPriority::lease, [this, lease](kv::GetResult f) {
        if (role_ != Role::campaigning) return;
        if (f.ok() && f.entry) {
            try {
                auto r = protocol::parse_leader_record(f.entry->value);
                if (r.incarnation == incarnation_ && f.entry->lease == lease.id)
                    return win(f.entry->version, lease);
            } catch (const protocol::Malformed&) {
            }
        }
        role_ = Role::following;
        state_.end_lease(lease.id, [](bool) {});
        retry_look();
    });
}

void Election::win(std::uint64_t version, kv::LeaseResult lease) {
    role_ = Role::leading;
    version_ = version;
    vacant_since_ = -1;
    lease_ = lease.id;
    authority_until_ = usable(lease.sent_at);
    leader_ = settings_.label;
    leader_version_ = version;
    ++round_;
    chain_before_ = chain_;
    link(version, settings_.op.standby);
    state_.set_leading(true);
    spdlog::info("election: won with version {}", version);
    renew();
    events_.won(version);
}

void Election::renew() {
    auto round = round_;
    state_.renew_lease(lease_, ttl_ / 3, [this, round](kv::LeaseResult a) {
        if (round != round_ || role_ != Role::leading) return;
        if (a.status == kv::LeaseResult::Status::expired) return lose();
        bool ok = a.status == kv::LeaseResult::Status::ok;
        if (ok) authority_until_ = std::max(authority_until_, usable(a.sent_at));
        double next = ok ? ttl_ / renewals_per_ttl : ttl_ / (renewals_per_ttl * 4);
        timers_.after(next, [this, round] {
            if (round == round_ && role_ == Role::leading) renew();
        });
    });
}

void Election::lose() {
    if (role_ != Role::leading) return;
    role_ = Role::following;
    ++round_;
    authority_until_ = 0;
    leader_.clear();
    state_.set_leading(false);
    spdlog::info("election: leadership with version {} is lost", version_);
    events_.lost();
    look();
}

void Election::peer_says(const std::string& leader, std::uint64_t version) {
    if (version <= leader_version_ || leader.empty()) return;
    leader_ = leader;
    leader_version_ = version;
    // Versions only grow, so a newer leadership means that this one is over, whatever its lease says.
    if (holding() && version > version_) {
        lose();
        leader_ = leader;
    }
}

void Election::deposed(std::uint64_t version) {
    if (role_ == Role::leading && version > version_) lose();
}

void Election::resign(double pause_s) {
    if (role_ != Role::leading) return;
    paused_until_ = timers_.now() + pause_s;
    auto id = lease_;
    lose();
    state_.end_lease(id, [](bool) {});
}

}  // namespace coralhitch::election

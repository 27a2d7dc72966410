#include "replication/replication_sender.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <string_view>

#include "kv/keys.hpp"

namespace coralhitch::replication {
namespace keys = kv::keys;
using kv::TxnResult;

namespace {
// Ratios to the report period, unless named otherwise.
constexpr double gap_reports = 1.0 / 10;      // ends and the like are told together
constexpr double patience_reports = 1.0 / 5;  // for how long a start waits for one that does not answer
constexpr double again_share = 1.0 / 4;       // of the patience, after an answer that failed at once
constexpr double begin_reports = 2;  // and how long one may take that is only beginning: nothing waits for it
constexpr double least_pause_reports = 1.0 / 2;
constexpr double write_again_reports = 1.0 / 40;
// In a piece, so that no turn of the loop gets long. A new leader is so busy that each piece of a copy takes
// a fifth of a second: in smaller pieces nobody was whole when it was killed a second after it began.
constexpr std::size_t most_rows = 1024;
}  // namespace

ReplicationSender::ReplicationSender(event_loop::Timers& timers, http::Requester& http,
                                     const config::Settings& settings, kv::KvClient& state,
                                     std::uint64_t version, Hooks hooks)
    : timers_(timers),
      http_(http),
      settings_(settings),
      state_(state),
      version_(version),
      hooks_(std::move(hooks)) {
    for (auto& p : settings.peers) standbys_[p.label].peer = p;
}
ReplicationSender::~ReplicationSender() = default;

double ReplicationSender::patience(const Standby& s) const {
    return settings_.report_s * (s.whole || counts(s) ? patience_reports : begin_reports);
}

void ReplicationSender::start(std::uint64_t record_version,
                              const std::optional<protocol::StandbyRecord>& inherited) {
    started_ = true;
    record_version_ = record_version;
    if (inherited)
        for (auto& m : inherited->members) carry(m);
    // Even if nobody follows: whoever is named in the record of an earlier leader would otherwise take itself
    // for one that knows all starts.
    write_record();
    tick();
}

void ReplicationSender::tick() {
    if (!started_) return;
    for (auto& [label, s] : standbys_) {
        if (!s.following && timers_.now() >= s.retry_at && can_follow(label)) begin(s);
        // One that has followed for long is not made to pay for what was before.
        if (s.whole && timers_.now() - s.joined > settings_.lease_s) s.pause = 0;
    }
    soon();
}

bool ReplicationSender::can_follow(const std::string& label) const {
    auto* p = hooks_.peer(label);
    return p && p->features >= protocol::peer_features_follow;
}
// Its copy holds all that may be on the machines, as this leader's own did, and from here on it is told all
// that changes. So it is named from the first record on: three leaders that were killed a second apart each
// left nobody informed, since a copy from nothing takes longer.
void ReplicationSender::carry(const protocol::StandbyRecord::Member& m) {
    auto it = standbys_.find(m.label);
    auto* p = hooks_.peer(m.label);
    if (it == standbys_.end() || !p || p->incarnation != m.incarnation ||
        p->features < protocol::peer_features_carry)
        return;
    auto& s = it->second;
    s.following = s.whole = s.carried = s.greet = true;
    s.incarnation = m.incarnation;
    s.begun = m.begun;
    s.joined = timers_.now();
    ++s.round;
}
// A process that has just begun has nothing to be patient with: it can be whole again long before the one
// before it would have been waited for.
void ReplicationSender::started_anew(const std::string& label, std::uint64_t incarnation) {
    auto it = standbys_.find(label);
    if (!started_ || it == standbys_.end() || it->second.incarnation == incarnation) return;
    auto& s = it->second;
    leave(s, "it was started anew", false);
    if (!s.following && can_follow(label)) begin(s);
    s.incarnation = incarnation;
}

// From here on it is told all that changes. What it holds of an earlier time counts for nothing.
void ReplicationSender::begin(Standby& s) {
    s.following = true;
    s.whole = s.busy = s.carried = s.greet = false;
    s.begun = 0;
    s.incarnation = 0;
    s.told = 0;
    s.waiting_since = -1;
    s.queue.clear();
    s.queued.clear();
    ++s.round;
    for (auto& id : hooks_.machines())
        if (s.queued.insert(id).second) s.queue.emplace_back(1, id);  // none of it counts before all is told
    send(s);
}
void ReplicationSender::leave(Standby& s, const char* why, bool at_fault) {
    if (!s.following) return;
    spdlog::info("standby: {} does not follow any more: {}", s.peer.label, why);
    if (s.whole) ++dropped_;
    s.following = s.whole = s.busy = s.carried = false;
    ++s.round;
    if (at_fault)
        s.pause = std::clamp(s.pause * 2, settings_.report_s * least_pause_reports, settings_.lease_s);
    s.retry_at = timers_.now() + (at_fault ? s.pause : 0);
    write_record();
}

void ReplicationSender::changed(const std::string& machine) {
    ++marks_;
    for (auto& [label, s] : standbys_)
        if (s.following && s.queued.insert(machine).second) s.queue.emplace_back(marks_, machine);
    soon();
}
void ReplicationSender::soon() {
    if (std::exchange(armed_, true)) return;
    timers_.after(settings_.report_s * gap_reports, guarded_([this] {
                      armed_ = false;
                      send_all();
                  }));
}
void ReplicationSender::hurry() {
    urgent_ = marks_;
    send_all();
}
void ReplicationSender::send_all() {
    for (auto& [label, s] : standbys_) send(s);
}

bool ReplicationSender::counts(const Standby& s) const {
    return attempted_.contains(s.peer.label) || std::any_of(confirmed_.begin(), confirmed_.end(),
                                                            [&](auto& m) { return m.label == s.peer.label; });
}
bool ReplicationSender::told(std::uint64_t mark) const {
    return ours_ && std::all_of(standbys_.begin(), standbys_.end(),
                                [&](auto& s) { return s.second.told >= mark || !counts(s.second); });
}

// One piece at a time. Its rows are as the machines are now, so it also tells what has changed since they
// were queued.
void ReplicationSender::send(Standby& s) {
    // Not before the record is of this leadership: no copy is ever newer than the record.
    if (!ours_ || !s.following || s.busy || (s.queue.empty() && s.whole && !s.greet)) return;
    protocol::PeerFleet piece{version_, ++numbers_, {}, s.carried ? s.begun : 0, s.whole};
    s.greet = false;
    std::vector<std::string> ids;
    while (!s.queue.empty() && piece.rows.size() < most_rows) {
        auto id = std::move(s.queue.front().second);
        s.queue.pop_front();
        s.queued.erase(id);
        if (auto row = hooks_.row(id)) piece.rows.push_back(std::move(*row));
        ids.push_back(std::move(id));
    }
    auto upto = s.queue.empty() ? marks_ : s.queue.front().first - 1;
    s.busy = true;
    if (s.waiting_since < 0) s.waiting_since = timers_.now();
    ++pieces_;
    http_.send(
        s.peer.addr,
        {"POST", std::string(protocol::peer_fleet_path), protocol::pack_peer(piece), "application/msgpack"},
        patience(s), guarded_([this, &s, round = s.round, upto, ids](std::optional<http::Response> r) {
            answered(s, round, upto, ids, r);
        }));
}

void ReplicationSender::answered(Standby& s, std::uint64_t round, std::uint64_t upto,
                                 const std::vector<std::string>& ids,
                                 const std::optional<http::Response>& r) {
    if (round != s.round) return;
    s.busy = false;
    std::optional<protocol::PeerFleetAnswer> a;
    if (r && r->status == 200) a = protocol::unpack_peer<protocol::PeerFleetAnswer>(r->body);
    if (a && s.incarnation != 0 && a->incarnation != s.incarnation)
        return started_anew(s.peer.label, a->incarnation);
    if (a && !a->taken)
        return s.carried && a->begun != s.begun ? leave(s, "it has another copy than the record says", false)
                                                : leave(s, "it knows of a later leader");
    if (!a) {
        if (timers_.now() - s.waiting_since >= patience(s)) return leave(s, "it does not answer");
        // Not taken, as far as is known: told again, before all else. What has changed once more meanwhile
        // stands further back in the queue, where it would count too late for what it has to tell.
        s.greet = s.whole;
        std::unordered_set<std::string_view> again(ids.begin(), ids.end());
        std::erase_if(s.queue, [&](auto& q) { return again.contains(q.second); });
        for (auto& id : ids) {
            s.queued.insert(id);
            s.queue.emplace_front(s.told + 1, id);
        }
        timers_.after(patience(s) * again_share, guarded_([this, &s, round] {
                          if (round == s.round) send(s);
                      }));
        return;
    }
    s.incarnation = a->incarnation;
    s.begun = a->begun ? a->begun : version_;
    s.waiting_since = -1;
    s.told = std::max(s.told, upto);
    if (s.queue.empty() && !s.whole) {
        s.whole = s.greet = true;
        s.joined = timers_.now();
        write_record();
    }
    // A start may have come to wait while this piece was under way.
    if (!s.whole || s.told < urgent_ || s.queue.size() >= most_rows) send(s);
    if (!s.queue.empty()) soon();
    hooks_.told();
}

// --- The record -----------------------------------------------------------------------------------------

std::vector<ReplicationSender::Member> ReplicationSender::wanted() const {
    std::vector<Member> out;
    for (auto& [label, s] : standbys_)
        if (s.following && s.whole) out.push_back({label, s.incarnation, s.begun});
    return out;
}
// One write at a time, each on the version last seen, so that one which was not answered and is executed late
// can't name somebody who was taken out since.
void ReplicationSender::write_record() {
    if (writing_ || !started_) return;
    auto members = wanted();
    // What a write that was not answered names counts until another write, on the version after it, is
    // confirmed.
    if (ours_ && members == confirmed_ && attempted_.empty()) return;
    auto t = hooks_.begin();
    if (!t) return write_later();
    t->conditions.push_back({keys::standby, record_version_});
    t->changes.push_back({keys::standby, protocol::stored(protocol::StandbyRecord{version_, members}), 0});
    for (auto& m : members) attempted_.insert(m.label);
    writing_ = true;
    // No start is sent before it is answered, so it waits for nothing else.
    state_.txn(std::move(*t), kv::RequestPriority::lease, guarded_([this, members](TxnResult c) {
                   writing_ = false;
                   if (c.status == TxnResult::Status::committed) {
                       record_version_ = c.revision;
                       ours_ = true;
                       confirmed_ = members;
                       attempted_.clear();
                       spdlog::info("standby: {} of {} follow", confirmed_.size(), standbys_.size());
                       write_record();
                       send_all();
                       return hooks_.told();
                   }
                   if (c.not_executed()) return write_later();
                   read_record();
               }));
}
void ReplicationSender::write_later() {
    if (std::exchange(writing_, true)) return;
    timers_.after(settings_.report_s * write_again_reports, guarded_([this] {
                      writing_ = false;
                      write_record();
                  }));
}
void ReplicationSender::read_record() {
    writing_ = true;
    state_.get(keys::standby, kv::RequestPriority::lease, guarded_([this](kv::GetResult f) {
                   writing_ = false;
                   if (f.ok()) {
                       record_version_ = f.entry ? f.entry->version : 0;
                       if (f.entry) try {
                               auto r = protocol::parse_standby_record(f.entry->value);
                               if (r.version == version_) {
                                   ours_ = true;
                                   confirmed_ = r.members;
                                   send_all();
                               }
                           } catch (const protocol::Malformed& x) {
                               spdlog::error("standby: record: {}", x.what());
                           }
                   }
                   write_later();
               }));
}

}  // namespace coralhitch::replication

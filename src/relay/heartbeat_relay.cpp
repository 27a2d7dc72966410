#include "relay/heartbeat_relay.hpp"

#include <algorithm>
#include <utility>

#include "election/election.hpp"

namespace coralhitch::relay {
namespace {
// Ratios to the report period.
constexpr double log_reports = 2;  // between two lines of the log about reports refused
constexpr double idle_reports =
    1.0 / 10;  // a message goes at least so often: revocations and grants come with it
constexpr double retry_reports = 1.0 / 5;  // after one that failed
// A worker waits longer than its controller does for the leader: the answer must still find it waiting.
constexpr double patience_share = 0.5;
constexpr std::size_t most_reports = 96;     // in a message: the leader reads them in one go
constexpr double held_share = 0.75;          // of that patience, while nobody leads
constexpr double hold_ttls = 1.5;            // a failover as a rule takes no longer
constexpr double message_share = 1.0 / 128;  // of the memory: what a message may hold
// Read in full again after so many worker leases, whatever is repeated: what would otherwise hang on one
// mistaken answer for ever is mended.
constexpr double memory_leases = 4;
}  // namespace

HeartbeatRelay::HeartbeatRelay(event_loop::Timers& timers, http::Requester& http,
                               const config::Settings& settings, std::uint64_t incarnation,
                               std::function<Leadership()> lead)
    : timers_(timers),
      http_(http),
      settings_(settings),
      incarnation_(incarnation),
      lead_(std::move(lead)),
      refusals_(timers, settings.report_s * log_reports) {}
HeartbeatRelay::~HeartbeatRelay() = default;

void HeartbeatRelay::start() {
    heed_leader();
    if (link_ != Link::up) refuse_old(held_share);
    if (!waiting_.empty() && !holds() && link_ == Link::down) refuse(waiting_);
    timers_.after(settings_.report_s * idle_reports / 2, guarded_([this] { start(); }));
    if (timers_.now() - last_sent_ >= settings_.report_s * idle_reports) send();
}

// Another leadership: its grants and what it knows of the machines are its own.
void HeartbeatRelay::heed_leader() {
    auto now = lead_();
    if (now == leader_) return;
    if (link_ == Link::up) interrupted();
    leader_ = std::move(now);
    link_ = leader_.addr.empty() ? Link::down : Link::trying;
    granted_until_ = -1;
    reply_cache_.clear();
    heard_.clear();
    // Those that wait have been read by nobody: the next leader may as well take them.
    soon();
}
// The leader has ended, as it seems. Until the next one takes what is sent its workers are kept waiting for
// as long as they do: refused, all of a large fleet called every controller each second, and the next leader
// came up so far behind that it lost its lease.
void HeartbeatRelay::interrupted() {
    up_until_ = timers_.now();
}
bool HeartbeatRelay::holds() const {
    double ttl = settings_.lease_s * settings_.op.lease_ratio;
    return settings_.op.hearing && up_until_ >= 0 && timers_.now() - up_until_ < ttl * hold_ttls;
}
void HeartbeatRelay::refuse_old(double share) {
    while (!waiting_.empty() &&
           timers_.now() - waiting_.front().since > protocol::heartbeat_timeout_s * share) {
        refuse_late(waiting_.front());
        waiting_.pop_front();
    }
}
void HeartbeatRelay::refuse_late(const Waiting& report) {
    refusals_.note(HeartbeatRejection::late);
    ++dropped_;
    report.reply({503, "{}"});
}
std::deque<HeartbeatQueue::Report> HeartbeatRelay::take_waiting() {
    refuse_old(patience_share);
    return std::exchange(waiting_, {});
}
void HeartbeatRelay::put_back(std::deque<Waiting> batch) {
    for (auto w = batch.rbegin(); w != batch.rend(); ++w) waiting_.push_front(std::move(*w));
}
bool HeartbeatRelay::may_answer() const {
    return timers_.now() < granted_until_;
}
void HeartbeatRelay::refuse(std::deque<Waiting>& waiting) {
    for (auto& w : std::exchange(waiting, {})) {
        refusals_.note(HeartbeatRejection::no_leader);
        w.reply({503, "{}"});
    }
}

bool HeartbeatRelay::offer(std::string& body, http::Reply& reply) {
    heed_leader();
    if (link_ == Link::down && !holds()) return false;
    double t = timers_.now();
    if (auto o = protocol::outline_heartbeat(body); o && link_ == Link::up && may_answer()) {
        auto* r = reply_cache_.find(body, *o);
        if (r && t - r->since < settings_.lease_s * memory_leases) {
            r->sequence = o->sequence;
            heard_[std::string(o->machine)] = t;
            ++repeated_;
            reply({200, r->answer});
            return true;
        }
    }
    waiting_.push_back({std::move(body), std::move(reply), t});
    soon();
    return true;
}

void HeartbeatRelay::soon(double gap) {
    if (busy_ || armed_) return;
    armed_ = true;
    double wait = std::max(0.0, last_sent_ + settings_.report_s * gap - timers_.now());
    timers_.after(wait, guarded_([this] {
                      armed_ = false;
                      send();
                  }));
}

void HeartbeatRelay::send() {
    heed_leader();
    if (busy_ || leader_.addr.empty()) return;
    double t = timers_.now();
    if (link_ == Link::down && t - last_sent_ < settings_.report_s * retry_reports) return;
    protocol::PeerRelay m{settings_.label, incarnation_, leader_.version, ++number_, taken_in_, {}, {}};
    std::deque<Waiting> batch;
    auto most_bytes = static_cast<std::size_t>(settings_.memory_mb * 1024 * 1024 * message_share);
    std::size_t bytes = 0;
    while (!waiting_.empty() && batch.size() < most_reports && bytes <= most_bytes) {
        auto w = std::move(waiting_.front());
        waiting_.pop_front();
        if (t - w.since > protocol::heartbeat_timeout_s * patience_share) {
            refuse_late(w);  // nobody waits for it by the time the leader has answered
            continue;
        }
        bytes += w.body.size();
        m.reports.push_back(w.body);
        batch.push_back(std::move(w));
    }
    for (auto& [machine, at] : heard_)
        m.heard.push_back({machine, static_cast<std::uint64_t>(std::max(0.0, t - at) * 1000)});
    heard_.clear();
    relayed_ += batch.size();
    busy_ = true;
    last_sent_ = t;
    auto shared = std::make_shared<std::deque<Waiting>>(std::move(batch));
    http_.send(
        leader_.addr,
        {"POST", std::string(protocol::peer_relay_path), protocol::pack_peer(m), "application/msgpack"},
        protocol::heartbeat_timeout_s * patience_share,
        guarded_([this, number = number_, t, to = leader_, shared](std::optional<http::Response> r) {
            answered(number, t, to, std::move(*shared), r);
        }));
}

void HeartbeatRelay::answered(std::uint64_t number, double sent, const Leadership& to,
                              std::deque<Waiting> batch, const std::optional<http::Response>& r) {
    busy_ = false;
    heed_leader();
    std::optional<protocol::PeerRelayAnswer> a;
    if (r && r->status == 200) a = protocol::unpack_peer<protocol::PeerRelayAnswer>(r->body);
    if (!a || !a->leads || !(to == leader_)) {
        if (link_ == Link::up) interrupted();
        if (to == leader_) link_ = Link::down;
        // It says that it does not lead, or nothing at all: what it may have taken in it has not answered.
        if (holds()) return put_back(std::move(batch));
        if (to == leader_) refuse(waiting_);
        return refuse(batch);
    }
    link_ = Link::up;
    if (!a->ready) {
        // It has only begun to lead: what waits is sent again, as long as its workers wait.
        put_back(std::move(batch));
        if (!waiting_.empty()) soon();
        return;
    }
    for (std::size_t k = 0; k < batch.size() && k < a->answers.size(); ++k)
        keep(std::move(batch[k]), a->answers[k]);
    batch.erase(batch.begin(),
                batch.begin() + static_cast<std::ptrdiff_t>(std::min(batch.size(), a->answers.size())));
    refuse(batch);
    // Recalls before the grant: one without the other would let a machine's lease be renewed for longer than
    // the leader counts on.
    for (auto& machine : a->recalled) reply_cache_.forget(machine);
    taken_in_ = number;
    granted_until_ = sent + static_cast<double>(a->grant_ms) / 1000 * (1 - 2 * election::max_clock_drift);
    // What fills a message already gains nothing by waiting for more: at the rate of one full message in each
    // gap, the only relay of 4,000 machines fell behind when most reports had news.
    if (!waiting_.empty()) soon(waiting_.size() < most_reports ? gap_reports : 0);
}

void HeartbeatRelay::keep(Waiting w, const protocol::PeerRelayed& a) {
    auto o = protocol::outline_heartbeat(w.body);
    if (o && a.status == 200 && a.quiet)
        reply_cache_.put(std::move(w.body), std::string(o->machine), o->sequence, a.body, timers_.now());
    else if (o)
        reply_cache_.forget(o->machine);
    w.reply({a.status, a.body});
}

}  // namespace coralhitch::relay

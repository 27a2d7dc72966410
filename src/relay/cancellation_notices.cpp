#include "relay/cancellation_notices.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace coralhitch::relay {
namespace {
constexpr double repeat_reports = 1.0 / 4;    // of the report period, between two tries
constexpr std::size_t notices_per_mb = 20;    // of the memory that is granted; the oldest make room
constexpr std::size_t most_in_message = 256;  // some 5 KB
}  // namespace

CancellationNotices::CancellationNotices(event_loop::Timers& timers, http::Requester& http,
                                         const config::Settings& settings,
                                         std::function<std::uint64_t()> leadership)
    : timers_(timers), http_(http), settings_(settings), leadership_(std::move(leadership)) {}

void CancellationNotices::confirmed(const std::string& id, std::uint64_t version, std::uint64_t taken_by) {
    send(protocol::pack_peer(protocol::PeerCancelled{id, version}), {id, version, {}});
    if (static_cast<double>(notices_.size() + 1) > settings_.memory_mb * notices_per_mb && !notices_.empty())
        notices_.pop_front();
    notices_.push_back({id, version, taken_by, timers_.now() + settings_.cancel_s});
    repeat_later();
}

// To all: whom this controller takes for the leader may have lost its lease, and the next one is not known
// here yet.
void CancellationNotices::send(const std::string& body, const protocol::PeerCancelledAgain& message) {
    for (auto& peer : settings_.peers)
        http_.send(peer.addr,
                   {"POST", std::string(protocol::peer_cancelled_path), body, "application/msgpack"},
                   settings_.report_s, guarded_([this, message](std::optional<http::Response> r) {
                       if (!r || r->status != 200) return;
                       // One of a version before answers without a word: it is told again.
                       auto a = protocol::unpack_peer<protocol::PeerCancelledAnswer>(r->body);
                       if (a && a->taken_by > 0) taken(message, a->taken_by);
                   }));
}
void CancellationNotices::taken(const protocol::PeerCancelledAgain& message, std::uint64_t by) {
    std::set<std::string> ids{message.id};
    for (auto& m : message.more) ids.insert(m.id);
    for (auto& n : notices_)
        if (ids.contains(n.id)) n.taken_by = std::max(n.taken_by, by);
}

void CancellationNotices::repeat_later() {
    if (std::exchange(armed_, true)) return;
    timers_.after(settings_.report_s * repeat_reports, guarded_([this] {
                      armed_ = false;
                      repeat();
                  }));
}
void CancellationNotices::repeat() {
    while (!notices_.empty() && notices_.front().until < timers_.now()) notices_.pop_front();
    if (notices_.empty()) return;
    auto now_leads = leadership_();
    protocol::PeerCancelledAgain message;
    std::size_t named = 0;
    for (auto& n : notices_) {
        if (n.taken_by > 0 && n.taken_by >= now_leads) continue;
        if (named == most_in_message) break;
        // A controller of the version before reads only the first, and was told of each once.
        if (named++ == 0) {
            message.id = n.id;
            message.version = n.version;
        } else {
            message.more.push_back({n.id, n.version});
        }
    }
    if (named > 0) {
        send(protocol::pack_peer(message), message);
        repeated_ += settings_.peers.size();
    }
    repeat_later();
}

}  // namespace coralhitch::relay

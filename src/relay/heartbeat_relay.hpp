// A controller that does not lead hears workers for the one that does.
//
// A report that repeats the last one of its machine is answered here while the leader's grant lasts. All
// others go to the leader, many in one message, and its answers back to the workers; that needs no grant,
// since the leader itself answers. Without a leader that takes them nothing is taken here.
#pragma once
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "config/settings.hpp"
#include "event_loop/lifetime_guard.hpp"
#include "event_loop/timers.hpp"
#include "http/message.hpp"
#include "protocol/peer_messages.hpp"
#include "relay/heartbeat_queue.hpp"
#include "relay/heartbeat_rejections.hpp"
#include "relay/reply_cache.hpp"

namespace coralhitch::relay {

struct Leadership {
    std::string addr;           // of the leader's peer interface; empty: nobody to hear for
    std::uint64_t version = 0;  // of the leader's key
    bool operator==(const Leadership&) const = default;
};

class HeartbeatRelay {
  public:
    // `lead` tells for whom to hear; it is asked at every report and before every message.
    HeartbeatRelay(event_loop::Timers& timers, http::Requester& http, const config::Settings& settings,
                   std::uint64_t incarnation, std::function<Leadership()> lead);
    ~HeartbeatRelay();
    HeartbeatRelay(const HeartbeatRelay&) = delete;
    HeartbeatRelay& operator=(const HeartbeatRelay&) = delete;

    void start();
    // Takes a report and will answer it, perhaps only once there is a leader again, or leaves both arguments
    // as they are and returns false.
    bool offer(std::string& body, http::Reply& reply);

    // The reports that wait, for when this controller leads itself.
    std::deque<HeartbeatQueue::Report> take_waiting();

    std::uint64_t repeated() const { return repeated_; }   // reports answered here
    std::uint64_t relayed() const { return relayed_; }     // reports that went to the leader
    HeartbeatRejections& refusals() { return refusals_; }  // of this controller, whoever leads
    std::uint64_t dropped() const { return dropped_; }     // reports whose workers had given up waiting

  private:
    using Waiting = HeartbeatQueue::Report;
    // Whether the leader takes what is sent: not known yet, yes, or there is none or it did not the last
    // time.
    enum class Link { trying, up, down };
    void heed_leader();
    bool may_answer() const;
    void refuse(std::deque<Waiting>& waiting);
    void put_back(std::deque<Waiting> batch);
    void interrupted();
    bool holds() const;
    void refuse_old(double share);
    void refuse_late(const Waiting& report);
    // Between two messages, in report periods, so that reports come together.
    static constexpr double gap_reports = 1.0 / 20;
    void soon(double gap = gap_reports);
    void send();
    void answered(std::uint64_t number, double sent, const Leadership& to, std::deque<Waiting> batch,
                  const std::optional<http::Response>& r);
    void keep(Waiting w, const protocol::PeerRelayed& a);

    event_loop::Timers& timers_;
    http::Requester& http_;
    const config::Settings& settings_;
    std::uint64_t incarnation_;
    std::function<Leadership()> lead_;
    HeartbeatRejections refusals_;
    Leadership leader_;
    Link link_ = Link::down;
    double granted_until_ = -1;
    double up_until_ = -1;  // when a leader was last known to take what is sent
    ReplyCache reply_cache_;
    std::deque<Waiting> waiting_;
    std::unordered_map<std::string, double> heard_;  // answered here since the last message, and when
    bool busy_ = false, armed_ = false;
    double last_sent_ = -1;
    std::uint64_t number_ = 0, taken_in_ = 0;
    std::uint64_t repeated_ = 0, relayed_ = 0, dropped_ = 0;
    event_loop::LifetimeGuard guarded_;  // last, so that it goes first
};

}  // namespace coralhitch::relay

// The leader's side of the standby: tells the others what its machines may hold, and knows when a start may
// be sent.
//
// A start is sent once every controller that the stored record names, or may come to name by a write under
// way, has taken in a piece that shows it. One that lags is taken out of the record first, and that
// confirmed. So whoever is named in the record knows each start that can have been sent.
#pragma once
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

#include "config/settings.hpp"
#include "event_loop/lifetime_guard.hpp"
#include "event_loop/timers.hpp"
#include "kv/kv_client.hpp"
#include "protocol/peer_messages.hpp"

namespace coralhitch::replication {

class ReplicationSender {
  public:
    struct Hooks {
        // The machine as it is now; nothing if there is nothing to tell of it yet.
        std::function<std::optional<protocol::PeerMachineRow>(const std::string& machine)> row;
        std::function<std::vector<std::string>()> machines;
        std::function<std::optional<protocol::Txn>()>
            begin;  // under the leader's condition; none without authority
        // What another controller last said of itself, if that is not long ago.
        std::function<const protocol::PeerPing*(const std::string& label)> peer;
        std::function<void()> told;  // `told` may say yes to more
    };
    ReplicationSender(event_loop::Timers& timers, http::Requester& http, const config::Settings& settings,
                      kv::KvClient& state, std::uint64_t version, Hooks hooks);
    ~ReplicationSender();
    ReplicationSender(const ReplicationSender&) = delete;
    ReplicationSender& operator=(const ReplicationSender&) = delete;

    // Once, with the version of the record's key as read after the claim; 0: there is none. `inherited`: the
    // record itself, if this leader's own copy was proof; whom it names goes on from the copy that it has.
    // Called before anything changes in the cluster state.
    void start(std::uint64_t record_version, const std::optional<protocol::StandbyRecord>& inherited);
    // The controller is a process that was started just now.
    void started_anew(const std::string& label, std::uint64_t incarnation);
    void changed(const std::string& machine);
    // What has changed up to now is below this mark.
    std::uint64_t mark() const { return marks_; }
    // Whether starts that changed a machine up to `mark` may be sent.
    bool told(std::uint64_t mark) const;
    void hurry();  // a start waits
    void tick();   // now and then: whoever does not follow yet may begin to
    std::size_t members() const { return confirmed_.size(); }
    std::uint64_t pieces() const { return pieces_; }
    std::uint64_t dropped() const { return dropped_; }

  private:
    using Member = protocol::StandbyRecord::Member;
    struct Standby {
        config::Peer peer;
        bool following = false, busy = false, whole = false;  // whole: it has taken in all machines once
        std::uint64_t incarnation = 0, told = 0, round = 0;
        std::uint64_t begun = 0;  // the leadership that began its copy from nothing
        bool carried = false;     // by an earlier leader, whose copy it goes on from
        bool greet = false;       // it is to be told that it has all
        std::deque<std::pair<std::uint64_t, std::string>> queue;  // by mark
        std::unordered_set<std::string> queued;
        double waiting_since = -1, retry_at = 0, pause = 0, joined = 0;
    };
    void begin(Standby& s);
    bool can_follow(const std::string& label) const;
    void carry(const protocol::StandbyRecord::Member& m);
    void leave(Standby& s, const char* why, bool at_fault = true);
    void soon();
    void send_all();
    void send(Standby& s);
    void answered(Standby& s, std::uint64_t round, std::uint64_t upto, const std::vector<std::string>& ids,
                  const std::optional<http::Response>& r);
    bool counts(const Standby& s) const;
    std::vector<Member> wanted() const;
    void write_record();
    void read_record();
    void write_later();
    double patience(const Standby& s) const;

    event_loop::Timers& timers_;
    http::Requester& http_;
    const config::Settings& settings_;
    kv::KvClient& state_;
    std::uint64_t version_;
    Hooks hooks_;
    std::map<std::string, Standby> standbys_;
    std::uint64_t marks_ = 0, urgent_ = 0, numbers_ = 0, record_version_ = 0;
    bool started_ = false, ours_ = false;  // ours: the record is confirmed to be of this leadership
    bool writing_ = false, armed_ = false;
    std::vector<Member> confirmed_;
    std::set<std::string> attempted_;  // named by writes since the last one that was confirmed
    std::uint64_t pieces_ = 0, dropped_ = 0;
    event_loop::LifetimeGuard guarded_;  // last, so that it goes first
};

}  // namespace coralhitch::replication

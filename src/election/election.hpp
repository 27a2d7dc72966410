// Leadership: a key under a lease. The version of that key is the fencing token of everything the leader
// does.
#pragma once
#include <random>

#include "kv/kv_client.hpp"

namespace coralhitch::election {

// Steady clocks of two machines drift apart by up to 0.05%; twice that, on top of whatever is judged by time.
inline constexpr double drift = 0.001;

class Election {
  public:
    struct Events {
        std::function<void(std::uint64_t version)> won;
        std::function<void()> lost;
        // Whether another controller should lead rather than this one, as far as is known; may be empty.
        std::function<bool()> defers = {};
    };
    Election(event_loop::Timers& timers, kv::KvClient& state, const config::Settings& settings,
             std::uint64_t incarnation, std::uint64_t seed);
    void start(Events events);

    bool holding() const { return role_ == Role::leading; }
    // Whether acts are allowed right now. Asked at every act: a timer may fire late.
    bool authority() const { return holding() && timers_.now() < authority_until_; }
    double authority_until() const { return authority_until_; }
    std::uint64_t version() const { return version_; }  // of the held key
    double ttl() const { return ttl_; }

    // The leaderships that this controller has seen one after the other, none left out as long as its watch
    // went on, and until which revision: what came after that, it must ask before it relies on it.
    struct Link {
        std::uint64_t version = 0;
        bool keeps_record = false;  // see protocol::LeaderRecord
    };
    struct Chain {
        std::vector<Link> links;
        std::uint64_t known_until = 0;
    };
    const Chain& chain() const { return chain_before_; }  // as of the claim, own leadership left out

    const std::string& leader() const { return leader_; }  // label, empty if unknown
    std::uint64_t leader_version() const { return leader_version_; }
    void peer_says(const std::string& leader, std::uint64_t version);

    // Gives leadership up and stays out of elections for a while.
    void resign(double pause_s);
    void deposed(std::uint64_t version);  // proof of a later leadership, by its version

  private:
    enum class Role { following, campaigning, leading };
    void look();
    void vacant();
    void follow(std::uint64_t revision);
    void follow_late();
    void campaign();
    void claim(kv::LeaseResult lease);
    void check_claim(kv::LeaseResult lease);
    void win(std::uint64_t version, kv::LeaseResult lease);
    void renew();
    void lose();
    void retry_look();
    void saw(const protocol::Entry& e);
    double usable(double sent) const;
    void link(std::uint64_t version, bool keeps_record);

    event_loop::Timers& timers_;
    kv::KvClient& state_;
    const config::Settings& settings_;
    std::uint64_t incarnation_;
    std::minstd_rand random_;
    Events events_;
    Role role_ = Role::following;
    double ttl_, authority_until_ = 0, paused_until_ = 0;
    double vacant_since_ = -1;  // when the key was first found missing
    std::uint64_t version_ = 0, lease_ = 0, round_ = 0;
    std::string leader_;
    std::uint64_t leader_version_ = 0;
    Chain chain_, chain_before_;
};

}  // namespace coralhitch::election

// The newest report of each machine that came to this controller while another one led: what it says, in its
// pings, of whom it hears. Copies of a report come late, from seconds to well over a lease, after any number
// of newer ones; they must not pass for hearing, or a leader that is well gives way, and a dead machine lives
// on.
#pragma once
#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace coralhitch::relay {

class HeartbeatTracker {
  public:
    // Seconds: in which a machine counts as heard, and for which it is remembered what was heard.
    HeartbeatTracker(double lately_s, double kept_s) : lately_s_(lately_s), kept_s_(kept_s) {}

    void note(std::string_view machine, std::uint64_t agent_epoch, std::uint64_t sequence, double now) {
        auto& h = heard_[std::string(machine)];
        if (std::pair(agent_epoch, sequence) <= std::pair(h.agent_epoch, h.sequence)) return;
        h = {now, now, agent_epoch, sequence};
    }
    bool since(const std::string& machine, double at) const {
        auto it = heard_.find(machine);
        return it != heard_.end() && it->second.at >= at;
    }
    std::size_t lately(double now) const {
        auto n = std::count_if(heard_.begin(), heard_.end(), [&](auto& h) { return fresh(h.second, now); });
        return static_cast<std::size_t>(n);
    }
    template <class F>
    void each_lately(double now, F f) const {  // f(machine, seconds ago)
        for (auto& [machine, h] : heard_)
            if (fresh(h, now)) f(machine, now - h.at);
    }
    // Before this controller leads: it hears otherwise then. What is newest stays known.
    void none_lately() {
        for (auto& [machine, h] : heard_) h.at = never;
    }
    void tidy(double now) {
        std::erase_if(heard_, [&](auto& h) { return now - h.second.noted > kept_s_; });
    }

  private:
    static constexpr double never = -1;
    struct Report {
        double at = never, noted = never;
        std::uint64_t agent_epoch = 0, sequence = 0;
    };
    bool fresh(const Report& r, double now) const { return r.at > never && now - r.at <= lately_s_; }
    double lately_s_, kept_s_;
    std::unordered_map<std::string, Report> heard_;
};

}  // namespace coralhitch::relay

// How many tasks of a job are done and running, for status queries on any controller.
//
// The leader counts them. On other controllers the counts come with the leader's pings: asking it for each
// query took it more time than planning. Only without recent ones is the leader asked.
// May touch: the leading peer (one query at a time for each call).
#pragma once
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "api/user_api.hpp"
#include "config/settings.hpp"
#include "controller/local_leader.hpp"
#include "controller/peer_monitor.hpp"
#include "event_loop/timers.hpp"
#include "http/message.hpp"
#include "protocol/peer_messages.hpp"

namespace coralhitch::controller {

class TaskCountService {
  public:
    using Done = std::function<void(std::optional<api::TaskCounts>)>;  // nothing: not known now

    TaskCountService(const event_loop::Timers& timers, http::Requester& http,
                     const config::Settings& settings, const LocalLeader& leader, const PeerMonitor& peers)
        : timers_(timers), http_(http), settings_(settings), leader_(leader), peers_(peers) {}

    // All live jobs' counts, as the leader says them now.
    void set_all(const std::vector<protocol::PeerTaskCounts>& counts);
    // Calls `done` at once or when the leader has answered.
    void query(const std::string& job, Done done) const;
    // The answer to another controller's query; unknown if this controller does not lead.
    [[nodiscard]] protocol::PeerJobCounts answer_peer(const protocol::PeerJobQuery& query) const;

  private:
    [[nodiscard]] bool is_recent() const;
    void ask_leader(const std::string& job, Done done) const;

    const event_loop::Timers& timers_;
    http::Requester& http_;
    const config::Settings& settings_;
    const LocalLeader& leader_;
    const PeerMonitor& peers_;
    std::unordered_map<std::string, api::TaskCounts> counts_;  // by job
    std::optional<double> received_at_;                        // steady seconds
};

}  // namespace coralhitch::controller

// Provides the numbers of done and running tasks of a job, for status queries on any controller.
//
// The leader counts the tasks. The other controllers receive the counts with the leader's pings, and query
// the leader only while they have no recent counts. When they queried it for each status query, the answers
// took the leader more time than planning.
//
// Side effects: sends queries to the leading peer, at most one for each call.
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

// A source of jobs' task counts, on the leader and on other controllers. Not thread safe.
class TaskCountService {
  public:
    // A callback that receives the counts, or nullopt if they cannot be determined now.
    using Done = std::function<void(std::optional<api::TaskCounts>)>;

    TaskCountService(const event_loop::Timers& timers, http::Requester& http,
                     const config::Settings& settings, const LocalLeader& leader, const PeerMonitor& peers)
        : timers_(timers), http_(http), settings_(settings), leader_(leader), peers_(peers) {}

    // Replaces the stored counts by `counts`, which the leader has just sent for all live jobs.
    void set_all(const std::vector<protocol::PeerTaskCounts>& counts);
    // Passes the counts of `job` to `done`, before returning or when the leader has answered.
    void query(const std::string& job, const Done& done) const;
    // Returns the answer to another controller's query; `known` is false if this controller does not lead or
    // its leader does not know the counts.
    [[nodiscard]] protocol::PeerJobCounts answer_peer(const protocol::PeerJobQuery& query) const;

  private:
    [[nodiscard]] bool is_recent() const;
    void ask_leader(const std::string& job, const Done& done) const;

    const event_loop::Timers& timers_;
    http::Requester& http_;
    const config::Settings& settings_;
    const LocalLeader& leader_;
    const PeerMonitor& peers_;
    std::unordered_map<std::string, api::TaskCounts> counts_;  // by job
    std::optional<double> received_at_;                        // seconds of the steady clock
};

}  // namespace coralhitch::controller

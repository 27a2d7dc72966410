// One task on one machine, from the decision to start it until it is proven terminated, and after that for as
// long as its agent reports it as exited. Plain values; times are steady seconds of the leader's clock.
#pragma once
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <tuple>

#include "protocol/model.hpp"
#include "protocol/numbers.hpp"

namespace coralhitch::cluster {

using JobSpec = std::shared_ptr<const protocol::Job>;
// The spec of a job by its id; null if no such job is known (any more).
using JobLookup = std::function<JobSpec(const std::string& job)>;

// How far the `run` commands for one attempt have got, as far as the leader can know.
struct RunDelivery {
    protocol::FencingToken highest_token;         // that a `run` was sent under; none: none was sent
    protocol::FencingToken unacknowledged_token;  // highest token of a direct `run` that got no answer
    protocol::SequenceNumber reply_sequence;      // the heartbeat whose reply carried the last `run`
    int direct_in_flight = 0;                     // direct `run`s that are neither answered nor timed out
};

struct Instance {
    JobSpec spec;  // null: of an unknown job; it is stopped, and its machine gets nothing new
    protocol::AttemptNumber attempt;
    protocol::TaskState state = protocol::TaskState::fetching;  // as last reported by the agent
    bool ever_reported = false;                                 // by the agent, or known from the replica
    bool in_last_heartbeat = false;                             // the agent's newest report contains it
    // False: only a heartbeat from before this leader began contained it. It takes up its resources, and is
    // stopped if it must not run, but is no evidence of where the task is.
    bool confirmed = true;
    bool machine_stored = true;  // its machine is in the key-value store, so `run` may be sent
    bool replicated = true;      // and so may it, since the other controllers know of this start
    bool stop_requested = false;
    bool image_counted = false;  // its image is in the machine's image cache
    bool orphaned = false;       // a second instance of a task: never wanted, still takes up resources
    double grace_s = 0;          // of the requested stop
    // Of a task that must be terminated: until then its machine's lease may be renewed though it is not known
    // whether a `run` has reached it.
    double lease_renewal_deadline = std::numeric_limits<double>::infinity();
    double placed_at = 0;
    std::optional<double> running_since;  // first heartbeat that reported it past fetching and waiting
    std::optional<double> stop_sent_at;   // of the present request
    RunDelivery run;
};

// One attempt to run a task.
struct AttemptId {
    protocol::TaskId task;
    protocol::AttemptNumber attempt;
    bool operator<(const AttemptId& other) const {
        return std::tie(task, attempt) < std::tie(other.task, other.attempt);
    }
};

// An attempt that has exited and that the agent still reports.
struct ExitedAttempt {
    RunDelivery run;
    bool outcome_stored = false;  // what it means for the job is stored, so the agent may forget it
};

}  // namespace coralhitch::cluster

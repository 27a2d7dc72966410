// An instance is one task on one machine. It is on record from the decision to start it until there is
// evidence that it has terminated. After that, its attempt is on record as exited for as long as the agent
// reports it. Plain values; times are seconds of the leader's steady clock.
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

// Specification of a job, as submitted.
using JobSpec = std::shared_ptr<const protocol::Job>;
// Returns the spec of the job with this id, or null if the job is unknown, for example because it has ended.
using JobLookup = std::function<JobSpec(const std::string& job)>;

// What the leader knows about the delivery of the `run` commands for one attempt.
struct RunDelivery {
    protocol::FencingToken highest_token;         // highest token of any `run` sent; unset: none was sent
    protocol::FencingToken unacknowledged_token;  // highest token of a direct `run` that got no answer
    protocol::SequenceNumber reply_sequence;      // of the heartbeat whose reply carried the last `run`
    int direct_in_flight = 0;                     // direct `run` commands neither answered nor timed out
};

// One task on one machine.
struct Instance {
    // Null if the job is unknown. Such an instance is stopped, and nothing new is placed on its machine.
    JobSpec spec;
    protocol::AttemptNumber attempt;
    protocol::TaskState state = protocol::TaskState::fetching;  // as last reported by the agent
    bool ever_reported = false;                                 // by the agent, or known from the replica
    bool in_last_heartbeat = false;  // the agent's newest heartbeat shows the instance
    // False if the instance was shown only by heartbeats from before this leadership. It holds its resources,
    // and is stopped if it must not run, but it is not relied on as evidence of where the task runs.
    bool confirmed = true;
    bool machine_stored = true;  // the machine is in the key-value store; a `run` may not be sent before
    bool replicated = true;      // the followers know of this start; a direct `run` may not be sent before
    bool stop_requested = false;
    bool image_counted = false;  // the image was recorded in the machine's image cache
    // A second instance of a task that is also on another machine. It is stopped, and holds its resources
    // until it has terminated.
    bool orphaned = false;
    double grace_s = 0;  // of the requested stop
    // Deadline of a cancellation. Until this time the machine's lease may be renewed although a `run` for the
    // instance may still arrive there; see `may_renew_lease`.
    double lease_renewal_deadline = std::numeric_limits<double>::infinity();
    double placed_at = 0;
    std::optional<double> running_since;  // first heartbeat that showed it past `fetching` and `waiting`
    std::optional<double> stop_sent_at;   // when a `stop` was first sent for the current request
    RunDelivery run;
};

// Identifies one attempt to run a task.
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
    bool outcome_stored = false;  // its effect on the job is stored, so the agent may forget it
};

}  // namespace coralhitch::cluster

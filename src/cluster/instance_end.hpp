// The end of an instance: there is evidence that the task has terminated on that machine.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "cluster/machine.hpp"
#include "protocol/model.hpp"
#include "protocol/numbers.hpp"

namespace coralhitch::cluster {

// An instance that has terminated, and how.
struct InstanceEnd {
    std::string machine;
    protocol::TaskId task;
    protocol::AttemptNumber attempt;
    // True if the agent reported the exit. Otherwise the evidence is the deletion of the machine, the expiry
    // of its lease, a new agent epoch, or a heartbeat without the task while every `run` for it is fenced.
    bool reported = false;
    bool orphaned = false;  // see Instance::orphaned
    protocol::ExitCause cause = protocol::ExitCause::none;
    bool saved = false;    // the task had stored a checkpoint when it exited
    bool started = false;  // the task had its image and was past `waiting`
};

// Returns the end of an instance whose exit the agent did not report.
InstanceEnd unreported_end(const Machine& machine, const protocol::TaskId& task, const Instance& instance);

// Removes all instances and exited attempts from the machine, and returns the ends of the instances. The
// caller must have evidence that they have terminated. An instance that was never confirmed is removed
// without an end, because no decision relied on it.
std::vector<InstanceEnd> terminate_all(Machine& machine);

}  // namespace coralhitch::cluster

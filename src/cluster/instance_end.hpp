// An instance that is proven terminated.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "cluster/machine.hpp"
#include "protocol/model.hpp"
#include "protocol/numbers.hpp"

namespace coralhitch::cluster {

struct InstanceEnd {
    std::string machine;
    protocol::TaskId task;
    protocol::AttemptNumber attempt;
    // The agent reported the exit. False: the machine, the agent epoch or the command is proven terminated.
    bool reported = false;
    bool orphaned = false;  // see Instance
    protocol::ExitCause cause = protocol::ExitCause::none;
    bool saved = false;    // it had stored a checkpoint when it exited
    bool started = false;  // it had its image
};

// The end of an instance that its agent did not report itself.
InstanceEnd unreported_end(const Machine& machine, const protocol::TaskId& task, const Instance& instance);

// Takes all instances from the machine. The caller names the proof. An instance that was never confirmed is
// dropped without an end: nobody has relied on it.
std::vector<InstanceEnd> terminate_all(Machine& machine);

}  // namespace coralhitch::cluster

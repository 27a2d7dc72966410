// What evicting a machine, or waiting for one that is dead, costs.
#pragma once

namespace coralhitch::membership {

// Who pays if the machine is dead and it is waited for. Decides for how long it is.
enum class EvictionCost {
    none,         // nobody: no task is on it
    own_work,     // tasks that run and checkpoint by themselves: evicted, they lose as much again
    others_wait,  // users of replicas, the other tasks of a gang, or a task that has not started
};

}  // namespace coralhitch::membership

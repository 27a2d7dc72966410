// The cost of evicting a machine, or of waiting for a dead one.
#pragma once

namespace coralhitch::membership {

// The kind of tasks on a machine. It decides for how long the leader waits for a silent machine.
enum class EvictionCost {
    none,  // no task is on the machine
    // Only running tasks that are independent and checkpoint. An eviction costs them as much work as the
    // wait does.
    own_work,
    // Something waits for the machine's tasks: users of a service's replicas, the other tasks of a gang, or
    // the user of a task that has not started.
    others_wait,
};

}  // namespace coralhitch::membership

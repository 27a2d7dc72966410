#include "cluster/instance_end.hpp"

namespace coralhitch::cluster {

InstanceEnd unreported_end(const Machine& machine, const protocol::TaskId& task, const Instance& instance) {
    return {.machine = machine.id,
            .task = task,
            .attempt = instance.attempt,
            .reported = false,
            .orphaned = instance.orphaned,
            .cause = protocol::ExitCause::none,
            .saved = false,
            .started = instance.running_since.has_value()};
}

std::vector<InstanceEnd> terminate_all(Machine& machine) {
    std::vector<InstanceEnd> ends;
    for (auto& [task, instance] : machine.tasks)
        if (instance.confirmed) ends.push_back(unreported_end(machine, task, instance));
    machine.tasks.clear();
    machine.exited_attempts.clear();
    return ends;
}

}  // namespace coralhitch::cluster

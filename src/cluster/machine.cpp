#include "cluster/machine.hpp"

#include <algorithm>

namespace coralhitch::cluster {

protocol::Resources Machine::free() const {
    protocol::Resources left = total;
    for (auto& [task, instance] : tasks)
        if (instance.spec) left -= instance.spec->request;
    return left;
}

bool Machine::has_instance_of_unknown_job() const {
    return std::any_of(tasks.begin(), tasks.end(), [](auto& entry) { return !entry.second.spec; });
}

bool Machine::has_reported_instances() const {
    return std::any_of(tasks.begin(), tasks.end(), [](auto& entry) { return entry.second.ever_reported; });
}

}  // namespace coralhitch::cluster

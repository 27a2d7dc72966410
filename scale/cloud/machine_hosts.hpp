// Interface through which the simulated cloud starts and ends its machines.
#pragma once
#include <functional>
#include <string>
#include <vector>

#include "protocol/model.hpp"

namespace coralhitch::scale {

// Starts and ends the hollow workers that simulate the cloud's machines.
class MachineHosts {
  public:
    virtual ~MachineHosts() = default;
    // Starts the worker of a machine that has booted.
    virtual void boot(const protocol::Host& host) = 0;
    // Removes the machines. Calls `done` once the machines and the tasks on them no longer exist.
    virtual void remove(const std::vector<std::string>& ids, std::function<void()> done) = 0;
    // Simulates the failure of the machines: from now on they answer nothing and run nothing.
    virtual void silence(const std::vector<std::string>& ids) = 0;
};

}  // namespace coralhitch::scale

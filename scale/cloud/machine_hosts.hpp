// Where the cloud's machines are.
#pragma once
#include <functional>
#include <string>
#include <vector>

#include "protocol/model.hpp"

namespace coralhitch::scale {

// The hollow workers, as the cloud sees them.
class MachineHosts {
  public:
    virtual ~MachineHosts() = default;
    virtual void boot(const protocol::Host& host) = 0;
    // `done` once the machines and all on them are gone.
    virtual void remove(const std::vector<std::string>& ids, std::function<void()> done) = 0;
    // They give no answer any more, and run nothing.
    virtual void silence(const std::vector<std::string>& ids) = 0;
};

}  // namespace coralhitch::scale

// Machine types, and the pools that group the machines.
#pragma once
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "protocol/model.hpp"

namespace coralhitch::cluster {

// The known machine types, and one pool for each combination of type, zone, and spot or on-demand. Pools are
// never removed.
class MachinePools {
  public:
    // Adds or replaces types by name, and adds the spot and on-demand pools for each zone of each type.
    void set_types(const std::vector<protocol::MachineType>& types);
    // Returns the index of a pool, and adds the pool if it does not exist. Indexes stay valid.
    std::size_t find_or_add(const std::string& type, const std::string& zone, bool spot);
    const std::vector<protocol::Pool>& pools() const { return pools_; }
    std::size_t zone_count() const { return zones_.size(); }
    // Returns the size of the image cache of machines of this type, or the largest double if the type is
    // unknown or does not state a size.
    double cache_gb(const std::string& type) const;

  private:
    void apply_type(protocol::Pool& pool) const;
    std::map<std::string, protocol::MachineType> types_;
    std::vector<protocol::Pool> pools_;
    std::vector<std::string> zones_;
};

}  // namespace coralhitch::cluster

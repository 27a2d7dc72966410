// Machine types, and the pools that machines are grouped in: one for each type, zone and spot or not.
#pragma once
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "protocol/model.hpp"

namespace coralhitch::cluster {

class MachinePools {
  public:
    // Adds or replaces types by name, and adds a pool for each zone of each.
    void set_types(const std::vector<protocol::MachineType>& types);
    // The pool's index; the pool is added if there is none. Indexes stay valid.
    std::size_t find_or_add(const std::string& type, const std::string& zone, bool spot);
    const std::vector<protocol::Pool>& pools() const { return pools_; }
    std::size_t zone_count() const { return zones_.size(); }
    // Image cache of machines of this type; the largest double if the type is unknown or gives none.
    double cache_gb(const std::string& type) const;

  private:
    void apply_type(protocol::Pool& pool) const;
    std::map<std::string, protocol::MachineType> types_;
    std::vector<protocol::Pool> pools_;
    std::vector<std::string> zones_;
};

}  // namespace coralhitch::cluster

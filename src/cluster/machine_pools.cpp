#include "cluster/machine_pools.hpp"

#include <algorithm>
#include <limits>

namespace coralhitch::cluster {

void MachinePools::set_types(const std::vector<protocol::MachineType>& types) {
    for (auto& type : types) types_[type.name] = type;
    for (auto& pool : pools_) apply_type(pool);
    for (auto& type : types)
        for (auto& zone : type.zones)
            for (bool spot : {false, true}) find_or_add(type.name, zone, spot);
}

void MachinePools::apply_type(protocol::Pool& pool) const {
    auto it = types_.find(pool.type);
    if (it == types_.end()) return;
    pool.total = it->second.capacity;
    pool.fetch_gb_per_s = it->second.fetch_gb_per_s;
}

std::size_t MachinePools::find_or_add(const std::string& type, const std::string& zone, bool spot) {
    for (std::size_t index = 0; index < pools_.size(); ++index)
        if (pools_[index].spot == spot && pools_[index].zone == zone && pools_[index].type == type)
            return index;
    auto it = std::find(zones_.begin(), zones_.end(), zone);
    auto zone_index = static_cast<std::size_t>(it - zones_.begin());
    if (it == zones_.end()) zones_.push_back(zone);
    pools_.push_back({type, zone, spot, zone_index, {}, 0});
    apply_type(pools_.back());
    return pools_.size() - 1;
}

double MachinePools::cache_gb(const std::string& type) const {
    auto it = types_.find(type);
    return it == types_.end() || it->second.cache_gb <= 0 ? std::numeric_limits<double>::max()
                                                          : it->second.cache_gb;
}

}  // namespace coralhitch::cluster

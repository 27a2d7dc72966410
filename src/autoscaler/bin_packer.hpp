// Packs unplaced demand onto machines that exist or boot, and onto new ones where these don't suffice (first
// fit).
//
// Owns the bins: a copy of what is free on each machine, and the machines to create. Refers to the input and
// the settings; used by one thread, for one plan.
#pragma once
#include <cstddef>
#include <optional>
#include <vector>

#include "autoscaler/autoscaler.hpp"
#include "protocol/model.hpp"

namespace coralhitch::autoscaler {

// A machine that exists, or one that would be created.
struct Bin {
    std::size_t pool = 0;
    protocol::Resources free;
    const MachineView* machine = nullptr;  // null: would be created
};

// In which zones a machine may be created.
enum class ZoneState { reachable, unreachable };

class BinPacker {
  public:
    BinPacker(const Input& input, const config::Settings& settings);

    // Takes what the tasks need from the bins, and opens bins for those that don't fit; tasks for which no
    // bin can be opened are left out.
    void pack(const UnplacedDemand& demand);
    // Adds a machine to create for the job: the cheapest per task that it holds, then that in the zone with
    // the fewest machines. False: no such machine may be created.
    bool open_bin(const protocol::Job& job, const scheduler::PoolSet& pools, ZoneState zones);

    // Machines that can be counted on, and those to create in their zones.
    [[nodiscard]] const std::vector<Bin>& bins() const { return bins_; }
    // The machines to create, by pool.
    [[nodiscard]] std::vector<ScaleOutRequest> machines_to_create() const;
    [[nodiscard]] double free_share(const Bin& bin) const;
    // The type of a pool's machines; null if none can be created there.
    [[nodiscard]] const protocol::MachineType* type_of(std::size_t pool) const { return types_[pool]; }
    // Suspected machines of reachable zones, and what was free on them, in machines. Nothing that waits is
    // counted on them, but no spare machine is created in their place: most send their next heartbeat.
    [[nodiscard]] std::size_t suspected_machines() const { return suspected_machines_; }
    [[nodiscard]] double suspected_spare() const { return suspected_spare_; }

  private:
    [[nodiscard]] const scheduler::Pool& pool(std::size_t index) const { return input_.pools[index]; }
    [[nodiscard]] bool is_in_unreachable_zone(std::size_t pool_index) const;
    [[nodiscard]] bool has_reached_limit() const;
    void add_machine(const MachineView& machine);
    [[nodiscard]] bool may_create(const protocol::Job& job, std::size_t pool_index, ZoneState zones) const;
    [[nodiscard]] double cost_per_task(const protocol::Job& job, std::size_t pool_index) const;
    // The first bin from `next` on with enough free resources, or a new one; moves `next` on to it.
    [[nodiscard]] Bin* find_or_open(const protocol::Job& job, const scheduler::PoolSet& pools,
                                    ZoneState zones, std::size_t& next);
    [[nodiscard]] std::vector<Bin>& bins_of(ZoneState zones);

    const Input& input_;
    const config::Settings& settings_;
    std::vector<Bin> bins_;
    std::vector<Bin> last_resort_bins_;  // of unreachable zones, and suspected ones
    std::vector<int> machines_per_zone_;
    std::vector<const protocol::MachineType*> types_;  // by pool
    std::size_t suspected_machines_ = 0;
    double suspected_spare_ = 0;
};

}  // namespace coralhitch::autoscaler

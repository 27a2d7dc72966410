// First-fit bin packing of unplaced demand onto existing and booting machines, and onto machines to create
// where these do not suffice.
#pragma once
#include <cstddef>
#include <optional>
#include <vector>

#include "autoscaler/autoscaler.hpp"
#include "protocol/model.hpp"

namespace coralhitch::autoscaler {

// An existing machine, or a machine to create.
struct Bin {
    std::size_t pool = 0;
    protocol::Resources free;              // resources that remain after the demand packed so far
    const MachineView* machine = nullptr;  // null for a machine to create
};

// Reachability of a zone: whether heartbeats of its machines arrive.
enum class ZoneState { reachable, unreachable };

// Packs the demand of one plan.
//
// Owns the bins: a copy of the free resources of each machine, and the machines to create. Refers to the
// input and the settings, which must outlive it. Used by one thread.
class BinPacker {
  public:
    BinPacker(const Input& input, const config::Settings& settings);

    // Takes the resources for the tasks from the bins, and opens bins for tasks that do not fit. Stops at the
    // first task for which no bin can be opened; it and the remaining tasks of this demand are not packed.
    void pack(const UnplacedDemand& demand);
    // Adds a machine to create for the job, in one of `pools` and in a zone of the given state. Chooses the
    // machine with the lowest price per task of the job, and among equal ones that in the zone with the
    // fewest machines. Returns false if no such machine may be created.
    bool open_bin(const protocol::Job& job, const scheduler::PoolSet& pools, ZoneState zones);

    // Returns the machines of reachable zones that are not suspected, and the machines to create in these
    // zones.
    [[nodiscard]] const std::vector<Bin>& bins() const { return bins_; }
    // Returns the number of machines to create, by pool.
    [[nodiscard]] std::vector<ScaleOutRequest> machines_to_create() const;
    // Returns the share of the bin's machine that tasks of any shape can still use, from 0 to 1.
    [[nodiscard]] double free_share(const Bin& bin) const;
    // Returns the type of a pool's machines, or null if no machine can be created in the pool.
    [[nodiscard]] const protocol::MachineType* type_of(std::size_t pool) const { return types_[pool]; }
    // Number of suspected machines in reachable zones, and their free resources, in machines. Unplaced demand
    // is packed on them only as a last resort, but no spare machine is created to replace them, since most of
    // them send their next heartbeat.
    [[nodiscard]] std::size_t suspected_machines() const { return suspected_machines_; }
    [[nodiscard]] double suspected_spare() const { return suspected_spare_; }

  private:
    [[nodiscard]] const scheduler::Pool& pool(std::size_t index) const { return input_.pools[index]; }
    [[nodiscard]] bool is_in_unreachable_zone(std::size_t pool_index) const;
    [[nodiscard]] bool has_reached_limit() const;
    void add_machine(const MachineView& machine);
    [[nodiscard]] bool may_create(const protocol::Job& job, std::size_t pool_index, ZoneState zones) const;
    [[nodiscard]] double cost_per_task(const protocol::Job& job, std::size_t pool_index) const;
    // Returns the first bin at or after the index `next` with enough free resources, or a new bin, or null if
    // none can be opened. Sets `next` to the index of the bin returned.
    [[nodiscard]] Bin* find_or_open(const protocol::Job& job, const scheduler::PoolSet& pools,
                                    ZoneState zones, std::size_t& next);
    [[nodiscard]] std::vector<Bin>& bins_of(ZoneState zones);

    const Input& input_;
    const config::Settings& settings_;
    std::vector<Bin> bins_;
    std::vector<Bin> last_resort_bins_;   // machines of unreachable zones, and suspected machines
    std::vector<int> machines_per_zone_;  // by zone index
    std::vector<const protocol::MachineType*> types_;  // by pool index; null if none can be created there
    std::size_t suspected_machines_ = 0;
    double suspected_spare_ = 0;
};

}  // namespace coralhitch::autoscaler

#include "autoscaler/autoscaler.hpp"

#include <algorithm>
#include <tuple>

#include "autoscaler/bin_packer.hpp"

namespace coralhitch::autoscaler {
namespace {

// A machine of which a smaller share than this is in use counts as unused.
constexpr double rounding_tolerance = 1e-9;

// Makes one plan. Spare capacity is what remains free, in machines, once all demand is packed.
class FleetPlanner {
  public:
    FleetPlanner(const Input& input, const config::Settings& settings)
        : input_(input), settings_(settings), packer_(input, settings) {}

    Decisions run() {
        for (auto& demand : input_.demand) packer_.pack(demand);
        spare_machines_ = packer_.suspected_spare();
        for (auto& bin : packer_.bins()) spare_machines_ += packer_.free_share(bin);
        add_reserve();
        Decisions decisions;
        decisions.scale_out = packer_.machines_to_create();
        if (!decisions.scale_out.empty()) return decisions;
        drain(decisions);
        scale_in(decisions);
        return decisions;
    }

  private:
    // Returns the spare capacity that there should be, in machines.
    [[nodiscard]] double target_spare_machines() const {
        double used =
            static_cast<double>(packer_.bins().size() + packer_.suspected_machines()) - spare_machines_;
        if (used <= 0) return 0;
        return std::max({1.0, used * settings_.op.reserve_ratio, guaranteed_machines() - used});
    }
    [[nodiscard]] double surplus_machines() const { return spare_machines_ - target_spare_machines(); }

    // Returns the sum of all teams' guaranteed quotas, in machines of the largest type. This capacity exists
    // as soon as any machine is in use, so that no team has to wait for what it is guaranteed.
    [[nodiscard]] double guaranteed_machines() const {
        protocol::Resources guaranteed;
        protocol::Resources largest;
        for (auto& team : settings_.teams) guaranteed += {team.cpus, team.gpus, 0};
        for (auto& type : input_.types) {
            largest.cpus = std::max(largest.cpus, type.capacity.cpus);
            largest.gpus = std::max(largest.gpus, type.capacity.gpus);
        }
        double by_cpus = largest.cpus > 0 ? guaranteed.cpus / largest.cpus : 0;
        double by_gpus = largest.gpus > 0 ? guaranteed.gpus / largest.gpus : 0;
        return std::max(by_cpus, by_gpus);
    }

    // Adds machines to create until the spare capacity reaches its target. Prefers on-demand machines, which
    // any job may use. If none can be created, adds spot machines, which take load off the others.
    void add_reserve() {
        protocol::Job any_job;
        auto on_demand = scheduler::allowed_pools(any_job, {}, input_.pools);
        any_job.spot = true;
        auto all = scheduler::allowed_pools(any_job, {}, input_.pools);
        while (!input_.types.empty() && surplus_machines() < 0) {
            if (!packer_.open_bin(any_job, on_demand, ZoneState::reachable) &&
                !packer_.open_bin(any_job, all, ZoneState::reachable))
                return;
            spare_machines_ += 1;
        }
    }

    // Chooses the surplus machines that are to become empty, those with the fewest tasks first, and never a
    // machine that holds a service. The scheduler leaves them out of its random draws as long as other
    // machines have enough free resources. Otherwise the two random choices would spread tasks over all
    // machines, and none would ever become empty.
    void drain(Decisions& decisions) const {
        std::vector<const Bin*> candidates;
        for (auto& bin : packer_.bins())
            if (bin.machine && !bin.machine->booting && bin.machine->services == 0)
                candidates.push_back(&bin);
        auto key = [&](const Bin* bin) {
            return std::tuple(bin->machine->tasks, !bin->machine->draining, input_.pools[bin->pool].spot);
        };
        std::sort(candidates.begin(), candidates.end(),
                  [&](auto* bin, auto* other) { return key(bin) < key(other); });
        double remaining_surplus = surplus_machines();
        for (auto* bin : candidates) {
            if (remaining_surplus < 1) return;
            decisions.drain.insert(bin->machine->id);
            remaining_surplus -= 1;
        }
    }

    // Returns whether the machine has been empty for long enough and no demand was packed onto it. A machine
    // that is slow to boot is deleted like an idle one: some take several times as long as others.
    [[nodiscard]] bool is_idle(const Bin& bin) const {
        if (!bin.machine || !bin.machine->empty) return false;
        auto* type = packer_.type_of(bin.pool);
        double boot_s = type ? type->boot_s : 0;
        bool is_unused = packer_.free_share(bin) > 1 - rounding_tolerance;
        return is_unused && bin.machine->idle_s > boot_s * settings_.op.idle_boots;
    }

    void scale_in(Decisions& decisions) const {
        std::vector<const Bin*> idle;
        for (auto& bin : packer_.bins())
            if (is_idle(bin)) idle.push_back(&bin);
        auto key = [](const Bin* bin) { return std::tuple(bin->machine->booting, bin->machine->idle_s); };
        std::sort(idle.begin(), idle.end(), [&](auto* bin, auto* other) { return key(bin) > key(other); });
        double remaining_surplus = surplus_machines();
        for (auto* bin : idle) {
            if (remaining_surplus < 1) return;
            decisions.scale_in.push_back(bin->machine->id);
            remaining_surplus -= 1;
        }
    }

    const Input& input_;
    const config::Settings& settings_;
    BinPacker packer_;
    double spare_machines_ = 0;  // spare capacity that the plan leaves, in machines
};

}  // namespace

Decisions plan(const Input& input, const config::Settings& settings) {
    return FleetPlanner(input, settings).run();
}

}  // namespace coralhitch::autoscaler

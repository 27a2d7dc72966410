#include "capacity/capacity.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "placement/placement.hpp"

namespace coralhitch::capacity {
namespace {

struct Bin {
    std::string type, zone;
    bool spot = false;
    wire::Room total, free;
    const MachineView* machine = nullptr;  // null: would be rented
};

double free_share(const Bin& b) {
    double s = 1;
    if (b.total.cpus > 0) s = std::min(s, b.free.cpus / b.total.cpus);
    if (b.total.gpus > 0) s = std::min(s, b.free.gpus / b.total.gpus);
    if (b.total.memory_gb > 0) s = std::min(s, b.free.memory_gb / b.total.memory_gb);
    return std::max(0.0, s);
}

class Packer {
  public:
    Packer(const Input& in, const config::Settings& settings) : in_(in), settings_(settings) {
        for (auto& m : in.machines) {
            bins_.push_back({m.type, m.zone, m.spot, m.total, m.booting ? m.total : m.free, &m});
            ++per_zone_[m.zone];
        }
    }
    Decisions run() {
        for (auto& n : in_.needs) pack(n);
        reserve();
        Decisions d;
        std::map<Pool, int> rents;
        for (auto& b : bins_)
            if (!b.machine) ++rents[{b.type, b.zone, b.spot}];
        for (auto& [p, n] : rents) d.rents.push_back({std::get<0>(p), std::get<1>(p), std::get<2>(p), n});
        if (d.rents.empty()) {
            drain(d);
            give_back(d);
        }
        return d;
    }

  private:
    bool full() const { return settings_.op.max_machines > 0 && bins_.size() >= settings_.op.max_machines; }

    void pack(const Need& n) {
        auto zones = n.zones;
        for (std::size_t k = 0; k < n.count; ++k) {
            Bin* to = nullptr;
            for (auto& b : bins_)
                if (b.free.holds(n.job->need) && placement::type_allowed(*n.job, b.type, b.zone, b.spot) &&
                    placement::zone_allowed(*n.job, zones, b.zone)) {
                    to = &b;
                    break;
                }
            if (!to) to = open(*n.job, zones);
            if (!to) return;
            to->free -= n.job->need;
            ++zones[to->zone];
        }
    }
    // A machine to rent for the job: the cheapest per task it holds, then the zone with the fewest machines.
    Bin* open(const wire::Job& job, const std::map<std::string, int>& zones) {
        if (full()) return nullptr;
        const wire::MachineType* best = nullptr;
        std::string best_zone;
        bool best_spot = false;
        double best_cost = 0;
        for (auto& t : in_.types) {
            if (!t.room.holds(job.need)) continue;
            double holds = t.room.gpus > 0 && job.need.gpus > 0 ? t.room.gpus / job.need.gpus : 1;
            if (job.need.cpus > 0) holds = std::min(holds, t.room.cpus / job.need.cpus);
            for (auto& z : t.zones)
                for (bool spot : {true, false}) {
                    if (!placement::type_allowed(job, t.name, z, spot)) continue;
                    if (!placement::zone_allowed(job, zones, z)) continue;
                    if (in_.refused.contains({t.name, z, spot})) continue;
                    double cost = (spot ? t.spot_price : t.price) / std::max(1.0, std::floor(holds));
                    bool better = !best || cost < best_cost - 1e-9 ||
                                  (cost < best_cost + 1e-9 && per_zone_[z] < per_zone_[best_zone]);
                    if (!better) continue;
                    best = &t;
                    best_zone = z;
                    best_spot = spot;
                    best_cost = cost;
                }
        }
        if (!best) return nullptr;
        ++per_zone_[best_zone];
        bins_.push_back({best->name, best_zone, best_spot, best->room, best->room, nullptr});
        return &bins_.back();
    }
    // Free room, in whole machines, and what it should be.
    double spare() const {
        double s = 0;
        for (auto& b : bins_) s += free_share(b);
        return s;
    }
    double spare_wanted() const {
        double used = static_cast<double>(bins_.size()) - spare();
        if (used <= 0) return 0;
        return std::max({1.0, used * settings_.op.reserve_ratio, guaranteed() - used});
    }
    // What the teams are guaranteed together, in machines of the largest type: they need not wait for it, so
    // it is there once anybody works.
    double guaranteed() const {
        wire::Room sum, largest;
        for (auto& t : settings_.teams) sum += {t.cpus, t.gpus, 0};
        for (auto& t : in_.types) {
            largest.cpus = std::max(largest.cpus, t.room.cpus);
            largest.gpus = std::max(largest.gpus, t.room.gpus);
        }
        double cpus = largest.cpus > 0 ? sum.cpus / largest.cpus : 0;
        double gpus = largest.gpus > 0 ? sum.gpus / largest.gpus : 0;
        return std::max(cpus, gpus);
    }
    double surplus() const { return spare() - spare_wanted(); }
    void reserve() {
        while (!in_.types.empty() && surplus() < 0) {
            wire::Job any;  // ordinary machines serve every job; where there are none, spot ones relieve them
            if (open(any, {})) continue;
            any.spot = true;
            if (!open(any, {})) return;
        }
    }
    // Two random choices spread tasks over all machines, so none would ever become empty. The surplus is
    // therefore left out of the draws: emptiest first, never a machine that holds a service.
    void drain(Decisions& d) {
        double left = surplus();
        std::vector<const Bin*> order;
        for (auto& b : bins_)
            if (b.machine && !b.machine->booting && b.machine->services == 0) order.push_back(&b);
        auto key = [](const Bin* b) { return std::tuple(b->machine->tasks, !b->machine->draining, b->spot); };
        std::sort(order.begin(), order.end(), [&](auto* a, auto* b) { return key(a) < key(b); });
        for (auto* b : order) {
            if (left < 1) return;
            d.drains.insert(b->machine->id);
            left -= 1;
        }
    }
    void give_back(Decisions& d) {
        double left = surplus();
        std::vector<const Bin*> idle;
        for (auto& b : bins_) {
            if (!b.machine || b.machine->booting || !b.machine->empty) continue;
            double boot = 0;
            for (auto& t : in_.types)
                if (t.name == b.type) boot = t.boot_s;
            bool untouched = free_share(b) > 1 - 1e-9;  // nothing that waits was packed onto it
            if (untouched && b.machine->idle_for > boot * settings_.op.idle_boots) idle.push_back(&b);
        }
        std::sort(idle.begin(), idle.end(),
                  [](auto* a, auto* b) { return a->machine->idle_for > b->machine->idle_for; });
        for (auto* b : idle) {
            if (left < 1) return;
            d.returns.push_back(b->machine->id);
            left -= 1;
        }
    }

    const Input& in_;
    const config::Settings& settings_;
    std::vector<Bin> bins_;
    std::map<std::string, int> per_zone_;
};

}  // namespace

Decisions plan(const Input& in, const config::Settings& settings) {
    return Packer(in, settings).run();
}

}  // namespace coralhitch::capacity

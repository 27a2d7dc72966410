#include "autoscaler/autoscaler.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <tuple>

namespace coralhitch::autoscaler {
namespace {

struct Bin {
    std::size_t pool = 0;
    protocol::Resources free;
    const MachineView* machine = nullptr;  // null: would be rented
};

class Packer {
  public:
    Packer(const Input& in, const config::Settings& settings)
        : in_(in), settings_(settings), per_zone_(in.zones), rented_type_(in.pools.size(), nullptr) {
        for (std::size_t p = 0; p < in.pools.size(); ++p)
            for (auto& t : in.types)
                if (t.name == in.pools[p].type &&
                    std::find(t.zones.begin(), t.zones.end(), in.pools[p].zone) != t.zones.end())
                    rented_type_[p] = &t;
        for (auto& m : in.machines) {
            auto& bins = dark(m.pool) || m.suspected ? dark_bins_ : bins_;
            bins.push_back({m.pool, m.booting ? pool(m.pool).total : m.free, &m});
            // Nothing that waits is counted on one that is suspected, but no spare room is rented in its
            // place: most speak again.
            if (m.suspected && !dark(m.pool)) {
                ++suspected_;
                spare_ += free_share(bins.back());
            }
            ++per_zone_[pool(m.pool).zone_index];
        }
    }
    Decisions run() {
        for (auto& n : in_.needs) pack(n);
        for (auto& b : bins_) spare_ += free_share(b);
        reserve();
        Decisions d;
        std::map<std::size_t, int> rents;
        for (auto* bins : {&bins_, &dark_bins_})
            for (auto& b : *bins)
                if (!b.machine) ++rents[b.pool];
        for (auto& [p, n] : rents) d.rents.push_back({p, n});
        if (d.rents.empty()) {
            drain(d);
            give_back(d);
        }
        return d;
    }

  private:
    const scheduler::Pool& pool(std::size_t p) const { return in_.pools[p]; }
    bool dark(std::size_t p) const {
        return pool(p).zone_index < in_.dark.size() && in_.dark[pool(p).zone_index];
    }
    // What exists counts, whether or not it can be used: the limit is one of money. Without those that had
    // not reconciled yet, new leaders rented beyond it.
    bool full() const {
        auto machines = bins_.size() + dark_bins_.size() + in_.others;
        return settings_.op.max_machines > 0 && machines >= settings_.op.max_machines;
    }
    double free_share(const Bin& b) const { return scheduler::least_share(b.free, pool(b.pool).total); }

    scheduler::PoolSet pools_of(const protocol::Job& job, const scheduler::ZoneCounts& zones) const {
        return scheduler::allowed_pools(job, zones, in_.pools);
    }
    void pack(const UnplacedDemand& n) {
        auto zones = n.zones;
        zones.resize(in_.zones);
        auto pools = pools_of(*n.job, zones);
        bool zoned = n.job->spread || n.job->one_zone;
        std::size_t lit_at = 0, dark_at = 0;  // bins before have no room for another of these tasks
        auto find = [&](std::vector<Bin>& bins, std::size_t& at, bool in_dark) -> Bin* {
            while (at < bins.size() && !(pools[bins[at].pool] && bins[at].free.fits(n.job->request))) ++at;
            return at < bins.size() || open(*n.job, pools, in_dark) ? &bins[at] : nullptr;
        };
        for (std::size_t k = 0; k < n.count; ++k) {
            // Machines of a zone from which nothing is heard may come back any time, or late: what waits is
            // counted on them only if there is nothing else to rent.
            auto* to = find(bins_, lit_at, false);
            if (!to) to = find(dark_bins_, dark_at, true);
            if (!to) return;
            to->free -= n.job->request;
            if (!zoned) continue;
            ++zones[pool(to->pool).zone_index];
            pools = pools_of(*n.job, zones);
        }
    }
    // A machine to rent for the job: the cheapest per task it holds, then the zone with the fewest machines.
    bool open(const protocol::Job& job, const scheduler::PoolSet& pools, bool in_dark = false) {
        if (full()) return false;
        std::optional<std::size_t> best;
        double best_cost = 0;
        for (std::size_t p = 0; p < pools.size(); ++p) {
            auto* t = rented_type_[p];
            if (!t || !pools[p] || dark(p) != in_dark || !t->capacity.fits(job.request) ||
                in_.refused.contains(p))
                continue;
            double holds =
                t->capacity.gpus > 0 && job.request.gpus > 0 ? t->capacity.gpus / job.request.gpus : 1;
            if (job.request.cpus > 0) holds = std::min(holds, t->capacity.cpus / job.request.cpus);
            double cost = (pool(p).spot ? t->spot_price : t->price) / std::max(1.0, std::floor(holds));
            bool better = !best || cost < best_cost - 1e-9 ||
                          (cost < best_cost + 1e-9 &&
                           per_zone_[pool(p).zone_index] < per_zone_[pool(*best).zone_index]);
            if (!better) continue;
            best = p;
            best_cost = cost;
        }
        if (!best) return false;
        ++per_zone_[pool(*best).zone_index];
        (in_dark ? dark_bins_ : bins_).push_back({*best, rented_type_[*best]->capacity, nullptr});
        return true;
    }
    // Free room, in whole machines, and what it should be.
    double spare_wanted() const {
        double used = static_cast<double>(bins_.size() + suspected_) - spare_;
        if (used <= 0) return 0;
        return std::max({1.0, used * settings_.op.reserve_ratio, guaranteed() - used});
    }
    // What the teams are guaranteed together, in machines of the largest type: they need not wait for it, so
    // it is there once anybody works.
    double guaranteed() const {
        protocol::Resources sum, largest;
        for (auto& t : settings_.teams) sum += {t.cpus, t.gpus, 0};
        for (auto& t : in_.types) {
            largest.cpus = std::max(largest.cpus, t.capacity.cpus);
            largest.gpus = std::max(largest.gpus, t.capacity.gpus);
        }
        double cpus = largest.cpus > 0 ? sum.cpus / largest.cpus : 0;
        double gpus = largest.gpus > 0 ? sum.gpus / largest.gpus : 0;
        return std::max(cpus, gpus);
    }
    double surplus() const { return spare_ - spare_wanted(); }
    void reserve() {
        protocol::Job any;  // ordinary machines serve every job; where there are none, spot ones relieve them
        auto ordinary = pools_of(any, {});
        any.spot = true;
        auto every = pools_of(any, {});
        while (!in_.types.empty() && surplus() < 0) {
            if (!open(any, ordinary) && !open(any, every)) return;
            spare_ += 1;
        }
    }
    // Two random choices spread tasks over all machines, so none would ever become empty. The surplus is
    // therefore left out of the draws: emptiest first, never a machine that holds a service.
    void drain(Decisions& d) {
        double left = surplus();
        std::vector<const Bin*> order;
        for (auto& b : bins_)
            if (b.machine && !b.machine->booting && b.machine->services == 0) order.push_back(&b);
        auto key = [&](const Bin* b) {
            return std::tuple(b->machine->tasks, !b->machine->draining, pool(b->pool).spot);
        };
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
            // A machine that is slow to boot is given back like an idle one: some take several times as long.
            if (!b.machine || !b.machine->empty) continue;
            auto* type = rented_type_[b.pool];
            double boot = type ? type->boot_s : 0;
            bool untouched = free_share(b) > 1 - 1e-9;  // nothing that waits was packed onto it
            if (untouched && b.machine->idle_for > boot * settings_.op.idle_boots) idle.push_back(&b);
        }
        std::sort(idle.begin(), idle.end(), [](auto* a, auto* b) {
            return std::pair(a->machine->booting, a->machine->idle_for) >
                   std::pair(b->machine->booting, b->machine->idle_for);
        });
        for (auto* b : idle) {
            if (left < 1) return;
            d.returns.push_back(b->machine->id);
            left -= 1;
        }
    }

    const Input& in_;
    const config::Settings& settings_;
    std::vector<Bin> bins_, dark_bins_;
    double spare_ = 0;
    std::size_t suspected_ = 0;
    std::vector<int> per_zone_;
    std::vector<const protocol::MachineType*> rented_type_;  // by pool; null: can't be rented
};

}  // namespace

Decisions plan(const Input& in, const config::Settings& settings) {
    return Packer(in, settings).run();
}

}  // namespace coralhitch::autoscaler

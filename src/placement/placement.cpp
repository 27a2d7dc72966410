#include "placement/placement.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace coralhitch::placement {
using wire::Kind;
using wire::Priority;
using wire::Room;

bool type_allowed(const wire::Job& job, const std::string& type, const std::string& zone, bool spot) {
    if (job.types && std::find(job.types->begin(), job.types->end(), type) == job.types->end()) return false;
    if (job.zone && *job.zone != zone) return false;
    return job.spot || !spot;
}
bool zone_allowed(const wire::Job& job, const std::map<std::string, int>& zones, const std::string& zone) {
    if (job.one_zone)
        for (auto& [z, n] : zones)
            if (n > 0 && z != zone) return false;
    if (job.spread) {
        auto it = zones.find(zone);
        int there = it == zones.end() ? 0 : it->second;
        if (there + 1 > static_cast<int>((job.tasks + 1) / 2)) return false;
    }
    return true;
}
bool team_allows(const config::Team& team, const Room& used, const Room& more) {
    constexpr double slack = 1e-6;
    if (team.cpus_max > 0 && used.cpus + more.cpus > team.cpus_max + slack) return false;
    if (team.gpus_max > 0 && used.gpus + more.gpus > team.gpus_max + slack) return false;
    return true;
}
double grace_of(const wire::Job& job) {
    // Half as long again as the owner says, so that a slow machine still saves.
    return job.checkpoint_s > 0 ? job.save_s * 1.5 + 1 : 0;
}

namespace {

// The largest share that the room takes of a whole machine.
double share(const Room& need, const Room& total) {
    double s = 0;
    if (total.cpus > 0) s = std::max(s, need.cpus / total.cpus);
    if (total.gpus > 0) s = std::max(s, need.gpus / total.gpus);
    if (total.memory_gb > 0) s = std::max(s, need.memory_gb / total.memory_gb);
    return s;
}

class Planner {
  public:
    Planner(Input& in, const config::Settings& settings, std::mt19937_64& random)
        : in_(in), settings_(settings), random_(random) {
        for (auto& m : in_.machines) m.soon = m.free;
        for (auto& i : in_.instances)
            if (i.stopping) in_.machines[i.machine].soon += in_.jobs[i.job].spec->need;
        for (auto& t : settings_.teams) teams_[t.name] = &t;
        stopping_.resize(in_.instances.size());
        by_machine_.resize(in_.machines.size());
        by_job_.resize(in_.jobs.size());
        for (std::size_t k = 0; k < in_.instances.size(); ++k) {
            stopping_[k] = in_.instances[k].stopping;
            by_machine_[in_.instances[k].machine].push_back(k);
            by_job_[in_.instances[k].job].push_back(k);
        }
        guarantees();
        largest();
    }

    Decisions run() {
        std::vector<std::size_t> order;
        for (std::size_t j = 0; j < in_.jobs.size(); ++j)
            if (in_.jobs[j].startable && !in_.jobs[j].waiting.empty()) order.push_back(j);
        std::sort(order.begin(), order.end(), [&](auto a, auto b) {
            int ra = rank(a), rb = rank(b);
            if (ra != rb) return ra > rb;
            auto &x = in_.jobs[a], &y = in_.jobs[b];
            if (x.submitted != y.submitted) return x.submitted < y.submitted;
            return x.spec->id < y.spec->id;
        });
        for (auto j : order) {
            if (in_.jobs[j].spec->kind == Kind::gang)
                gang(j);
            else
                singles(j);
        }
        return std::move(out_);
    }

  private:
    // A job is within its team's guarantee if it fits into it together with the team's earlier unfinished
    // jobs.
    void guarantees() {
        std::vector<std::size_t> order(in_.jobs.size());
        for (std::size_t j = 0; j < order.size(); ++j) order[j] = j;
        std::sort(order.begin(), order.end(),
                  [&](auto a, auto b) { return in_.jobs[a].submitted < in_.jobs[b].submitted; });
        guaranteed_.assign(in_.jobs.size(), false);
        std::map<std::string, Room> sum;
        for (auto j : order) {
            auto& job = *in_.jobs[j].spec;
            auto it = teams_.find(job.team);
            if (it == teams_.end()) continue;
            auto& team = *it->second;
            auto& s = sum[job.team];
            s += job.need.times(static_cast<double>(in_.jobs[j].open));
            constexpr double slack = 1e-6;
            bool cpus = team.cpus > 0 ? s.cpus <= team.cpus + slack : true;
            bool gpus = team.gpus > 0 ? s.gpus <= team.gpus + slack : true;
            guaranteed_[j] = (team.cpus > 0 || team.gpus > 0) && cpus && gpus;
        }
    }
    // A total order of who may displace whom: guaranteed work first, then priority. Without cycles, so that
    // two jobs can't displace each other in turn.
    int rank(std::size_t j) const {
        return (guaranteed_[j] ? 4 : 0) + static_cast<int>(in_.jobs[j].spec->priority);
    }
    bool may_displace(std::size_t j, std::size_t victim) const {
        if (j == victim || rank(j) <= rank(victim)) return false;
        if (in_.jobs[j].spec->priority > in_.jobs[victim].spec->priority) return true;
        return guaranteed_[j] && !guaranteed_[victim] &&
               in_.jobs[j].spec->team != in_.jobs[victim].spec->team;
    }

    bool team_ok(const wire::Job& job, double tasks) {
        auto it = teams_.find(job.team);
        if (it == teams_.end()) return false;
        return team_allows(*it->second, in_.team_used[job.team], job.need.times(tasks));
    }
    // Places on a machine that nobody waits for already.
    Room open_room(const MachineView& m) const {
        Room r = m.soon;
        r -= m.reserved;
        r.cpus = std::min(r.cpus, m.free.cpus);
        r.gpus = std::min(r.gpus, m.free.gpus);
        r.memory_gb = std::min(r.memory_gb, m.free.memory_gb);
        return r;
    }
    std::vector<std::size_t> allowed(const JobView& j) const {
        std::vector<std::size_t> out;
        for (std::size_t m = 0; m < in_.machines.size(); ++m) {
            auto& v = in_.machines[m];
            if (v.usable && type_allowed(*j.spec, v.type, v.zone, v.spot) && !j.failed_on.contains(v.id))
                out.push_back(m);
        }
        return out;
    }
    void take(std::size_t j, std::uint32_t task, std::size_t m) {
        auto& job = in_.jobs[j];
        auto& v = in_.machines[m];
        v.free -= job.spec->need;
        v.soon -= job.spec->need;
        ++v.tasks;
        v.images.insert(job.spec->image);
        ++job.zones[v.zone];
        ++job.active;
        in_.team_used[job.spec->team] += job.spec->need;
        out_.starts.push_back({j, task, m});
        ++out_.counts.tasks;
    }

    void untake() {
        auto [j, task, m] = out_.starts.back();
        out_.starts.pop_back();
        auto& job = in_.jobs[j];
        auto& v = in_.machines[m];
        v.free += job.spec->need;
        v.soon += job.spec->need;
        --v.tasks;
        --job.zones[v.zone];
        --job.active;
        in_.team_used[job.spec->team] -= job.spec->need;
        --out_.counts.tasks;
    }

    void singles(std::size_t j) {
        auto& job = in_.jobs[j];
        auto& spec = *job.spec;
        auto machines = allowed(job);
        std::size_t missing = 0;
        for (std::size_t k = 0; k < job.waiting.size(); ++k) {
            auto task = job.waiting[k];
            if (!team_ok(spec, 1)) break;
            std::vector<std::size_t> fit;
            for (auto m : machines)
                if (zone_allowed(spec, job.zones, in_.machines[m].zone)) fit.push_back(m);
            auto m = place_single(spec, fit);
            if (m) {
                take(j, task, *m);
                continue;
            }
            ++missing;
            if (!make_room(j, fit)) {
                // No other task of this job fits either, unless its zone is another one.
                missing += job.waiting.size() - k - 1;
                break;
            }
        }
        if (missing) out_.unplaced.push_back({j, missing});
    }

    // Surplus machines are left out of the draws, and small tasks leave whole room to the tasks that need it:
    // each only while there is room elsewhere.
    std::optional<std::size_t> place_single(const wire::Job& spec, const std::vector<std::size_t>& fit) {
        std::vector<std::size_t> kept;
        for (auto i : fit)
            if (!in_.machines[i].draining) kept.push_back(i);
        if (big(spec, fit)) {
            auto m = fullest(spec, kept);
            return m ? m : fullest(spec, fit);
        }
        auto having = [&](auto&& test) {
            std::vector<std::size_t> some;
            for (auto i : kept)
                if (test(i)) some.push_back(i);
            return two_choices(spec, some);
        };
        auto image = [&](auto i) { return in_.machines[i].images.contains(spec.image); };
        auto sliced = [&](auto i) { return !breaks_up(spec, i); };
        if (auto m = having([&](auto i) { return sliced(i) && image(i); })) return m;
        if (auto m = having(image)) return m;
        if (auto m = having(sliced)) return m;
        if (auto m = two_choices(spec, kept)) return m;
        return kept.size() < fit.size() ? two_choices(spec, fit) : std::nullopt;
    }
    // The largest task of live jobs that goes to the fullest machine rather than to a drawn one.
    void largest() {
        for (auto& j : in_.jobs)
            for (auto& m : in_.machines) {
                if (j.open == 0) break;
                double s = share(j.spec->need, m.total);
                if ((j.spec->kind != Kind::gang && s <= 0.5) || s > 1 || s <= largest_share_) continue;
                largest_share_ = s;
                largest_ = j.spec->need;
            }
    }
    // Whether the task would take the room in which such a task still fits.
    bool breaks_up(const wire::Job& spec, std::size_t m) const {
        if (largest_share_ <= 0) return false;
        auto room = in_.machines[m].free;
        if (!room.holds(largest_)) return false;
        room -= spec.need;
        return !room.holds(largest_);
    }

    bool big(const wire::Job& spec, const std::vector<std::size_t>& fit) const {
        return std::any_of(fit.begin(), fit.end(),
                           [&](auto m) { return share(spec.need, in_.machines[m].total) > 0.5; });
    }
    // The load measure: the tasks on the machine; having to fetch the image weighs more than any number of
    // them.
    static double load(const wire::Job& spec, const MachineView& m) {
        constexpr double fetch = 1e3;
        return m.tasks + (m.images.contains(spec.image) ? 0 : fetch);
    }
    std::optional<std::size_t> two_choices(const wire::Job& spec, const std::vector<std::size_t>& fit) {
        auto k = draw(
            fit.size(), [&](std::size_t i) { return open_room(in_.machines[fit[i]]).holds(spec.need); },
            [&](std::size_t i) { return load(spec, in_.machines[fit[i]]); }, settings_.op, random_,
            out_.counts);
        return k ? std::optional(fit[*k]) : std::nullopt;
    }
    std::optional<std::size_t> fullest(const wire::Job& spec, const std::vector<std::size_t>& fit) {
        std::optional<std::size_t> best;
        double least = std::numeric_limits<double>::max();
        for (auto m : fit) {
            auto room = open_room(in_.machines[m]);
            if (!room.holds(spec.need)) continue;
            double left = share(room, in_.machines[m].total);
            // Equally full: one that has the image need not fetch it.
            if (!in_.machines[m].images.contains(spec.image)) left += 1e-3;
            if (left < least) {
                least = left;
                best = m;
            }
        }
        if (best) ++out_.counts.packed;
        return best;
    }

    void gang(std::size_t j) {
        auto& job = in_.jobs[j];
        auto& spec = *job.spec;
        // The tasks of an old attempt stay where they are until they exit; the next starts when all are gone.
        if (job.active > 0) return;
        if (!team_ok(spec, static_cast<double>(job.waiting.size()))) return;
        auto machines = allowed(job);
        std::vector<std::vector<std::size_t>> groups;
        if (spec.one_zone) {
            std::map<std::string, std::vector<std::size_t>> zones;
            for (auto m : machines) zones[in_.machines[m].zone].push_back(m);
            for (auto& [z, g] : zones) groups.push_back(g);
            std::shuffle(groups.begin(), groups.end(), random_);
        } else {
            groups.push_back(machines);
        }
        for (auto& g : groups) {
            std::size_t taken = 0;
            for (auto task : job.waiting) {
                std::vector<std::size_t> fit;
                for (auto m : g)
                    if (zone_allowed(spec, job.zones, in_.machines[m].zone)) fit.push_back(m);
                auto m = fullest(spec, fit);
                if (!m) break;
                take(j, task, *m);
                ++taken;
            }
            if (taken == job.waiting.size()) return;
            for (; taken > 0; --taken) untake();  // all tasks or none
        }
        out_.unplaced.push_back({j, job.waiting.size()});
        if (job.waiting.size() == 1)
            make_room(j, machines);
        else
            for (auto& g : groups)
                if (make_room_for_all(j, g)) return;
    }

    // What is lost by stopping an instance, in seconds of work.
    double loss(const InstanceView& i) const {
        auto& spec = *in_.jobs[i.job].spec;
        double ran = i.running_since >= 0 ? in_.now - i.running_since : 0;
        double start = in_.now - i.placed;
        double lost = spec.checkpoint_s > 0 ? spec.save_s : ran;
        // Fetching the image again, and a start that counts for little if it is stopped soon after.
        return lost + spec.save_s + std::max(0.0, settings_.report_s * 10 - start);
    }

    struct Choice {
        std::vector<std::size_t> victims;
        double cost = std::numeric_limits<double>::max();
    };
    // The cheapest instances to stop on a machine so that `need` has room there.
    std::optional<Choice> victims_on(std::size_t j, std::size_t m) const {
        auto& spec = *in_.jobs[j].spec;
        Room room = in_.machines[m].soon;
        room -= in_.machines[m].reserved;
        std::vector<std::size_t> candidates;
        for (auto k : by_machine_[m])
            if (!stopping_[k] && may_displace(j, in_.instances[k].job)) candidates.push_back(k);
        std::sort(candidates.begin(), candidates.end(), [&](auto a, auto b) {
            int ra = rank(in_.instances[a].job), rb = rank(in_.instances[b].job);
            if (ra != rb) return ra < rb;
            return loss(in_.instances[a]) < loss(in_.instances[b]);
        });
        Choice c;
        c.cost = 0;
        for (auto k : candidates) {
            if (room.holds(spec.need)) break;
            room += in_.jobs[in_.instances[k].job].spec->need;
            c.victims.push_back(k);
            // A gang is stopped whole.
            double times = in_.jobs[in_.instances[k].job].spec->kind == Kind::gang
                               ? static_cast<double>(by_job_[in_.instances[k].job].size())
                               : 1;
            c.cost += loss(in_.instances[k]) * times;
        }
        if (!room.holds(spec.need)) return std::nullopt;
        return c;
    }
    void reserve(std::size_t j, std::size_t m) { in_.machines[m].reserved += in_.jobs[j].spec->need; }
    void stop(const Choice& c, std::size_t j) {
        for (auto k : c.victims) {
            auto victim = in_.instances[k].job;
            bool whole = in_.jobs[victim].spec->kind == Kind::gang;
            for (auto other : whole ? by_job_[victim] : std::vector<std::size_t>{k}) {
                if (stopping_[other]) continue;
                stopping_[other] = true;
                in_.machines[in_.instances[other].machine].soon += in_.jobs[victim].spec->need;
                out_.stops.push_back({other, j});
                ++out_.counts.preempted;
            }
        }
    }
    // Keeps a place for one waiting task: one that is being emptied, or one that is emptied for it.
    bool make_room(std::size_t j, const std::vector<std::size_t>& machines) {
        std::optional<std::size_t> best;
        Choice cheapest;
        for (auto m : machines) {
            auto c = victims_on(j, m);
            if (!c || c->cost >= cheapest.cost) continue;
            cheapest = *c;
            best = m;
        }
        if (!best) return false;
        stop(cheapest, j);
        reserve(j, *best);
        return true;
    }
    bool make_room_for_all(std::size_t j, const std::vector<std::size_t>& machines) {
        auto saved_machines = in_.machines;
        auto saved_stopping = stopping_;
        auto saved_out = out_;
        for (std::size_t n = 0; n < in_.jobs[j].waiting.size(); ++n) {
            if (make_room(j, machines)) continue;
            in_.machines = std::move(saved_machines);
            stopping_ = std::move(saved_stopping);
            out_ = std::move(saved_out);
            return false;
        }
        return true;
    }

    Input& in_;
    const config::Settings& settings_;
    std::mt19937_64& random_;
    std::map<std::string, const config::Team*> teams_;
    std::vector<bool> guaranteed_, stopping_;
    Room largest_;
    double largest_share_ = 0;
    std::vector<std::vector<std::size_t>> by_machine_, by_job_;
    Decisions out_;
};

}  // namespace

std::optional<std::size_t> draw(std::size_t n, const std::function<bool(std::size_t)>& has_room,
                                const std::function<double(std::size_t)>& load, const config::Operator& op,
                                std::mt19937_64& random, Counts& counts) {
    if (n == 0) return std::nullopt;
    std::uniform_int_distribution<std::size_t> pick(0, n - 1);
    std::vector<std::size_t> found;
    for (std::uint32_t round = 0; round < op.draw_rounds && found.size() < op.draws; ++round) {
        if (round > 0) ++counts.redraws;
        for (std::uint32_t d = 0; d < op.draws && found.size() < op.draws; ++d) {
            auto m = pick(random);
            ++counts.draws;
            if (std::find(found.begin(), found.end(), m) == found.end() && has_room(m)) found.push_back(m);
        }
    }
    if (found.empty()) {
        ++counts.fallbacks;
        for (std::size_t m = 0; m < n; ++m)
            if (has_room(m)) return m;
        return std::nullopt;
    }
    return *std::min_element(found.begin(), found.end(), [&](auto a, auto b) { return load(a) < load(b); });
}

Decisions plan(Input& in, const config::Settings& settings, std::mt19937_64& random) {
    return Planner(in, settings, random).run();
}

}  // namespace coralhitch::placement

// Makes room by stopping what has a lower rank: the cheapest instances, by the work that is lost and by the
// fetch that the place then needs.
#pragma once
#include <limits>
#include <optional>
#include <vector>

#include "scheduler/plan_state.hpp"

namespace coralhitch::scheduler {

class Preemption {
  public:
    explicit Preemption(PlanState& plan);

    // Keeps a place for one waiting task: one that is being emptied, or one that is emptied for it.
    std::optional<std::size_t> make_room(std::size_t job, const PoolSet& pools);
    // For all tasks of a gang, or for none: what was decided for some is taken back.
    bool make_room_for_all(std::size_t job, const PoolSet& pools);

  private:
    struct Choice {
        std::vector<std::size_t> victims;  // instances
        double cost = std::numeric_limits<double>::max();
    };
    // A job that found nobody to displace in these pools.
    struct Stuck {
        std::size_t job;
        PoolSet pools;
    };
    double loss(const InstanceView& instance) const;
    double fetch_s(const JobView& job, std::size_t machine) const;
    std::optional<Choice> victims_on(std::size_t job, std::size_t machine) const;
    // Instances that the job may displace there, and those with the cheapest first.
    std::vector<std::size_t> candidates_on(std::size_t job, std::size_t machine) const;
    void sort_by_cost(std::vector<std::size_t>& candidates) const;
    void stop(const Choice& choice, std::size_t job);
    void take_back(std::size_t job, const Machines& reserved, std::size_t stops);
    bool known_stuck(std::size_t job, const PoolSet& pools) const;

    PlanState& plan_;
    std::vector<bool> stopping_;                                 // by instance
    std::vector<int> lowest_rank_;                               // of what is on a machine
    std::vector<std::vector<std::size_t>> by_machine_, by_job_;  // instances
    std::vector<Stuck> stuck_;
};

}  // namespace coralhitch::scheduler

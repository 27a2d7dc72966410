// Frees places by stopping what has a lower rank: the cheapest instances, by the work that is lost and by the
// fetch of the image that the place then needs.
//
// Owns which instances are being stopped, and which requests can't be met. Changes the plan's decisions and
// the reservations of its input. Jobs, machines and instances are indices of the input.
#pragma once
#include <cstddef>
#include <limits>
#include <optional>
#include <vector>

#include "scheduler/plan_state.hpp"

namespace coralhitch::scheduler {

class Preemption {
  public:
    explicit Preemption(PlanState& plan);

    // Reserves a place for one waiting task, on a machine where enough is being stopped already or is stopped
    // for it. Returns the machine; nothing if nobody may be preempted for it.
    std::optional<std::size_t> reserve_slot(std::size_t job, const PoolSet& pools);
    // Reserves places for all tasks of a gang. False: for none, and nothing is stopped for it.
    bool reserve_slots_for_gang(std::size_t job, const PoolSet& pools);

  private:
    // How a machine gets the resources that a task requests, the best first.
    enum class Source {
        stopping_with_image,  // enough is being stopped already, and the image is there
        stopping,             // enough is being stopped already
        preemption,           // others must be stopped
    };
    struct Choice {
        std::vector<std::size_t> victims;  // instances to stop
        Source source = Source::preemption;
        double lost_s = std::numeric_limits<double>::max();  // seconds of work and of fetching
        [[nodiscard]] bool is_better_than(const Choice& other) const;
    };
    // A job that found nobody to preempt in these pools.
    struct FailedPreemption {
        std::size_t job;
        PoolSet pools;
    };
    [[nodiscard]] double lost_work_s(const InstanceView& instance) const;
    [[nodiscard]] double fetch_s(const JobView& job, std::size_t machine) const;
    [[nodiscard]] std::optional<Choice> cheapest_on(std::size_t job, std::size_t machine) const;
    [[nodiscard]] std::vector<std::size_t> preemptible_on(std::size_t job, std::size_t machine) const;
    void sort_by_cost(std::vector<std::size_t>& candidates) const;
    [[nodiscard]] bool is_in_gang(std::size_t instance) const;
    void stop(const Choice& choice, std::size_t job);
    void undo(std::size_t job, const Machines& reserved, std::size_t stops);
    [[nodiscard]] bool is_known_to_fail(std::size_t job, const PoolSet& pools) const;

    PlanState& plan_;
    std::vector<bool> stopping_;                        // by instance
    std::vector<int> lowest_rank_;                      // of what is on a machine
    std::vector<std::vector<std::size_t>> by_machine_;  // instances
    std::vector<std::vector<std::size_t>> by_job_;      // instances
    std::vector<FailedPreemption> failed_;
};

}  // namespace coralhitch::scheduler

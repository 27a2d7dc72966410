// Generates the load: services first, then arrays and gangs. Jobs arrive independently of how fast the
// controllers handle them (open-loop load).
#pragma once
#include <cstdint>
#include <random>
#include <string>

#include "event_loop/event_loop.hpp"
#include "protocol/model.hpp"
#include "scale/config/experiment.hpp"
#include "scale/load/job_client.hpp"

namespace coralhitch::scale {

// Submits jobs with random properties at random times, at the rate of the current phase.
class LoadGenerator {
  public:
    // All references must outlive this.
    LoadGenerator(event_loop::EventLoop& loop, const Experiment& experiment, std::mt19937_64& random,
                  JobClient& client);
    // Begins to submit the services, and arrays and gangs at the first phase's rate.
    void begin();
    // Switches to a phase. From now on, jobs arrive at its rate, and latencies of new jobs are recorded under
    // its name.
    void begin_phase(const std::string& name);

  private:
    void submit_services(double tasks_left);
    void schedule_arrival();
    void submit_arrival();
    void submit(GeneratedJob job);
    protocol::Job new_job(protocol::JobKind kind, std::uint32_t tasks);

    event_loop::EventLoop& loop_;
    const Experiment& experiment_;
    std::mt19937_64& random_;
    JobClient& client_;
    std::uint64_t next_job_ = 0;
    std::string phase_ = "fill";
    double starts_per_s_ = 0;
    event_loop::TimerId arrival_timer_ = 0;
};

}  // namespace coralhitch::scale

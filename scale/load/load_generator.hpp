// The load: services at first, then arrays and gangs that arrive whether the service keeps up or not.
#pragma once
#include <cstdint>
#include <random>
#include <string>

#include "event_loop/event_loop.hpp"
#include "protocol/model.hpp"
#include "scale/config/experiment.hpp"
#include "scale/load/job_client.hpp"

namespace coralhitch::scale {

class LoadGenerator {
  public:
    // All references must outlive this.
    LoadGenerator(event_loop::EventLoop& loop, const Experiment& experiment, std::mt19937_64& random,
                  JobClient& client);
    // The services, and arrivals at the first phase's rate.
    void begin();
    // Arrivals have this phase's rate, and latencies of new jobs count for it, from now on.
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

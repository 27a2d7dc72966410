// A simulated cloud that follows the protocol: it creates machines of one type on request, boots them, lists
// them with a delay, and deletes them.
#pragma once
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "event_loop/lifetime_guard.hpp"
#include "event_loop/timers.hpp"
#include "event_loop/token_bucket.hpp"
#include "http/message.hpp"
#include "protocol/model.hpp"
#include "scale/cloud/machine_hosts.hpp"
#include "scale/config/experiment.hpp"

namespace coralhitch::scale {

// Serves the cloud's HTTP requests and injects failures of machines.
class SimulatedCloud {
  public:
    // Counters since the start. `refused` counts answers with status 429, `no_capacity` requests that no
    // machine was created for, `bytes_in` targets and bodies of requests, `bytes_out` bodies of answers.
    struct Counts {
        std::uint64_t requests = 0, refused = 0, bytes_in = 0, bytes_out = 0, created = 0, deleted = 0,
                      lists = 0, no_capacity = 0;
    };

    // All arguments must outlive this.
    SimulatedCloud(event_loop::Timers& timers, const Experiment& experiment, MachineHosts& hosts);

    // Executes the request now and answers after a randomly drawn latency. The answer to a deletion is sent
    // after the machines are gone.
    void handle(const http::Request& request, const http::Reply& reply);

    // Faults. Each makes machines fail at the same time and returns how many have failed.
    // Fails all machines of the zone. No machine can be created there for `back_s` seconds.
    std::size_t fail_zone(const std::string& zone, double back_s);
    // Fails all machines of the rack that has the most usable machines.
    std::size_t fail_rack();
    // Fails `count` randomly drawn machines, or all if there are fewer.
    std::size_t fail_machines(std::size_t count);

    [[nodiscard]] const Counts& counts() const { return counts_; }
    // Returns the number of machines that were neither deleted nor failed.
    [[nodiscard]] std::size_t usable_machines() const;

  private:
    struct Machine {
        protocol::Host host;
        double created_at = 0, up_at = 0;
        std::optional<double> failed_at, deleted_at;
        std::uint32_t rack = 0;
        [[nodiscard]] bool is_usable() const { return !failed_at && !deleted_at; }
        [[nodiscard]] protocol::HostState state_at(double time) const;
    };
    void execute(const http::Request& request, const http::Reply& reply);
    void answer(const http::Reply& reply, http::Response response);
    http::Response create(const http::Request& request);
    std::string create_machine(const std::string& zone, bool spot);
    http::Response list(const std::string& target);
    void remove(const std::vector<std::string>& ids, const http::Reply& reply);
    std::size_t fail(const std::vector<std::string>& ids);
    [[nodiscard]] protocol::MachineType type() const;

    event_loop::Timers& timers_;
    const Experiment& experiment_;
    MachineHosts& hosts_;
    std::mt19937_64 random_;
    event_loop::TokenBucket request_budget_;
    std::map<std::string, Machine> machines_;  // by name, so in the order of creation
    // Bodies of answers to creation requests, by the request's name. A repeated request gets the same answer.
    std::map<std::string, std::string> answers_;
    std::map<std::string, std::uint32_t> created_in_zone_, usable_in_zone_;
    std::map<std::string, double> zone_back_at_;
    std::uint64_t next_machine_ = 0;
    Counts counts_;
    event_loop::LifetimeGuard guard_;
};

}  // namespace coralhitch::scale

// The cloud as the protocol describes it: machines of one type are created on request, booted, listed late,
// deleted.
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

class SimulatedCloud {
  public:
    struct Counts {
        std::uint64_t requests = 0, refused = 0, bytes_in = 0, bytes_out = 0, created = 0, deleted = 0,
                      lists = 0, no_capacity = 0;
    };

    // All arguments must outlive this.
    SimulatedCloud(event_loop::Timers& timers, const Experiment& experiment, MachineHosts& hosts);

    // Answers later, after a latency that is drawn.
    void handle(const http::Request& request, const http::Reply& reply);

    // Faults: machines fail together. Return how many.
    std::size_t fail_zone(const std::string& zone, double back_s);  // none can be created there until then
    std::size_t fail_rack();                                        // the fullest one
    std::size_t fail_machines(std::size_t count);                   // drawn

    [[nodiscard]] const Counts& counts() const { return counts_; }
    // Machines that were neither deleted nor failed.
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
    std::map<std::string, Machine> machines_;     // by name, which is the order of creation
    std::map<std::string, std::string> answers_;  // to requests for machines, by the request's name
    std::map<std::string, std::uint32_t> created_in_zone_, usable_in_zone_;
    std::map<std::string, double> zone_back_at_;
    std::uint64_t next_machine_ = 0;
    Counts counts_;
    event_loop::LifetimeGuard guard_;
};

}  // namespace coralhitch::scale

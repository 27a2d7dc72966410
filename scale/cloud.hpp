// The cloud as the protocol describes it: machines of one type, rented, listed late, deleted.
#pragma once
#include <functional>
#include <map>
#include <random>
#include <vector>

#include "event_loop/lifetime_guard.hpp"
#include "event_loop/timers.hpp"
#include "event_loop/token_bucket.hpp"
#include "http/message.hpp"
#include "protocol/model.hpp"
#include "scale/experiment.hpp"

namespace coralhitch::scale {

// Where machines are: the processes that hold the hollow workers.
class Machines {
  public:
    virtual ~Machines() = default;
    virtual void up(const protocol::Host& host) = 0;
    // `done` once the machines and all on them are gone.
    virtual void remove(const std::vector<std::string>& ids, std::function<void()> done) = 0;
    // They give no answer any more, and run nothing.
    virtual void silence(const std::vector<std::string>& ids) = 0;
};

class Cloud {
  public:
    Cloud(event_loop::Timers& timers, const Experiment& experiment, Machines& machines);
    void handle(http::Request request, http::Reply reply);

    // Faults: machines fail together. Returns how many.
    std::size_t fail_zone(const std::string& zone, double back_s);  // none can be rented there until then
    std::size_t fail_rack();                                        // the fullest one
    std::size_t fail_machines(std::size_t n);                       // drawn

    struct Counts {
        std::uint64_t requests = 0, refused = 0, bytes_in = 0, bytes_out = 0, rented = 0, deleted = 0,
                      lists = 0, no_capacity = 0;
    };
    const Counts& counts() const { return counts_; }
    std::size_t alive() const;

  private:
    struct Machine {
        protocol::Host host;
        double rented_at = 0, up_at = 0, failed_at = 1e18, gone_at = 1e18;
        std::uint32_t rack = 0;
        bool usable() const { return failed_at > 1e17 && gone_at > 1e17; }
    };
    void execute(const http::Request& request, const http::Reply& reply);
    void answer(const http::Reply& reply, http::Response response);
    http::Response rent(const http::Request& request);
    http::Response list(const std::string& target);
    void remove(const std::vector<std::string>& ids, const http::Reply& reply);
    void create(const protocol::MachineType& type, const std::string& zone, bool spot);
    std::size_t fail(const std::vector<std::string>& ids);
    protocol::MachineType type() const;

    event_loop::Timers& timers_;
    const Experiment& experiment_;
    Machines& hollow_;
    std::mt19937_64 random_;
    event_loop::TokenBucket requests_;
    std::map<std::string, Machine> machines_;  // by name, which is the order of creation
    std::map<std::string, std::string> rentals_;
    std::map<std::string, std::uint32_t> in_zone_, usable_in_zone_;
    std::map<std::string, double> zone_back_;
    std::uint64_t next_ = 0;
    Counts counts_;
    event_loop::LifetimeGuard guard_;
};

}  // namespace coralhitch::scale

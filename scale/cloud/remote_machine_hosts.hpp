// Machines that live in the worker processes.
#pragma once
#include <string_view>

#include "http/client.hpp"
#include "protocol/model.hpp"
#include "scale/cloud/machine_hosts.hpp"
#include "scale/config/experiment.hpp"

namespace coralhitch::scale {

// The n-th machine is in process n modulo their number. `loop` and `experiment` must outlive this.
class RemoteMachineHosts : public MachineHosts {
  public:
    RemoteMachineHosts(event_loop::EventLoop& loop, const Experiment& experiment);
    void boot(const protocol::Host& host) override;
    void remove(const std::vector<std::string>& ids, std::function<void()> done) override;
    void silence(const std::vector<std::string>& ids) override;

  private:
    [[nodiscard]] std::uint32_t process_of(const std::string& id) const;
    void send(std::uint32_t process, std::string_view path, std::string body,
              const std::function<void()>& done);
    // To each process what it has of the machines; `done` once all have answered.
    void send_to_all(const std::vector<std::string>& ids, std::string_view path,
                     const std::function<void()>& done);

    const Experiment& experiment_;
    http::Client http_;
};

}  // namespace coralhitch::scale

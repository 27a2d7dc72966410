// Machines that the worker processes simulate.
#pragma once
#include <string_view>

#include "http/client.hpp"
#include "protocol/model.hpp"
#include "scale/cloud/machine_hosts.hpp"
#include "scale/config/experiment.hpp"

namespace coralhitch::scale {

// Sends commands to the worker processes. Machine number n is in process n modulo the number of worker
// processes. If a process does not answer, an error is logged and the command counts as done.
class RemoteMachineHosts : public MachineHosts {
  public:
    // `loop` and `experiment` must outlive this.
    RemoteMachineHosts(event_loop::EventLoop& loop, const Experiment& experiment);
    void boot(const protocol::Host& host) override;
    void remove(const std::vector<std::string>& ids, std::function<void()> done) override;
    void silence(const std::vector<std::string>& ids) override;

  private:
    [[nodiscard]] std::uint32_t process_of(const std::string& id) const;
    void send(std::uint32_t process, std::string_view path, std::string body,
              const std::function<void()>& done);
    // Sends each process the ids of its machines. Calls `done` once all processes have answered or timed out.
    void send_to_all(const std::vector<std::string>& ids, std::string_view path,
                     const std::function<void()>& done);

    const Experiment& experiment_;
    http::Client http_;
};

}  // namespace coralhitch::scale

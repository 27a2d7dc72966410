#include "scale/cloud/remote_machine_hosts.hpp"

#include <spdlog/spdlog.h>

#include <map>
#include <memory>
#include <nlohmann/json.hpp>

#include "scale/process/control_server.hpp"
#include "scale/protocol/cloud_messages.hpp"

namespace coralhitch::scale {

RemoteMachineHosts::RemoteMachineHosts(event_loop::EventLoop& loop, const Experiment& experiment)
    : experiment_(experiment), http_(loop, control_client_limits()) {}

void RemoteMachineHosts::boot(const protocol::Host& host) {
    nlohmann::json body{
        {"id", host.id}, {"addr", host.addr}, {"type", host.type}, {"zone", host.zone}, {"spot", host.spot}};
    send(process_of(host.id), control_paths::machine_up, body.dump(), [] {});
}
void RemoteMachineHosts::remove(const std::vector<std::string>& ids, std::function<void()> done) {
    send_to_all(ids, control_paths::remove_machines, done);
}
void RemoteMachineHosts::silence(const std::vector<std::string>& ids) {
    send_to_all(ids, control_paths::silence_machines, [] {});
}

std::uint32_t RemoteMachineHosts::process_of(const std::string& id) const {
    auto number = std::stoul(id.substr(id.find('-') + 1));
    return static_cast<std::uint32_t>(number % experiment_.worker_processes);
}

void RemoteMachineHosts::send(std::uint32_t process, std::string_view path, std::string body,
                              const std::function<void()>& done) {
    http_.send(experiment_.worker_control_addr(process), {"POST", std::string(path), std::move(body)},
               control_timeout_s, [done](const std::optional<http::Response>& response) {
                   if (!response || response->status != 200)
                       spdlog::error("cloud: a worker process did not answer, or answered with an error");
                   done();
               });
}

void RemoteMachineHosts::send_to_all(const std::vector<std::string>& ids, std::string_view path,
                                     const std::function<void()>& done) {
    std::map<std::uint32_t, std::vector<std::string>> by_process;
    for (auto& id : ids) by_process[process_of(id)].push_back(id);
    if (by_process.empty()) return done();
    auto left = std::make_shared<std::size_t>(by_process.size());
    for (auto& [process, some] : by_process)
        send(process, path, messages::machines_body(some), [left, done] {
            if (--*left == 0) done();
        });
}

}  // namespace coralhitch::scale

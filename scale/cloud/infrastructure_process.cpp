// The infrastructure process: simulates the key-value store and the cloud.
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "http/server.hpp"
#include "scale/cloud/remote_machine_hosts.hpp"
#include "scale/cloud/simulated_cloud.hpp"
#include "scale/kv/in_memory_kv_store.hpp"
#include "scale/process/control_server.hpp"
#include "scale/process/process_roles.hpp"
#include "scale/process/timer_lateness.hpp"

namespace coralhitch::scale {
namespace {
using nlohmann::json;

json to_json(const InMemoryKvStore::Counts& counts) {
    return {{"requests", counts.requests},  {"reads", counts.reads},       {"watches", counts.watches},
            {"renewals", counts.renewals},  {"txns", counts.transactions}, {"conflicts", counts.conflicts},
            {"changes", counts.changes},    {"refused", counts.refused},   {"bytes_in", counts.bytes_in},
            {"bytes_out", counts.bytes_out}};
}
json to_json(const SimulatedCloud::Counts& counts) {
    return {{"requests", counts.requests},       {"refused", counts.refused},    {"lists", counts.lists},
            {"no_capacity", counts.no_capacity}, {"rented", counts.created},     {"deleted", counts.deleted},
            {"bytes_in", counts.bytes_in},       {"bytes_out", counts.bytes_out}};
}

// The simulated services of the process, and its control requests.
class Infrastructure {
  public:
    Infrastructure(event_loop::EventLoop& loop, const Experiment& experiment)
        : lateness_(loop),
          hosts_(loop, experiment),
          kv_store_(loop, experiment.kv_store, experiment.seed * 5 + 1),
          cloud_(loop, experiment, hosts_) {}

    InMemoryKvStore& kv_store() { return kv_store_; }
    SimulatedCloud& cloud() { return cloud_; }

    void handle_control(const http::Request& request, const http::Reply& reply) {
        if (request.target == control_paths::fault) {
            auto machines = inject_fault(json::parse(request.body));
            return reply({200, json{{"machines", machines}}.dump()});
        }
        reply({200, stats().dump()});
    }

  private:
    // Returns the number of machines that failed. Throws if the kind of fault is unknown.
    std::size_t inject_fault(const json& fault) {
        auto kind = fault.at("kind").get<std::string>();
        if (kind == "zone")
            return cloud_.fail_zone(fault.at("which").get<std::string>(), fault.at("back_s").get<double>());
        if (kind == "rack") return cloud_.fail_rack();
        if (kind == "machines") return cloud_.fail_machines(fault.at("machines").get<std::size_t>());
        if (kind == "state_outage") {
            kv_store_.begin_outage(fault.at("back_s").get<double>());
            return 0;
        }
        throw std::runtime_error("no such fault");
    }
    [[nodiscard]] json stats() const {
        return {{"state", to_json(kv_store_.counts())},
                {"cloud", to_json(cloud_.counts())},
                {"machines", cloud_.usable_machines()},
                {"lateness_s", lateness_.longest_s()},
                {"late", lateness_.over_100_ms()},
                {"leader", kv_store_.value("leader")},
                {"state_bytes", kv_store_.bytes_by_key_space()},
                {"state_keys", kv_store_.keys_by_key_space()},
                {"state_changes", kv_store_.changes_by_key_space()}};
    }

    TimerLateness lateness_;
    RemoteMachineHosts hosts_;
    InMemoryKvStore kv_store_;
    SimulatedCloud cloud_;
};

}  // namespace

int run_infrastructure_process(const Experiment& experiment) {
    event_loop::EventLoop loop;
    Infrastructure infrastructure(loop, experiment);
    http::Server kv_server(loop, experiment.kv_store_addr(), {},
                           [&](const http::Request& request, const http::Reply& reply) {
                               infrastructure.kv_store().handle(request, reply);
                           });
    http::Server cloud_server(loop, experiment.cloud_addr(), {},
                              [&](const http::Request& request, const http::Reply& reply) {
                                  infrastructure.cloud().handle(request, reply);
                              });
    auto control = control_server(loop, experiment.infrastructure_control_addr(),
                                  [&](const http::Request& request, const http::Reply& reply) {
                                      infrastructure.handle_control(request, reply);
                                  });
    loop.run();
    return 0;
}

}  // namespace coralhitch::scale

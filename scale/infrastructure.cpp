// The process that holds the key-value store and the cloud.
#include <spdlog/spdlog.h>

#include "protocol/model.hpp"
#include "scale/cloud.hpp"
#include "scale/outside.hpp"
#include "scale/role.hpp"
#include "scale/state_service.hpp"

namespace coralhitch::scale {
namespace {
using nlohmann::json;

constexpr double control_timeout_s = 30;

// Machines live in the workers' processes: the n-th machine in process n modulo their number.
class RemoteMachines : public Machines {
  public:
    RemoteMachines(event_loop::EventLoop& loop, const Experiment& e)
        : experiment_(e), http_(loop, control_limits()) {}
    void up(const protocol::Host& h) override {
        json body{{"id", h.id}, {"addr", h.addr}, {"type", h.type}, {"zone", h.zone}, {"spot", h.spot}};
        tell(process_of(h.id), "/up", body.dump(), [] {});
    }
    void remove(const std::vector<std::string>& ids, std::function<void()> done) override {
        each(ids, "/remove", std::move(done));
    }
    void silence(const std::vector<std::string>& ids) override {
        each(ids, "/silence", [] {});
    }

  private:
    std::uint32_t process_of(const std::string& id) const {
        return static_cast<std::uint32_t>(std::stoul(id.substr(id.find('-') + 1)) %
                                          experiment_.worker_processes);
    }
    void tell(std::uint32_t process, const std::string& path, std::string body, std::function<void()> done) {
        http_.send(experiment_.workers_control(process), {"POST", path, std::move(body)}, control_timeout_s,
                   [done](std::optional<http::Response> r) {
                       if (!r || r->status != 200)
                           spdlog::error("cloud: a process of workers gave no answer");
                       done();
                   });
    }
    void each(const std::vector<std::string>& ids, const std::string& path, std::function<void()> done) {
        std::map<std::uint32_t, std::vector<std::string>> by_process;
        for (auto& id : ids) by_process[process_of(id)].push_back(id);
        if (by_process.empty()) return done();
        auto left = std::make_shared<std::size_t>(by_process.size());
        for (auto& [process, some] : by_process)
            tell(process, path, outside::machines_body(some), [left, done] {
                if (--*left == 0) done();
            });
    }
    const Experiment& experiment_;
    http::Client http_;
};

json counts_json(const StateService::Counts& c) {
    return {{"requests", c.requests},  {"reads", c.reads},     {"watches", c.watches},
            {"renewals", c.renewals},  {"txns", c.txns},       {"conflicts", c.conflicts},
            {"changes", c.changes},    {"refused", c.refused}, {"bytes_in", c.bytes_in},
            {"bytes_out", c.bytes_out}};
}
json counts_json(const Cloud::Counts& c) {
    return {{"requests", c.requests},       {"refused", c.refused},    {"lists", c.lists},
            {"no_capacity", c.no_capacity}, {"rented", c.rented},      {"deleted", c.deleted},
            {"bytes_in", c.bytes_in},       {"bytes_out", c.bytes_out}};
}

std::size_t make_fault(const json& j, StateService& state, Cloud& cloud) {
    auto kind = j.at("kind").get<std::string>();
    if (kind == "zone")
        return cloud.fail_zone(j.at("which").get<std::string>(), j.at("back_s").get<double>());
    if (kind == "rack") return cloud.fail_rack();
    if (kind == "machines") return cloud.fail_machines(j.at("machines").get<std::size_t>());
    if (kind == "state_outage") {
        state.outage(j.at("back_s").get<double>());
        return 0;
    }
    throw std::runtime_error("no such fault");
}
}  // namespace

int run_infrastructure(const Experiment& e) {
    event_loop::EventLoop loop;
    Lateness lateness(loop);
    RemoteMachines machines(loop, e);
    StateService state(loop, e.state, e.seed * 5 + 1);
    Cloud cloud(loop, e, machines);
    http::Server state_server(loop, e.state_addr(), {}, [&](http::Request r, http::Reply reply) {
        state.handle(std::move(r), std::move(reply));
    });
    http::Server cloud_server(loop, e.cloud_addr(), {}, [&](http::Request r, http::Reply reply) {
        cloud.handle(std::move(r), std::move(reply));
    });
    auto control = control_server(loop, e.cloud_control(), [&](const http::Request& r, http::Reply reply) {
        if (r.target == "/fault")
            return reply({200, json{{"machines", make_fault(json::parse(r.body), state, cloud)}}.dump()});
        json out{{"state", counts_json(state.counts())},
                 {"cloud", counts_json(cloud.counts())},
                 {"machines", cloud.alive()},
                 {"lateness_s", lateness.most_s()},
                 {"late", lateness.over_100_ms()},
                 {"leader", state.value("leader")},
                 {"state_bytes", state.bytes_by_kind()},
                 {"state_keys", state.keys_by_kind()},
                 {"state_changes", state.changes_by_kind()}};
        reply({200, out.dump()});
    });
    loop.run();
    return 0;
}

}  // namespace coralhitch::scale

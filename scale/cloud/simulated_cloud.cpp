#include "scale/cloud/simulated_cloud.hpp"

#include <algorithm>
#include <cstdio>
#include <tuple>

#include "protocol/cloud_api.hpp"
#include "protocol/records.hpp"
#include "scale/protocol/cloud_messages.hpp"
#include "scale/protocol/query_parameter.hpp"

namespace coralhitch::scale {
namespace {

// These values are set by the protocol.
constexpr std::size_t max_machines_per_creation = 50, max_machines_per_deletion = 100,
                      max_page_machines = 500;
constexpr double failed_state_delay_s = 30, request_burst_s = 2;
// Bounds of a machine's boot time, as ratios to the boot time of its type.
constexpr double min_boot_time_ratio = 0.6, max_boot_time_ratio = 1.5;

constexpr const char* machine_type_name = "hollow";

std::string machine_name(std::uint64_t number) {
    char name[32];
    std::snprintf(name, sizeof name, "vm-%06llu", static_cast<unsigned long long>(number));
    return name;
}

}  // namespace

protocol::HostState SimulatedCloud::Machine::state_at(double time) const {
    if (failed_at && time >= *failed_at + failed_state_delay_s) return protocol::HostState::failed;
    return time >= up_at ? protocol::HostState::running : protocol::HostState::booting;
}

SimulatedCloud::SimulatedCloud(event_loop::Timers& timers, const Experiment& experiment, MachineHosts& hosts)
    : timers_(timers),
      experiment_(experiment),
      hosts_(hosts),
      random_(experiment.seed * 7 + 3),
      request_budget_(experiment.cloud.rps, experiment.cloud.rps * request_burst_s) {}

protocol::MachineType SimulatedCloud::type() const {
    protocol::MachineType type;
    type.name = machine_type_name;
    double slots = experiment_.slots();
    type.capacity = {slots, 0, slots};
    type.cache_gb = experiment_.worker.cache_gb;
    type.fetch_gb_per_s = experiment_.worker.fetch_gb_per_s;
    type.price = 1;
    type.spot_price = 0.9;
    type.boot_s = experiment_.worker.boot_s;
    type.zones = experiment_.zones;
    return type;
}
std::size_t SimulatedCloud::usable_machines() const {
    std::size_t sum = 0;
    for (auto& [zone, count] : usable_in_zone_) sum += count;
    return sum;
}

// --- Requests -------------------------------------------------------------------------------------------

void SimulatedCloud::answer(const http::Reply& reply, http::Response response) {
    counts_.bytes_out += response.body.size();
    if (response.status == 429) ++counts_.refused;
    double latency_s =
        std::exponential_distribution<double>(1)(random_) * experiment_.cloud.latency_ms / 1000;
    timers_.after(latency_s, guard_([reply, response = std::move(response)] { reply(response); }));
}

void SimulatedCloud::handle(const http::Request& request, const http::Reply& reply) {
    ++counts_.requests;
    counts_.bytes_in += request.target.size() + request.body.size();
    double now = timers_.now();
    if (!request_budget_.has(now)) return answer(reply, {429, "{}"});
    request_budget_.take(now);
    try {
        execute(request, reply);
    } catch (const std::exception&) {
        answer(reply, {400, R"({"error":"malformed"})"});
    }
}

void SimulatedCloud::execute(const http::Request& request, const http::Reply& reply) {
    if (request.target == protocol::paths::types)
        return answer(reply, {200, protocol::stored_types(std::vector{type()})});
    if (request.target == protocol::paths::hosts_delete)
        return remove(messages::parse_machines(request.body), reply);
    if (request.target == protocol::paths::hosts && request.method == "POST")
        return answer(reply, create(request));
    if (request.target.starts_with(protocol::paths::hosts)) return answer(reply, list(request.target));
    answer(reply, {404, "{}"});
}

http::Response SimulatedCloud::create(const http::Request& request) {
    auto wanted = messages::parse_create_request(request.body);
    auto& zones = experiment_.zones;
    bool zone_exists = std::find(zones.begin(), zones.end(), wanted.zone) != zones.end();
    if (wanted.type != machine_type_name || !zone_exists || wanted.count == 0 ||
        wanted.count > max_machines_per_creation)
        return {400, R"({"error":"malformed"})"};
    if (auto it = answers_.find(wanted.name); it != answers_.end()) return {200, it->second};
    // Each zone has capacity for an equal share of the workers, rounded up. All zones together have no more
    // machines than the experiment has workers.
    std::size_t share = (experiment_.workers + zones.size() - 1) / zones.size();
    std::size_t used_in_zone = usable_in_zone_[wanted.zone], used = usable_machines();
    bool zone_is_down = zone_back_at_[wanted.zone] > timers_.now();
    if (zone_is_down || used_in_zone >= share || used >= experiment_.workers) {
        ++counts_.no_capacity;
        return {503, R"({"error":"no capacity"})"};
    }
    auto count = std::min<std::size_t>({wanted.count, share - used_in_zone, experiment_.workers - used});
    std::vector<std::string> names;
    for (std::size_t made = 0; made < count; ++made)
        names.push_back(create_machine(wanted.zone, wanted.spot));
    counts_.created += count;
    return {200, answers_[wanted.name] = messages::machines_body(names)};
}

std::string SimulatedCloud::create_machine(const std::string& zone, bool spot) {
    auto name = machine_name(next_machine_);
    Machine machine;
    machine.host = {name,
                    experiment_.worker_addr(next_machine_),
                    machine_type_name,
                    zone,
                    spot,
                    protocol::HostState::booting,
                    0};
    ++next_machine_;
    machine.rack = created_in_zone_[zone]++ / experiment_.machines_per_rack;
    machine.created_at = timers_.now();
    machine.up_at =
        machine.created_at + type().boot_s * std::uniform_real_distribution<double>(
                                                 min_boot_time_ratio, max_boot_time_ratio)(random_);
    ++usable_in_zone_[zone];
    timers_.after(machine.up_at - machine.created_at, guard_([this, name] {
                      auto it = machines_.find(name);
                      if (it != machines_.end() && it->second.is_usable()) hosts_.boot(it->second.host);
                  }));
    machines_[name] = std::move(machine);
    return name;
}

void SimulatedCloud::remove(const std::vector<std::string>& ids, const http::Reply& reply) {
    if (ids.size() > max_machines_per_deletion) return answer(reply, {400, "{}"});
    std::vector<std::string> removed;
    for (auto& id : ids) {
        auto it = machines_.find(id);
        if (it == machines_.end() || it->second.deleted_at) continue;
        if (it->second.is_usable()) --usable_in_zone_[it->second.host.zone];
        it->second.deleted_at = timers_.now();
        removed.push_back(id);
        ++counts_.deleted;
    }
    hosts_.remove(removed, guard_([this, reply] { answer(reply, {200, "{}"}); }));
}

// Lists the machines as they were up to `list_lag_s` seconds ago, which the protocol allows.
http::Response SimulatedCloud::list(const std::string& target) {
    ++counts_.lists;
    auto since = query_parameter(target, "since"), limit_text = query_parameter(target, "limit");
    std::size_t limit = limit_text.empty() ? max_page_machines
                                           : std::min<std::size_t>(max_page_machines, std::stoul(limit_text));
    double lag_s = experiment_.cloud.list_lag_s * std::uniform_real_distribution<double>(0.5, 1)(random_);
    double time = timers_.now() - lag_s;
    std::vector<protocol::Host> hosts;
    bool more = false;
    for (auto it = machines_.upper_bound(since); it != machines_.end(); ++it) {
        auto& machine = it->second;
        if (machine.created_at > time || (machine.deleted_at && *machine.deleted_at <= time)) continue;
        if (hosts.size() >= limit) {
            more = true;
            break;
        }
        auto host = machine.host;
        host.age_s = time - machine.created_at;
        host.state = machine.state_at(time);
        hosts.push_back(std::move(host));
    }
    return {200, messages::hosts_body(hosts, more)};
}

// --- Faults ---------------------------------------------------------------------------------------------

std::size_t SimulatedCloud::fail(const std::vector<std::string>& ids) {
    for (auto& id : ids) {
        auto& machine = machines_.at(id);
        machine.failed_at = timers_.now();
        --usable_in_zone_[machine.host.zone];
    }
    hosts_.silence(ids);
    return ids.size();
}

std::size_t SimulatedCloud::fail_zone(const std::string& zone, double back_s) {
    zone_back_at_[zone] = timers_.now() + back_s;
    std::vector<std::string> ids;
    for (auto& [id, machine] : machines_)
        if (machine.is_usable() && machine.host.zone == zone) ids.push_back(id);
    return fail(ids);
}

std::size_t SimulatedCloud::fail_rack() {
    struct Rack {
        std::string zone;
        std::uint32_t number = 0;
        bool operator<(const Rack& other) const {
            return std::tie(zone, number) < std::tie(other.zone, other.number);
        }
    };
    std::map<Rack, std::vector<std::string>> racks;
    for (auto& [id, machine] : machines_)
        if (machine.is_usable()) racks[{machine.host.zone, machine.rack}].push_back(id);
    std::vector<std::string> fullest;
    for (auto& [rack, ids] : racks)
        if (ids.size() > fullest.size()) fullest = ids;
    return fail(fullest);
}

std::size_t SimulatedCloud::fail_machines(std::size_t count) {
    std::vector<std::string> ids;
    for (auto& [id, machine] : machines_)
        if (machine.is_usable()) ids.push_back(id);
    std::shuffle(ids.begin(), ids.end(), random_);
    ids.resize(std::min(count, ids.size()));
    return fail(ids);
}

}  // namespace coralhitch::scale

#include "cloud/cloud_client.hpp"

#include <algorithm>
#include <utility>

#include "protocol/cloud_api.hpp"
#include "protocol/malformed.hpp"

namespace coralhitch::cloud {
using protocol::Malformed;

namespace {
// Part of the cloud's request limit that this controller uses. The rest is left for the other controllers,
// which send requests occasionally.
constexpr double budget_share = 0.7;
constexpr double timeout_heartbeat_periods = 2;
constexpr double min_send_delay_s = 0.005;
constexpr int page_size = 500;  // machines

CreateMachinesResult parse_create_response(const std::optional<http::Response>& response) {
    using Status = CreateMachinesResult::Status;
    try {
        if (response && response->status == 200)
            return {Status::created, protocol::parse_rented(response->body)};
        if (response && response->status == 503 && response->body.find("no capacity") != std::string::npos)
            return {Status::no_capacity, {}};
    } catch (const Malformed&) {
    }
    return {};
}
}  // namespace

CloudClient::CloudClient(event_loop::Timers& timers, http::Requester& http, const config::Settings& settings)
    : timers_(timers),
      http_(http),
      settings_(settings),
      budget_(settings.cloud_rps * budget_share, std::max(1.0, settings.cloud_rps * budget_share)) {}

void CloudClient::enqueue(http::Request request, QueuePosition position, http::Result done) {
    QueuedRequest queued{std::move(request), std::move(done)};
    if (position == QueuePosition::front)
        queue_.push_front(std::move(queued));
    else
        queue_.push_back(std::move(queued));
    send_queued();
}

void CloudClient::send_queued() {
    double now = timers_.now();
    while (!queue_.empty() && budget_.has(now)) {
        budget_.take(now);
        auto next = std::move(queue_.front());
        queue_.pop_front();
        http_.send(settings_.cloud_addr, std::move(next.request),
                   settings_.heartbeat_interval_s * timeout_heartbeat_periods, std::move(next.done));
    }
    if (queue_.empty() || send_scheduled_) return;
    send_scheduled_ = true;
    timers_.after(std::max(budget_.seconds_until_available(now), min_send_delay_s), [this] {
        send_scheduled_ = false;
        send_queued();
    });
}

void CloudClient::list_machine_types(const MachineTypesCallback& done) {
    enqueue({"GET", std::string(protocol::paths::types), {}}, QueuePosition::back,
            [done](const std::optional<http::Response>& response) {
                try {
                    if (response && response->status == 200)
                        return done(protocol::parse_types(response->body));
                } catch (const Malformed&) {
                }
                done(std::nullopt);
            });
}

void CloudClient::list_machines(const MachinesCallback& done) {
    list_page(std::make_shared<Machines>(), "", done);
}

// Lists the machines whose ids follow `after`, on this and all further pages.
void CloudClient::list_page(const std::shared_ptr<Machines>& listed, const std::string& after,
                            const MachinesCallback& done) {
    enqueue({"GET", protocol::paths::host_list(after, page_size), {}}, QueuePosition::back,
            [this, listed, done](const std::optional<http::Response>& response) {
                try {
                    if (!response || response->status != 200) return done(std::nullopt);
                    auto page = protocol::parse_hosts(response->body);
                    for (auto& machine : page.hosts) listed->push_back(std::move(machine));
                    if (!page.more || listed->empty()) return done(std::move(*listed));
                    list_page(listed, listed->back().id, done);
                } catch (const Malformed&) {
                    done(std::nullopt);
                }
            });
}

void CloudClient::create_machines(const CreateMachinesRequest& request, const CreateMachinesCallback& done) {
    auto body = protocol::rent_request(request.name, request.type, request.zone, request.spot, request.count);
    enqueue({"POST", std::string(protocol::paths::hosts), std::move(body)}, QueuePosition::back,
            [done](const std::optional<http::Response>& response) { done(parse_create_response(response)); });
}

void CloudClient::delete_machines(const std::vector<std::string>& machines,
                                  const DeleteMachinesCallback& done) {
    enqueue({"POST", std::string(protocol::paths::hosts_delete), protocol::delete_request(machines)},
            QueuePosition::front, [done](const std::optional<http::Response>& response) {
                done(response && response->status == 200);
            });
}

}  // namespace coralhitch::cloud

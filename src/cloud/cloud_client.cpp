#include "cloud/cloud_client.hpp"

#include <algorithm>
#include <memory>

namespace coralhitch::cloud {
using protocol::Malformed;

CloudClient::CloudClient(event_loop::Timers& timers, http::Requester& http, const config::Settings& s)
    : timers_(timers),
      http_(http),
      settings_(s),
      // The other controllers ask now and then too, hence not all of it.
      bucket_(s.cloud_rps * 0.7, std::max(1.0, s.cloud_rps * 0.7)) {}

void CloudClient::submit(http::Request r, bool urgent, http::Result done) {
    Call c{std::move(r), std::move(done)};
    if (urgent)
        queue_.push_front(std::move(c));
    else
        queue_.push_back(std::move(c));
    pump();
}
void CloudClient::pump() {
    double now = timers_.now();
    while (!queue_.empty() && bucket_.has(now)) {
        bucket_.take(now);
        auto c = std::move(queue_.front());
        queue_.pop_front();
        http_.send(settings_.cloud_addr, std::move(c.request), settings_.report_s * 2, std::move(c.done));
    }
    if (queue_.empty() || armed_) return;
    armed_ = true;
    timers_.after(std::max(bucket_.seconds_until_available(now), 0.005), [this] {
        armed_ = false;
        pump();
    });
}

void CloudClient::types(std::function<void(std::optional<std::vector<protocol::MachineType>>)> done) {
    submit({"GET", std::string(protocol::paths::types), {}}, false, [done](std::optional<http::Response> r) {
        try {
            if (r && r->status == 200) return done(protocol::parse_types(r->body));
        } catch (const Malformed&) {
        }
        done(std::nullopt);
    });
}
void CloudClient::hosts(std::function<void(std::optional<std::vector<protocol::Host>>)> done) {
    host_page(std::make_shared<std::vector<protocol::Host>>(), "", std::move(done));
}
void CloudClient::host_page(std::shared_ptr<std::vector<protocol::Host>> acc, std::string after,
                            std::function<void(std::optional<std::vector<protocol::Host>>)> done) {
    submit({"GET", protocol::paths::host_list(after, 500), {}}, false,
           [this, acc, done](std::optional<http::Response> r) {
               try {
                   if (!r || r->status != 200) return done(std::nullopt);
                   auto page = protocol::parse_hosts(r->body);
                   for (auto& h : page.hosts) acc->push_back(std::move(h));
                   if (!page.more || acc->empty()) return done(std::move(*acc));
                   host_page(acc, acc->back().id, done);
               } catch (const Malformed&) {
                   done(std::nullopt);
               }
           });
}
void CloudClient::rent(const std::string& name, const std::string& type, const std::string& zone, bool spot,
                       int count, std::function<void(CreateMachinesResult)> done) {
    submit(
        {"POST", std::string(protocol::paths::hosts), protocol::rent_request(name, type, zone, spot, count)},
        false, [done](std::optional<http::Response> r) {
            CreateMachinesResult out;
            try {
                if (r && r->status == 200)
                    out = {CreateMachinesResult::Status::rented, protocol::parse_rented(r->body)};
                else if (r && r->status == 503 && r->body.find("no capacity") != std::string::npos)
                    out.status = CreateMachinesResult::Status::no_capacity;
            } catch (const Malformed&) {
            }
            done(std::move(out));
        });
}
void CloudClient::remove(std::vector<std::string> machines, std::function<void(bool)> done) {
    submit({"POST", std::string(protocol::paths::hosts_delete), protocol::delete_request(machines)}, true,
           [done](std::optional<http::Response> r) { done(r && r->status == 200); });
}

}  // namespace coralhitch::cloud

#pragma once
#include <deque>

#include "config/settings.hpp"
#include "event_loop/timers.hpp"
#include "event_loop/token_bucket.hpp"
#include "http/message.hpp"
#include "protocol/protocol.hpp"

namespace coralhitch::cloud {

struct CreateMachinesResult {
    enum class Status { rented, no_capacity, failed } status = Status::failed;
    std::vector<std::string> machines;
};

class CloudClient {
  public:
    CloudClient(event_loop::Timers& timers, http::Requester& http, const config::Settings& settings);
    void types(std::function<void(std::optional<std::vector<protocol::MachineType>>)> done);
    void hosts(std::function<void(std::optional<std::vector<protocol::Host>>)> done);
    void rent(const std::string& name, const std::string& type, const std::string& zone, bool spot, int count,
              std::function<void(CreateMachinesResult)> done);
    // true: by the time of the answer the machines and all on them are gone
    void remove(std::vector<std::string> machines, std::function<void(bool)> done);
    static constexpr int rent_most = 50;
    static constexpr std::size_t remove_most = 100;

  private:
    void submit(http::Request r, bool urgent, http::Result done);
    void pump();
    void host_page(std::shared_ptr<std::vector<protocol::Host>> acc, std::string after,
                   std::function<void(std::optional<std::vector<protocol::Host>>)> done);
    struct Call {
        http::Request request;
        http::Result done;
    };
    event_loop::Timers& timers_;
    http::Requester& http_;
    const config::Settings& settings_;
    event_loop::TokenBucket bucket_;
    std::deque<Call> queue_;
    bool armed_ = false;
};

}  // namespace coralhitch::cloud

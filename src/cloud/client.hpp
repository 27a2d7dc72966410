#pragma once
#include <deque>

#include "config/settings.hpp"
#include "http/message.hpp"
#include "loop/bucket.hpp"
#include "loop/timers.hpp"
#include "wire/protocol.hpp"

namespace coralhitch::cloud {

struct Rented {
    enum class Status { rented, no_capacity, failed } status = Status::failed;
    std::vector<std::string> machines;
};

class Client {
  public:
    Client(loop::Timers& timers, http::Requester& http, const config::Settings& settings);
    void types(std::function<void(std::optional<std::vector<wire::MachineType>>)> done);
    void hosts(std::function<void(std::optional<std::vector<wire::Host>>)> done);
    void rent(const std::string& name, const std::string& type, const std::string& zone, bool spot, int count,
              std::function<void(Rented)> done);
    // true: by the time of the answer the machines and all on them are gone
    void remove(std::vector<std::string> machines, std::function<void(bool)> done);
    static constexpr int rent_most = 50;
    static constexpr std::size_t remove_most = 100;

  private:
    void submit(http::Request r, bool urgent, http::Result done);
    void pump();
    void host_page(std::shared_ptr<std::vector<wire::Host>> acc, std::string after,
                   std::function<void(std::optional<std::vector<wire::Host>>)> done);
    struct Call {
        http::Request request;
        http::Result done;
    };
    loop::Timers& timers_;
    http::Requester& http_;
    const config::Settings& settings_;
    loop::Bucket bucket_;
    std::deque<Call> queue_;
    bool armed_ = false;
};

}  // namespace coralhitch::cloud

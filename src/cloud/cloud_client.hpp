// Client of the cloud's API, which lists, creates and deletes machines within this controller's share of the
// request budget.
//
// Requests are queued and sent in order, deletions before all others, because the tasks of an unreachable
// machine are started on another machine only once its deletion is confirmed. All functions and callbacks run
// on the event loop's thread.
#pragma once
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "event_loop/timers.hpp"
#include "event_loop/token_bucket.hpp"
#include "http/message.hpp"
#include "protocol/model.hpp"

namespace coralhitch::cloud {

// A request to create `count` machines of one type in one zone.
struct CreateMachinesRequest {
    // Identifies the request. A repeated request with the same name creates no further machines.
    std::string name;
    std::string type;
    std::string zone;
    bool spot = false;
    int count = 0;
};

// The outcome of a request to create machines.
struct CreateMachinesResult {
    enum class Status {
        created,      // machines were created, possibly fewer than requested
        no_capacity,  // no machine was created
        failed,  // no usable answer: machines may have been created; repeat the request with the same name
    };
    Status status = Status::failed;
    std::vector<std::string> machines;  // ids of the machines created
};

// Sends requests to the cloud's API.
class CloudClient {
  public:
    // Maximum numbers of machines that one request may create and delete.
    static constexpr int max_machines_per_create = 50;
    static constexpr std::size_t max_machines_per_delete = 100;

    // Receive a list, or nullopt if the cloud gave no usable answer.
    using MachineTypesCallback = std::function<void(std::optional<std::vector<protocol::MachineType>>)>;
    using MachinesCallback = std::function<void(std::optional<std::vector<protocol::Host>>)>;
    using CreateMachinesCallback = std::function<void(CreateMachinesResult)>;
    // Receives true if the machines and everything that ran on them are terminated at the time of the answer,
    // and false if nothing is known about them.
    using DeleteMachinesCallback = std::function<void(bool deleted)>;

    // The referenced objects must outlive the client, and the client must outlive its pending timers and
    // requests.
    CloudClient(event_loop::Timers& timers, http::Requester& http, const config::Settings& settings);
    // Each function sends one request, or one for each page of a list, and calls `done` once.
    void list_machine_types(const MachineTypesCallback& done);
    void list_machines(const MachinesCallback& done);
    void create_machines(const CreateMachinesRequest& request, const CreateMachinesCallback& done);
    void delete_machines(const std::vector<std::string>& machines, const DeleteMachinesCallback& done);

  private:
    enum class QueuePosition { front, back };
    struct QueuedRequest {
        http::Request request;
        http::Result done;
    };
    using Machines = std::vector<protocol::Host>;
    void enqueue(http::Request request, QueuePosition position, http::Result done);
    void send_queued();
    void list_page(const std::shared_ptr<Machines>& listed, const std::string& after,
                   const MachinesCallback& done);

    event_loop::Timers& timers_;
    http::Requester& http_;
    const config::Settings& settings_;
    event_loop::TokenBucket budget_;
    std::deque<QueuedRequest> queue_;
    bool send_scheduled_ = false;
};

}  // namespace coralhitch::cloud

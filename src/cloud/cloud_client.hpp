// The cloud's API for machines: lists, creates and deletes them, within this controller's share of the
// request budget.
//
// Requests are queued and sent in order, deletions before all others: the tasks of an unreachable machine
// start elsewhere only once its deletion is confirmed. All functions and callbacks run on the event loop's
// thread.
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

struct CreateMachinesRequest {
    // Identifies the request: repeated under the same name, it creates nothing more.
    std::string name;
    std::string type, zone;
    bool spot = false;
    int count = 0;
};

struct CreateMachinesResult {
    enum class Status {
        created,      // perhaps fewer machines than requested
        no_capacity,  // none was created
        failed        // no usable answer: machines may have been created; repeat it under the same name
    } status = Status::failed;
    std::vector<std::string> machines;  // ids of those created
};

class CloudClient {
  public:
    // How many machines one request may create and delete.
    static constexpr int max_machines_per_create = 50;
    static constexpr std::size_t max_machines_per_delete = 100;

    // Lists are nullopt if the cloud gave no usable answer.
    using MachineTypesCallback = std::function<void(std::optional<std::vector<protocol::MachineType>>)>;
    using MachinesCallback = std::function<void(std::optional<std::vector<protocol::Host>>)>;
    using CreateMachinesCallback = std::function<void(CreateMachinesResult)>;
    // True: at the time of the answer the machines are terminated, and all that ran on them. False: nothing
    // is known.
    using DeleteMachinesCallback = std::function<void(bool deleted)>;

    CloudClient(event_loop::Timers& timers, http::Requester& http, const config::Settings& settings);
    void list_machine_types(const MachineTypesCallback& done);
    void list_machines(const MachinesCallback& done);
    void create_machines(const CreateMachinesRequest& request, const CreateMachinesCallback& done);
    void delete_machines(const std::vector<std::string>& machines, const DeleteMachinesCallback& done);

  private:
    enum class QueuePosition { front, back };
    struct Call {
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
    std::deque<Call> queue_;
    bool send_scheduled_ = false;
};

}  // namespace coralhitch::cloud

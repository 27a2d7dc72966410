// Stores records of machines in the key-value store, so that the next leader knows where tasks may be
// running.
//
// The first `run` command is sent to a machine only after the write of its record has been confirmed. A
// machine is deleted only after the mark for its deletion has been stored. MachineStore owns the registry of
// stored machines, and writes Machine::registration and Machine::deletion. Once a machine is stored, the
// instances placed on it become ready to start.
//
// Runs on the event loop's thread. The caller holds LeaderState::mutex during `store_if_new` and `update`.
#pragma once
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "kv/kv_client.hpp"
#include "leader/leader_part.hpp"
#include "machine_registry/machine_registry.hpp"
#include "protocol/model.hpp"

namespace coralhitch::leader {

// Keeps the stored records of machines up to date with the cluster state.
class MachineStore : private LeaderPart {
  public:
    using Record = machine_registry::StoredMachine;

    // `confirmed` is called after each confirmed write, without the mutex, since commands and deletions that
    // waited for the write are then due.
    MachineStore(const PartContext& context, kv::KvClient& kv, std::function<void()> confirmed);

    // Loads the records that earlier leaders stored from a list of the key-value store. Returns them. Called
    // once, before any other function.
    [[nodiscard]] std::vector<Record> load(const kv::ListResult& listed) { return registry_.load(listed); }
    // Stores the record of a machine that is up and has sent a status, unless it is stored or being stored.
    // Does nothing while its statuses have shown only the fencing token of an earlier leader, since the
    // machine may have been deleted after that.
    void store_if_new(cluster::Machine& machine);
    // Queues the machine's record to be written again.
    void update(const std::string& machine_id) { registry_.put(machine_id); }
    // Queues the record of a machine that no longer exists to be removed.
    void remove(const std::string& machine_id) { registry_.remove(machine_id); }
    // Sends the writes that are due. Called each tick.
    void flush() { registry_.flush(); }

  private:
    [[nodiscard]] std::optional<protocol::MachineRecord> record_of(const std::string& machine_id);
    void handle_stored(const std::vector<Record>& records);

    std::function<void()> confirmed_;
    machine_registry::MachineRegistry registry_;
};

}  // namespace coralhitch::leader

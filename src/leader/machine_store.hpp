// Which machines are stored at the key-value store, so that whoever leads next knows where tasks may be.
//
// A machine is stored, and that confirmed, before the first `run` goes to it; that a machine is to be deleted
// is stored before the deletion is asked for. Owns the registry of stored machines, and writes
// Machine::registration and Machine::deletion. Instances of a machine that has been stored become ready to
// start.
//
// On the event loop's thread. The caller holds LeaderState::mutex during `store_if_new` and `update`.
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

    // `confirmed` is called after each confirmed write, without the mutex: commands and deletions that waited
    // for it are due.
    MachineStore(const PartContext& context, kv::KvClient& kv, std::function<void()> confirmed);

    // What earlier leaders stored; once, before any other call.
    [[nodiscard]] std::vector<Record> load(const kv::ListResult& listed) { return registry_.load(listed); }
    // Stores a machine that is up and has reported, unless it is stored or being stored.
    void store_if_new(cluster::Machine& machine);
    // The machine's stored record is to be written again.
    void update(const std::string& machine_id) { registry_.put(machine_id); }
    // The machine is proven gone.
    void remove(const std::string& machine_id) { registry_.remove(machine_id); }
    // Writes what is due. Each tick.
    void flush() { registry_.flush(); }

  private:
    [[nodiscard]] std::optional<protocol::MachineRecord> record_of(const std::string& machine_id);
    void handle_stored(const std::vector<Record>& records);

    std::function<void()> confirmed_;
    machine_registry::MachineRegistry registry_;
};

}  // namespace coralhitch::leader

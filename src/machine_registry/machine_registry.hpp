// The machine registry: the records, in the key-value store, of all machines that may hold tasks. A new
// leader reads them to learn which machines it must ask for their tasks.
//
// The records are stored in pages. A page holds the records of many machines in one value, so that a wave of
// new or lost machines costs a few changes instead of one for each machine. `load` reads two layouts:
//   mach/page/N   a page of records, written by this version
//   mach/ID       a single record, written by versions without pages; moved into a page, then deleted
//
// Sizes: a page must not exceed the size limit of a value (kv::SizeLimits). A page may be larger because an
// earlier leader filled it under another limit, or because the limit was lowered. Such a page is evacuated:
// its machines are stored in other pages first, and the page is deleted once all of these writes are
// confirmed. It is not written in any other way.
//
// Invariant: from the moment when a machine's record is confirmed as stored until the machine is removed, the
// store has a page with that machine. A transaction whose answer was lost may be executed late, and must not
// restore old contents of a page. Therefore, each page is written on condition that it still has the version
// that was last read, and only one transaction is in flight at a time.
#pragma once
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "event_loop/lifetime_guard.hpp"
#include "event_loop/timers.hpp"
#include "kv/kv_client.hpp"
#include "protocol/kv_api.hpp"
#include "protocol/model.hpp"

namespace coralhitch::machine_registry {

// A machine and its record, as stored in a page.
struct StoredMachine {
    std::string id;
    protocol::MachineRecord record;
};

// Keeps the leader's records of machines in the key-value store up to date. Runs on the event loop's thread.
class MachineRegistry {
  public:
    // Functions that the owner provides. They are called on the event loop's thread.
    struct Callbacks {
        // Returns the record to store for a machine, or nothing if the machine no longer exists.
        std::function<std::optional<protocol::MachineRecord>(const std::string& id)> current_record;
        // Returns a transaction that is conditional on the leadership, or nothing if this process has no
        // authority to act as leader.
        std::function<std::optional<protocol::Txn>()> begin_transaction;
        // Receives the records that are now confirmed as stored, with the contents that were sent.
        std::function<void(const std::vector<StoredMachine>&)> on_stored;
    };

    // Creates an empty registry. The references must outlive it. No callback is called after its destruction.
    MachineRegistry(event_loop::Timers& timers, kv::KvClient& kv, const config::Settings& settings,
                    Callbacks callbacks);

    // Loads the records that earlier leaders stored, from a list of the prefix `mach/`. Returns all machines,
    // sorted by id. If a machine has several records, they are merged into one, which is marked for deletion
    // if any of them is. A page that can't be parsed is logged and left unchanged in the store. A single
    // record that can't be parsed is logged, but its key is deleted like the others of its layout. To be
    // called once, before any other function.
    std::vector<StoredMachine> load(const kv::ListResult& listed);

    // Schedules a write of a machine's record. To be called when the machine is new or its record has
    // changed.
    void put(const std::string& id);
    // Removes a machine for which there is evidence that it has terminated. Its record is removed from the
    // store with the next write of its page or with the next cleanup.
    void remove(const std::string& id);
    // Writes the pages that are due, unless a request is in flight. To be called regularly.
    void flush();

  private:
    // State of one page.
    struct Page {
        std::uint64_t version = 0;  // version of its key; 0 if the key does not exist
        std::set<std::string> machine_ids;
        std::size_t bytes = 0;         // estimated size of its value
        bool has_new_records = false;  // to be written as soon as possible
        // The stored page still has machines that were removed: to be written with the next cleanup.
        bool has_removed_machines = false;
        // A write may or may not have been executed: the version must be read before the next write.
        bool is_version_unknown = false;
        // The page is larger than a value may be. It is not written until its machines are confirmed in other
        // pages.
        bool is_evacuating = false;
    };
    // Write of one page in a transaction.
    struct PageWrite {
        std::size_t number = 0;
        bool is_deletion = false;  // the page is empty, so its key is deleted
    };
    // A transaction, with the pages and the records that it writes.
    struct Batch {
        protocol::Txn transaction;
        std::vector<PageWrite> pages;
        std::vector<StoredMachine> machines;
        std::size_t bytes = 0;
        bool is_urgent = false;    // the batch holds new records
        bool is_complete = false;  // all pages that are due are in the batch
    };

    // Loading.
    void load_page(std::size_t number, const protocol::Entry& entry,
                   std::map<std::string, protocol::MachineRecord>& all);
    void load_single_record(const protocol::Entry& entry,
                            std::map<std::string, protocol::MachineRecord>& all);
    void load_record(std::size_t number, const std::string& id, const protocol::MachineRecord& record,
                     std::map<std::string, protocol::MachineRecord>& all);

    // Pages and their sizes.
    [[nodiscard]] std::size_t max_page_bytes() const;
    [[nodiscard]] std::size_t page_with_space(const std::string& id, std::size_t bytes) const;
    void shrink_pages();
    void move_to_other_pages(Page& page);
    void evacuate_pages();
    [[nodiscard]] bool is_evacuated(const Page& page) const;

    // Writing.
    [[nodiscard]] bool is_deletable(const Page& page) const;
    [[nodiscard]] bool has_due_writes() const;
    [[nodiscard]] std::vector<std::size_t> pages_to_write() const;
    void schedule_flush(double delay_s);
    void read_version(std::size_t number);
    void write_due_pages();
    void add_page(Batch& batch, std::size_t number);
    void add_deletions_of_legacy_keys(protocol::Txn& transaction);
    void handle_write_result(const std::vector<PageWrite>& pages, const std::vector<StoredMachine>& machines,
                             const kv::TxnResult& result);

    event_loop::Timers& timers_;
    kv::KvClient& kv_;
    const config::Settings& settings_;
    Callbacks callbacks_;
    std::map<std::size_t, Page> pages_;
    std::map<std::string, std::size_t> page_of_;  // by machine id: number of the page to which it is written
    std::set<std::string> unconfirmed_moves_;     // machines that are confirmed in an evacuating page only
    std::set<std::string> legacy_keys_;           // keys of the layout with one key for each machine
    bool is_request_pending_ = false;             // a transaction or a read of a version is in flight
    bool is_flush_scheduled_ = false;
    std::optional<double> last_write_at_;    // steady time
    std::optional<double> last_cleanup_at_;  // steady time of the last write that included all due pages
    event_loop::LifetimeGuard guarded_;      // the last member, so that it is destroyed first
};

}  // namespace coralhitch::machine_registry

// Which machines may hold tasks, as stored in the key-value store: what a new leader must ask for tasks.
//
// A page holds the records of many machines in one value, so that a wave of new or lost machines costs a few
// changes instead of one each. Layouts that `load` reads:
//   mach/page/N   a page of records, written by this version
//   mach/ID       one record a key, of versions before there were pages; moved into pages, then deleted
//
// Sizes. Pages keep to the limit of a value (kv::SizeLimits). A page that is larger, because earlier leaders
// filled it under another limit or because the limit fell, is evacuated: its machines are stored in other
// pages first, and the page is deleted once all of these writes are confirmed. It is never written again.
//
// Invariant: a machine whose record was confirmed as stored is in a page of the store at every moment until
// it is removed. So each page is written on condition of the version that was last read of it, and one
// transaction is under way at a time: a transaction whose answer was lost may be executed late, and must not
// bring back what the page held before.
//
// Runs on the event loop's thread.
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

struct StoredMachine {
    std::string id;
    protocol::MachineRecord record;
};

class MachineRegistry {
  public:
    struct Callbacks {
        // The record to store of a machine; nothing if the machine is gone.
        std::function<std::optional<protocol::MachineRecord>(const std::string& id)> current_record;
        // A transaction that has the leadership as its condition; nothing without the authority to act.
        std::function<std::optional<protocol::Txn>()> begin_transaction;
        // These records are stored now, as they were when their transaction was sent.
        std::function<void(const std::vector<StoredMachine>&)> on_stored;
    };

    // The references must outlive this object. Once it is destroyed, no callback is called any more.
    MachineRegistry(event_loop::Timers& timers, kv::KvClient& kv, const config::Settings& settings,
                    Callbacks callbacks);

    // Takes over what earlier leaders stored, from a list of the prefix `mach/`; returns all machines by id.
    // A machine that is in several places is one machine, and marked for deletion if any of them says so.
    // Records that can't be read are logged and left as they are. To be called once, before anything else.
    std::vector<StoredMachine> load(const kv::ListResult& listed);

    // The machine is new, or its record has changed: it is written soon.
    void put(const std::string& id);
    // The machine is proven to be terminated: it leaves its page with the page's next write, or after a
    // while.
    void remove(const std::string& id);
    // Writes what is due, unless a transaction is under way. To be called regularly.
    void flush();

  private:
    struct Page {
        std::uint64_t version = 0;  // of its key; 0: no such key
        std::set<std::string> machine_ids;
        std::size_t bytes = 0;              // estimate of its value's size
        bool has_new_records = false;       // to be written at once
        bool has_removed_machines = false;  // holds machines that are gone: to be written some time
        bool is_version_unknown =
            false;  // a write may have been executed: read the version before the next one
        // Larger than a value may be: stays as it is until its machines are confirmed in other pages.
        bool is_evacuating = false;
    };
    struct PageWrite {
        std::size_t number = 0;
        bool is_deletion = false;  // the page was empty
    };
    // One transaction, and what follows from its commit.
    struct Batch {
        protocol::Txn transaction;
        std::vector<PageWrite> pages;
        std::vector<StoredMachine> machines;
        std::size_t bytes = 0;
        bool is_urgent = false;    // holds new records
        bool is_complete = false;  // no page that is due was left out
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
    [[nodiscard]] std::size_t page_with_room(const std::string& id, std::size_t bytes) const;
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
    std::map<std::string, std::size_t> page_of_;  // by machine: the page that is written for it
    std::set<std::string> unconfirmed_moves_;     // machines that are confirmed in an evacuating page only
    std::set<std::string> legacy_keys_;           // of the layout with a key for each machine
    bool is_request_pending_ = false;             // a transaction, or a read of a version
    bool is_flush_scheduled_ = false;
    std::optional<double> last_write_at_;    // steady time
    std::optional<double> last_cleanup_at_;  // steady time of the last write that left no page out
    event_loop::LifetimeGuard guarded_;      // last, so that it is destroyed first
};

}  // namespace coralhitch::machine_registry

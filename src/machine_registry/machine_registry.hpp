// Which machines may hold tasks, as the key-value store knows it. A page of many machines is one value, so
// that a wave of new or lost machines costs a few changes instead of one each.
//
// Pages keep to the smaller of the present and the coming limit of a value. A page that earlier leaders
// filled beyond it is emptied into others, never written again.
//
// Each page is written on the version that was last seen of it, and one write is under way at a time: a write
// whose answer was lost may be executed late, and must not bring back what the page held before.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "event_loop/lifetime_guard.hpp"
#include "event_loop/timers.hpp"
#include "kv/kv_client.hpp"

namespace coralhitch::machine_registry {

class MachineRegistry {
  public:
    using Record = std::pair<std::string, protocol::MachineRecord>;
    struct Hooks {
        // What to store of a machine; nothing if it is gone.
        std::function<std::optional<protocol::MachineRecord>(const std::string&)> record;
        // A transaction under the leader's condition; nothing without authority.
        std::function<std::optional<protocol::Txn>()> begin;
        std::function<void(const std::vector<Record>&)> stored;
    };
    MachineRegistry(event_loop::Timers& timers, kv::KvClient& state, const config::Settings& settings,
                    Hooks hooks);

    // Takes over what earlier leaders stored, in pages or, before there were pages, in a key each. A machine
    // that is in several of them is one machine, and marked_for_deletion if any of them says so.
    std::vector<Record> load(const kv::ListResult& listed);
    void put(const std::string& id);     // new, or something about it has changed
    void remove(const std::string& id);  // proven gone
    void flush();                        // writes what is due

  private:
    struct Page {
        std::uint64_t version = 0;  // 0: no such key
        std::set<std::string> ids;
        std::size_t bytes = 0;
        bool dirty = false, unsure = false;
        bool stale = false;  // holds machines that are gone: no hurry
        // Larger than what may be written now: its machines are stored in other pages, and once all of these
        // writes are confirmed, the page is dropped. Until then it stays as it is.
        bool retiring = false;
    };
    std::size_t page_for(const std::string& id, std::size_t bytes);
    std::size_t page_bytes() const;
    void retire_large();
    void move_on();
    bool moved(const Page& p) const;
    void read_again(std::size_t n);
    void write();
    struct Written {
        std::size_t number = 0;
        bool held = false;  // false: it was empty, and dropped
    };
    void written(const std::vector<Written>& pages, const std::vector<Record>& records,
                 const kv::TxnResult& c);
    void later(double seconds);

    event_loop::Timers& timers_;
    kv::KvClient& state_;
    const config::Settings& settings_;
    Hooks hooks_;
    std::map<std::size_t, Page> pages_;
    std::map<std::string, std::size_t> page_of_;
    std::set<std::string> unmoved_;   // not confirmed yet outside of a page that retires
    std::set<std::string> old_keys_;  // of the layout with a key for each machine
    bool busy_ = false, armed_ = false;
    double last_write_ = -1, last_tidy_ = -1;
    event_loop::LifetimeGuard guarded_;  // last, so that it goes first
};

}  // namespace coralhitch::machine_registry

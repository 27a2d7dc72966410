// Which machines may hold tasks, as the state service knows it. A page of many machines is one value, so that
// a wave of new or lost machines costs a few changes instead of one each.
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
#include "loop/timers.hpp"
#include "state/client.hpp"

namespace coralhitch::daemon {

class MachineStore {
  public:
    using Record = std::pair<std::string, wire::MachineRecord>;
    struct Hooks {
        // What to store of a machine; nothing if it is gone.
        std::function<std::optional<wire::MachineRecord>(const std::string&)> record;
        // A transaction under the leader's condition; nothing without authority.
        std::function<std::optional<wire::Txn>()> begin;
        std::function<void(const std::vector<Record>&)> stored;
    };
    MachineStore(loop::Timers& timers, state::Client& state, const config::Settings& settings, Hooks hooks);

    // Takes over what earlier leaders stored, in pages or, before there were pages, in a key each.
    std::vector<Record> load(const state::Listed& listed);
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
    };
    std::size_t page_for(const std::string& id, std::size_t bytes);
    void read_again(std::size_t n);
    void write();
    void written(const std::vector<std::size_t>& pages, const std::vector<Record>& records,
                 const state::Committed& c);
    void later(double seconds);
    template <class F>
    auto guarded(F f) {
        return [alive = std::weak_ptr<int>(alive_), f = std::move(f)](auto&&... a) mutable {
            if (!alive.expired()) f(std::forward<decltype(a)>(a)...);
        };
    }

    loop::Timers& timers_;
    state::Client& state_;
    const config::Settings& settings_;
    Hooks hooks_;
    std::size_t page_bytes_;
    std::map<std::size_t, Page> pages_;
    std::map<std::string, std::size_t> page_of_;
    std::set<std::string> old_keys_;  // of the layout with a key for each machine
    bool busy_ = false, armed_ = false;
    double last_write_ = -1, last_tidy_ = -1;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace coralhitch::daemon

// Follows all keys with a prefix (list, then watch), and tells until when nothing of them can be missing.
//
// A watch that waits brings changes soon, but proves nothing: it may be quiet because there was no change, or
// because it waits through an outage, or through a refusal of this controller alone. So the changes are also
// read, without waiting, every `confirm_s`. Such an answer shows all that was committed before its request
// was sent; that moment is `complete_at`.
#pragma once
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "event_loop/lifetime_guard.hpp"
#include "event_loop/timers.hpp"
#include "kv/kv_client.hpp"

namespace coralhitch::kv {

class ListWatch {
  public:
    // Seconds.
    struct Pace {
        double wait_s = 0;      // a watch's
        double gap_s = 0;       // between a watch and the next, so that changes come together
        double retry_s = 0;     // after one that failed
        double confirm_s = 0;   // between two reads of the changes
        double patience_s = 0;  // for the answer to one: late is better than never
    };
    struct Events {
        // The same change may come twice, and after newer ones of its key: go by the version. None up to
        // `reconciled` comes any more.
        std::function<void(const std::vector<protocol::Event>& events, std::uint64_t reconciled)> changed;
        // Everything, since the changes were not kept for so long.
        std::function<void(const ListResult& all)> listed;
    };
    ListWatch(event_loop::Timers& timers, KvClient& state, std::string prefix, Pace pace, Events events);
    // Goes on from a list that was begun at that steady time.
    void start(std::uint64_t revision, double listed_at);

    // Steady time; all that was committed before it has been told. Long past before `start`; while changes
    // are told, still that of the answers before.
    double complete_at() const { return complete_at_; }

  private:
    // Two readers of the same changes, each from its own revision on.
    struct Reader {
        double wait_s = 0, pause_s = 0, patience_s = 0;
        std::uint64_t revision = 0;
    };
    void read(Reader& r);
    void list(Reader& r);
    void later(Reader& r, double pause_s);

    event_loop::Timers& timers_;
    KvClient& state_;
    std::string prefix_;
    double retry_s_;
    Events events_;
    Reader watch_, confirm_;
    double complete_at_ = -1e9;
    event_loop::LifetimeGuard guarded_;  // last, so that it goes first
};

}  // namespace coralhitch::kv

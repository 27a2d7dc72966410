// Follows all keys with a prefix: a list, then a watch on the changes since (list-watch). It also says up to
// which moment no committed change can be missing.
//
// A watch that waits delivers changes soon but proves nothing: it may be quiet because there was no change,
// or because it waits through an outage, or through one that hits this controller alone. So the changes are
// also read without waiting, every `confirm_interval_s`. Such an answer holds all that was committed before
// its request was sent; that moment is `complete_until`.
//
// Runs on the event loop's thread. Once it is destroyed, no callback is called any more.
#pragma once
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "event_loop/lifetime_guard.hpp"
#include "event_loop/timers.hpp"
#include "kv/kv_client.hpp"
#include "protocol/kv_api.hpp"

namespace coralhitch::kv {

class ListWatch {
  public:
    // All in seconds.
    struct Timing {
        double watch_wait_s = 0;        // how long the store may wait for a change
        double watch_interval_s = 0;    // between a watch and the next, so that changes come together
        double retry_backoff_s = 0;     // after a read that failed
        double confirm_interval_s = 0;  // between two reads that don't wait
        double confirm_timeout_s = 0;   // for the answer to one: a late one still proves something
    };
    struct Callbacks {
        // The same change may come twice, and after newer ones of its key: compare versions. Every change up
        // to store revision `delivered_until` has been delivered for the last time.
        std::function<void(const std::vector<protocol::Event>& events, std::uint64_t delivered_until)>
            on_changes;
        // All keys, since the store no longer keeps the changes that are missing. Keys that are not among
        // them were deleted.
        std::function<void(const ListResult& all)> on_listed;
    };

    // The references must outlive this object.
    ListWatch(event_loop::Timers& timers, KvClient& kv, std::string prefix, Timing timing,
              Callbacks callbacks);

    // Follows the changes after `revision`, that of a list whose first request was sent at steady time
    // `listed_at` (seconds). To be called once.
    void start(std::uint64_t revision, double listed_at);

    // Steady time in seconds: all that was committed before it has been delivered. Nothing before `start`;
    // from within `on_changes` and `on_listed`, still that of the answers before.
    [[nodiscard]] std::optional<double> complete_until() const { return complete_until_; }

  private:
    // Two readers of the same changes, each from its own revision on.
    struct Reader {
        double wait_s = 0, interval_s = 0, timeout_s = 0;
        std::uint64_t revision = 0;
    };
    void read_changes(Reader& reader);
    void list_all(Reader& reader);
    void schedule_read(Reader& reader, double delay_s);

    event_loop::Timers& timers_;
    KvClient& kv_;
    std::string prefix_;
    double retry_backoff_s_;
    Callbacks callbacks_;
    Reader watch_, confirm_;
    std::optional<double> complete_until_;
    event_loop::LifetimeGuard guarded_;  // last, so that it is destroyed first
};

}  // namespace coralhitch::kv

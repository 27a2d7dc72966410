// Follows all keys with a prefix by a list and then a watch on later changes (list-watch), and tells up to
// which time all committed changes have been delivered.
//
// A long-polling watch delivers changes soon, but its silence is no evidence that nothing changed: the store
// may be down, or unreachable from this controller alone. The changes are therefore also read without
// waiting, every `confirm_interval_s`. The answer to such a confirming read holds every change that was
// committed before its request was sent, and the time of sending becomes `complete_until`.
//
// Runs on the event loop's thread. No callback is called after the ListWatch is destroyed.
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

// Delivers all changes to the keys with one prefix to its callbacks.
class ListWatch {
  public:
    // Times in seconds.
    struct Timing {
        double watch_wait_s = 0;        // longest time that the store holds a watch without a change
        double watch_interval_s = 0;    // between two watches, so that changes are batched
        double retry_backoff_s = 0;     // delay after a failed read
        double confirm_interval_s = 0;  // between two confirming reads
        double confirm_timeout_s = 0;   // time-out of a confirming read; a late answer is still useful
    };
    struct Callbacks {
        // Delivers changes. A change may be delivered twice, and after a newer change to the same key, so the
        // receiver must compare versions. With this call every change up to the store revision
        // `delivered_until` has been delivered, and none of them is delivered again.
        std::function<void(const std::vector<protocol::Event>& events, std::uint64_t delivered_until)>
            on_changes;
        // Delivers all keys, because the store has compacted the changes that were to be read. A key that is
        // not in the list was deleted.
        std::function<void(const ListResult& all)> on_listed;
    };

    // `timers` and `kv` must outlive this object.
    ListWatch(event_loop::Timers& timers, KvClient& kv, std::string prefix, Timing timing,
              Callbacks callbacks);

    // Starts to follow the changes after `revision`, the revision of a list whose first request was sent at
    // `listed_at` (steady time in seconds). Must be called once only.
    void start(std::uint64_t revision, double listed_at);

    // Returns the steady time in seconds before which every committed change has been delivered, or nullopt
    // before `start`. During `on_changes` and `on_listed` the value does not yet include the current answer.
    [[nodiscard]] std::optional<double> complete_until() const { return complete_until_; }

  private:
    // The state of one of two independent readers of the same changes. Times in seconds. A confirming reader
    // has `wait_s` 0. `revision` is the store revision from which it reads next.
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

// Finds turns of the event loop that take too long. Nothing else runs during a turn: no request is answered,
// and the leader's lease is not renewed. A turn that does not end cannot be reported by the loop itself, so
// another thread looks at the current turn from time to time.
#pragma once
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "event_loop/timers.hpp"

namespace coralhitch::event_loop {

// A turn of the event loop that takes, or took, too long. Durations are in seconds.
struct LongTurn {
    double duration_s = 0;  // until now, if the turn has not ended
    // The innermost current work, or the work that took longest if the turn has ended.
    Work work;
    double work_s = 0;  // duration of that work
};

// Records the turns of one event loop and the work in them. Thread-safe. Times are steady seconds.
class TurnMonitor {
  public:
    // A turn is long if it takes more than `long_turn_s`.
    explicit TurnMonitor(double long_turn_s) : long_turn_s_(long_turn_s), next_report_s_(long_turn_s) {}

    // Called by the event loop.
    void begin_turn(double now);
    // Returns the turn if it was long.
    std::optional<LongTurn> end_turn(double now);
    void begin_work(const Work& work, double now);
    void end_work(double now);

    // Returns the current turn if it is long and was not returned before, or has taken twice as long as then.
    std::optional<LongTurn> find_unfinished(double now);

    [[nodiscard]] double long_turn_s() const { return long_turn_s_; }
    // Returns the duration of the longest turn that has ended.
    [[nodiscard]] double longest_turn_s() const;
    // Returns the number of long turns that have ended, by the work that took longest.
    [[nodiscard]] std::map<std::string, std::uint64_t> long_turns() const;

  private:
    struct StartedWork {
        Work work;
        double begun_at = 0;
    };

    const double long_turn_s_;
    mutable std::mutex mutex_;  // guards all that follows
    std::optional<double> turn_begun_at_;
    std::vector<StartedWork> current_work_;  // the innermost last
    LongTurn longest_work_;                  // of the current turn; its `duration_s` is not used
    double next_report_s_;
    double longest_turn_s_ = 0;
    std::map<std::string, std::uint64_t> long_turns_;
};

// A thread that reports unfinished long turns. `clock` and `monitor` must outlive it.
class TurnWatchdog {
  public:
    // Called on the watchdog's thread.
    using Report = std::function<void(const LongTurn&)>;

    TurnWatchdog(const Timers& clock, TurnMonitor& monitor, Report report);
    ~TurnWatchdog();
    TurnWatchdog(const TurnWatchdog&) = delete;
    TurnWatchdog& operator=(const TurnWatchdog&) = delete;

  private:
    void run();

    const Timers& clock_;
    TurnMonitor& monitor_;
    Report report_;
    std::mutex mutex_;  // guards stopped_
    std::condition_variable wake_;
    bool stopped_ = false;
    std::thread thread_;
};

}  // namespace coralhitch::event_loop

// Logs turns of the event loop that take too long.
#pragma once
#include "config/settings.hpp"
#include "event_loop/turn_monitor.hpp"

namespace coralhitch::controller {

// Returns the duration, in seconds, above which a turn of the event loop is reported. It is short against the
// leader's lease, which is not renewed during a turn.
[[nodiscard]] double long_turn_s(const config::Settings& settings);
// Logs a long turn that has ended.
void log_long_turn(const event_loop::LongTurn& turn);
// Logs a long turn that has not ended. Thread-safe.
void log_unfinished_turn(const event_loop::LongTurn& turn);

}  // namespace coralhitch::controller

#include "controller/turn_log.hpp"

#include <spdlog/spdlog.h>

namespace coralhitch::controller {

namespace {
constexpr double long_turn_heartbeat_periods = 1.0 / 4;

void log_turn(const char* event, const event_loop::LongTurn& turn) {
    spdlog::warn("component=event_loop event={} duration_s={:.3f} work={} items={} work_s={:.3f}", event,
                 turn.duration_s, turn.work.name, turn.work.items, turn.work_s);
}
}  // namespace

double long_turn_s(const config::Settings& settings) {
    return settings.heartbeat_interval_s * long_turn_heartbeat_periods;
}
void log_long_turn(const event_loop::LongTurn& turn) {
    log_turn("long_turn", turn);
}
void log_unfinished_turn(const event_loop::LongTurn& turn) {
    log_turn("unfinished_turn", turn);
}

}  // namespace coralhitch::controller

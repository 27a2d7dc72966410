#include "relay/heartbeat_rejections.hpp"

#include <spdlog/spdlog.h>

namespace coralhitch::relay {

std::string HeartbeatRejections::summary() const {
    std::string text;
    for (std::size_t k = 0; k < counts_.size(); ++k)
        if (auto count = counts_[k] - logged_counts_[k]; count > 0)
            text += (text.empty() ? "" : ", ") + std::to_string(count) + " " +
                    std::string(heartbeat_rejection_labels[k]);
    return text;
}

void HeartbeatRejections::record(HeartbeatRejection reason) {
    ++counts_[static_cast<std::size_t>(reason)];
    double now = timers_.now();
    if (last_logged_ && now - *last_logged_ < log_interval_s_) return;
    spdlog::info("component=relay event=heartbeats_rejected reasons=\"{}\"", summary());
    last_logged_ = now;
    logged_counts_ = counts_;
    ++log_lines_;
}

}  // namespace coralhitch::relay

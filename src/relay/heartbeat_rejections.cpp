#include "relay/heartbeat_rejections.hpp"

#include <spdlog/spdlog.h>

namespace coralhitch::relay {

std::string HeartbeatRejections::since_logged() const {
    std::string out;
    for (std::size_t k = 0; k < counts_.size(); ++k)
        if (auto n = counts_[k] - told_[k]; n > 0)
            out += (out.empty() ? "" : ", ") + std::to_string(n) + " " +
                   std::string(heartbeat_rejection_names[k]);
    return out;
}
void HeartbeatRejections::note(HeartbeatRejection why) {
    ++counts_[static_cast<std::size_t>(why)];
    double t = timers_.now();
    if (logged_ >= 0 && t - logged_ < period_s_) return;
    spdlog::info("reports refused since the last such line: {}", since_logged());
    logged_ = t;
    told_ = counts_;
    ++lines_;
}

}  // namespace coralhitch::relay

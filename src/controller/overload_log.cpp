#include "controller/overload_log.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "controller/kv_queues.hpp"

namespace coralhitch::controller {

void OverloadLog::update() {
    log_sockets();
    log_requests();
}

void OverloadLog::log_sockets() {
    if (!sockets_ || sockets_->refused() <= logged_refused_sockets_) return;
    logged_refused_sockets_ = sockets_->refused();
    spdlog::info("component=controller event=sockets_refused usage=\"{}\"", sockets_->text());
}

double OverloadLog::refused_requests() const {
    double refused = admission_.rejected_count();
    for (auto& queue : kv_queues) refused += kv_.queue_counts(queue.priority).refused;
    return refused;
}

// Logs the statistics of all queues, which show the queue that is too long. Logs at most once in each agent
// lease.
void OverloadLog::log_requests() {
    const double refused = refused_requests();
    if (refused <= logged_refused_requests_) return;
    if (requests_logged_at_ && timers_.now() - *requests_logged_at_ < settings_.lease_s) return;
    requests_logged_at_ = timers_.now();
    logged_refused_requests_ = refused;
    spdlog::info("component=controller event=requests_refused submissions_deferred={}",
                 admission_.rejected_count());
    for (auto& queue : kv_queues) {
        const auto& counts = kv_.queue_counts(queue.priority);
        spdlog::info(
            "component=controller event=kv_queue queue={} sent={} refused={} mean_wait_s={:.3f} "
            "longest_wait_s={:.3f}",
            queue.name, counts.sent, counts.refused, counts.waited_s / std::max(1.0, counts.sent),
            counts.longest_wait_s);
    }
}

}  // namespace coralhitch::controller

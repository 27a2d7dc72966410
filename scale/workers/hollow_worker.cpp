#include "scale/workers/hollow_worker.hpp"

#include <algorithm>
#include <utility>

#include "protocol/agent_api.hpp"
#include "scale/protocol/message_sizes.hpp"
#include "scale/protocol/worker_messages.hpp"

namespace coralhitch::scale {
namespace {

constexpr double lease_check_margin_s = 0.0005, server_idle_timeout_s = 600;
constexpr std::size_t server_connections = 16;

http::ServerLimits server_limits() {
    http::ServerLimits limits;
    limits.connections = server_connections;
    limits.idle_s = server_idle_timeout_s;
    return limits;
}

}  // namespace

HollowWorker::HollowWorker(WorkerContext& context, protocol::Host host)
    : context_(context),
      host_(std::move(host)),
      lease_renewed_at_(context.loop().now()),
      heartbeats_(context, *this),
      tasks_(context, *this, host_.id) {
    server_ = std::make_unique<http::Server>(context_.loop(), host_.addr, server_limits(),
                                             [this](const http::Request& request, const http::Reply& reply) {
                                                 if (!silent_) reply(serve(request));
                                             });
    WorkerEvent up;
    up.time = lease_renewed_at_;
    up.kind = WorkerEventKind::machine_up;
    up.machine = host_.id;
    up.zone = host_.zone;
    up.spot = host_.spot;
    context_.record(up);
    schedule_lease_check();
    heartbeats_.start();
}

// --- Heartbeats -----------------------------------------------------------------------------------------

std::string HollowWorker::status_body() {
    protocol::Heartbeat heartbeat;
    heartbeat.machine = host_.id;
    heartbeat.addr = host_.addr;
    heartbeat.type = host_.type;
    heartbeat.zone = host_.zone;
    heartbeat.spot = host_.spot;
    heartbeat.agent_epoch = agent_epoch_;
    sequence_ = sequence_.next();
    heartbeat.sequence = sequence_;
    heartbeat.token = token_;
    heartbeat.tasks = tasks_.statuses();
    return messages::heartbeat_body(heartbeat);
}

HeartbeatSender::OutgoingHeartbeat HollowWorker::next_heartbeat() {
    return {status_body(), agent_epoch_};
}

void HollowWorker::handle_answer(const HeartbeatSender::Answer& answer) {
    messages::Orders orders;
    try {
        orders = messages::parse_orders(answer.body);
    } catch (const std::exception&) {
        // A malformed answer leaves `orders` without a token, so that it is ignored below.
    }
    if (answer.agent_epoch != agent_epoch_ || !orders.token || *orders.token < token_) {
        ++context_.counts().ignored_answers;
        return;
    }
    lease_renewed_at_ = std::max(lease_renewed_at_, answer.sent_at);
    update_token(*orders.token);
    execute(orders.commands);
}

// --- Commands -------------------------------------------------------------------------------------------

http::Response HollowWorker::serve(const http::Request& request) {
    check_lease();
    auto& counts = context_.counts();
    ++counts.direct_requests;
    counts.direct_bytes += request_bytes(host_.addr, request);
    http::Response response{404, "{}"};
    if (request.target == protocol::paths::inspect) response = {200, status_body()};
    if (request.target == protocol::paths::commands) response = serve_commands(request);
    counts.direct_answer_bytes += response_bytes(response);
    return response;
}

http::Response HollowWorker::serve_commands(const http::Request& request) {
    messages::Orders orders;
    try {
        orders = messages::parse_orders(request.body);
    } catch (const std::exception&) {
        return {400, "{}"};
    }
    if (!orders.token || !orders.agent_epoch) return {400, "{}"};
    if (*orders.token < token_ || *orders.agent_epoch != agent_epoch_) {
        ++context_.counts().rejected_commands;
        return {409, status_body()};
    }
    update_token(*orders.token);
    execute(orders.commands);
    return {200, status_body()};
}

void HollowWorker::execute(const std::vector<protocol::Command>& commands) {
    context_.counts().commands += commands.size();
    for (auto& command : commands) {
        TaskAttempt attempt{command.task, command.attempt.value()};
        switch (command.kind) {
            case protocol::CommandKind::start:
                tasks_.start(attempt);
                break;
            case protocol::CommandKind::stop:
                tasks_.stop(attempt);
                break;
            case protocol::CommandKind::forget:
                tasks_.forget(attempt);
                break;
        }
    }
}

// Stores a newer fencing token. Requests an early heartbeat at most once in half a lease, so that a new
// leader learns soon that its token has arrived, without a heartbeat after every answer.
void HollowWorker::update_token(protocol::FencingToken token) {
    if (token <= token_) return;
    token_ = token;
    double now = context_.loop().now();
    if (now < token_reported_at_ + context_.experiment().worker.lease_s / 2) return;
    token_reported_at_ = now;
    heartbeats_.status_changed();
}

// --- Lease ----------------------------------------------------------------------------------------------

// Schedules a check for the lease's expiry. Answers postpone the expiry. A timer that fires before the
// postponed expiry schedules another check.
void HollowWorker::schedule_lease_check() {
    double left_s = lease_renewed_at_ + context_.experiment().worker.lease_s - context_.loop().now();
    lease_timer_ = context_.loop().after(std::max(0.0, left_s) + lease_check_margin_s, guard_([this] {
                                             if (silent_) return;
                                             check_lease();
                                             schedule_lease_check();
                                         }));
}

// If the lease has expired, ends all tasks and begins the next agent epoch. The ends are recorded at the time
// of the expiry, not at the present time: this process may notice the expiry late, and its tasks are only
// simulated.
void HollowWorker::check_lease() {
    double now = context_.loop().now(), expiry = lease_renewed_at_ + context_.experiment().worker.lease_s;
    if (now <= expiry) return;
    lease_renewed_at_ = now;
    ++context_.counts().leases_expired;
    tasks_.end_all(expiry);
    agent_epoch_ = agent_epoch_.next();
    sequence_ = protocol::SequenceNumber::none();
    heartbeats_.status_changed();
}

void HollowWorker::silence() {
    if (std::exchange(silent_, true)) return;
    tasks_.halt();
    heartbeats_.stop();
    context_.loop().cancel(lease_timer_);
    WorkerEvent gone;
    gone.time = context_.loop().now();
    gone.kind = WorkerEventKind::machine_gone;
    gone.machine = host_.id;
    context_.record(gone);
}

}  // namespace coralhitch::scale

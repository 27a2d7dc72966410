#include "scale/workers/heartbeat_sender.hpp"

#include <algorithm>
#include <string_view>

#include "protocol/agent_api.hpp"
#include "scale/protocol/message_sizes.hpp"
#include "scale/protocol/worker_messages.hpp"

namespace coralhitch::scale {
namespace {

// These values are set by the protocol.
constexpr double min_heartbeat_interval_s = 0.5, next_controller_delay_s = 1, max_redirect_delay_s = 0.5,
                 interval_spread = 0.25;

// Limits the client to one connection, so that changing the controller closes the connection to the previous
// one.
http::ClientLimits one_connection() {
    http::ClientLimits limits;
    limits.connections = 1;
    limits.idle_per_addr = 1;
    return limits;
}

// Returns true if two heartbeats differ only in the sequence number. Returns false if either is malformed.
bool differ_only_in_sequence(const std::string& body, const std::string& last_body) {
    auto outline = protocol::outline_heartbeat(body), last_outline = protocol::outline_heartbeat(last_body);
    if (!outline || !last_outline) return false;
    auto before = [](std::string_view text, const auto& of) { return text.substr(0, of.sequence_offset); };
    auto after = [](std::string_view text, const auto& of) {
        return text.substr(of.sequence_offset + of.sequence_digits);
    };
    return before(body, *outline) == before(last_body, *last_outline) &&
           after(body, *outline) == after(last_body, *last_outline);
}

}  // namespace

HeartbeatSender::HeartbeatSender(WorkerContext& context, Agent& agent)
    : context_(context),
      agent_(agent),
      controller_(static_cast<std::uint32_t>(context.random()() % context.experiment().controllers)),
      client_(context.loop(), one_connection()) {}

void HeartbeatSender::start() {
    regular_due_ = context_.loop().now();
    schedule();
}
void HeartbeatSender::status_changed() {
    status_changed_ = true;
    schedule();
}
void HeartbeatSender::stop() {
    stopped_ = true;
    context_.loop().cancel(timer_);
}

void HeartbeatSender::schedule() {
    if (in_flight_ || stopped_) return;
    double due = regular_due_;
    if (status_changed_) due = std::min(due, last_sent_ + min_heartbeat_interval_s);
    if (timer_ && due >= timer_due_) return;
    context_.loop().cancel(timer_);
    timer_due_ = due;
    timer_ = context_.loop().after(due - context_.loop().now(), guard_([this] { on_timer(); }));
}
void HeartbeatSender::on_timer() {
    timer_ = 0;
    timer_due_ = never;
    double now = context_.loop().now();
    bool change_is_due = status_changed_ && now >= last_sent_ + min_heartbeat_interval_s;
    if (now >= regular_due_ || change_is_due) return send();
    schedule();
}

void HeartbeatSender::send() {
    auto& experiment = context_.experiment();
    double now = context_.loop().now();
    auto controller = experiment.controller_addr(controller_);
    auto heartbeat = agent_.next_heartbeat();
    http::Request request{"POST", std::string(protocol::paths::heartbeat), std::move(heartbeat.body)};
    count_sent(request.body, request_bytes(controller, request));
    last_body_ = request.body;
    in_flight_ = true;
    status_changed_ = false;
    last_sent_ = now;
    regular_due_ = now + experiment.worker.heartbeat_interval_s *
                             draw_uniform(context_.random(), 1 - interval_spread, 1 + interval_spread);
    // The timeout does not depend on the lease, which may expire while the answer is outstanding.
    client_.send(controller, std::move(request), protocol::heartbeat_timeout_s,
                 guard_([this, now,
                         agent_epoch = heartbeat.agent_epoch](const std::optional<http::Response>& response) {
                     on_answer(agent_epoch, now, response);
                 }));
}
void HeartbeatSender::count_sent(const std::string& body, std::uint64_t bytes) {
    auto& counts = context_.counts();
    ++counts.heartbeats;
    counts.heartbeat_bytes += bytes;
    ++counts.heartbeats_by_controller[Experiment::controller_label(controller_)];
    if (!differ_only_in_sequence(body, last_body_)) return;
    ++counts.repeated_heartbeats;
    counts.repeated_bytes += bytes;
}

void HeartbeatSender::on_answer(protocol::AgentEpoch agent_epoch, double sent_at,
                                const std::optional<http::Response>& response) {
    if (stopped_) return;
    in_flight_ = false;
    auto& counts = context_.counts();
    agent_.check_lease();
    if (!response) {
        ++counts.unanswered;
        switch_to_next_controller();
        return schedule();
    }
    ++counts.answers;
    counts.answer_bytes += response_bytes(*response);
    if (response->status == 421) {
        ++counts.redirected;
        on_redirect(response->body);
    } else if (response->status != 200) {
        ++counts.rejected;
        switch_to_next_controller();
    } else {
        agent_.handle_answer({agent_epoch, sent_at, response->body});
    }
    schedule();
}
void HeartbeatSender::on_redirect(const std::string& body) {
    auto named = messages::parse_redirect(body);
    for (std::uint32_t index = 0; named && index < context_.experiment().controllers; ++index) {
        if (*named != Experiment::controller_label(index) || index == controller_) continue;
        controller_ = index;
        regular_due_ = context_.loop().now() + draw_uniform(context_.random(), 0, max_redirect_delay_s);
        return;
    }
    switch_to_next_controller();
}
void HeartbeatSender::switch_to_next_controller() {
    controller_ = (controller_ + 1) % context_.experiment().controllers;
    regular_due_ = context_.loop().now() + next_controller_delay_s;
    status_changed_ = false;
}

}  // namespace coralhitch::scale

// Parses heartbeats with simdjson instead of nlohmann::json trees, because they are most of what a leader
// reads.
#include <charconv>

#include "protocol/agent_api.hpp"
#include "protocol/json_reader.hpp"

namespace coralhitch::protocol {
namespace {
using reader::element;

TaskId task_id(std::string_view text) {
    auto slash = text.rfind('/');
    if (slash == std::string_view::npos) throw_malformed("shard", "is not a task id");
    TaskId id{std::string(text.substr(0, slash)), 0};
    auto* text_end = text.data() + text.size();
    auto [end, error] = std::from_chars(text.data() + slash + 1, text_end, id.index);
    if (error != std::errc() || end != text_end) throw_malformed("shard", "is not a task id");
    return id;
}
// Maps causes that this version does not know to `error`: the task has exited all the same.
ExitCause exit_cause(const reader::object& task) {
    element field;
    std::string_view text;
    if (reader::find(task, "cause", field) && field.get(text) == simdjson::SUCCESS)
        for (auto& [cause, name] : cause_names)
            if (name == text) return cause;
    return ExitCause::error;
}
TaskStatus task_status(const element& row) {
    auto task = reader::as_object(row, "shards");
    TaskStatus status;
    status.task = task_id(reader::text(task, "shard"));
    status.attempt = AttemptNumber{reader::count(task, "launch")};
    status.state = named(task_state_names, reader::text(task, "status"), "status");
    if (status.state == TaskState::exited) status.cause = exit_cause(task);
    element field;
    bool saved = false;
    if (reader::find(task, "saved", field) && field.get(saved) == simdjson::SUCCESS) status.saved = saved;
    return status;
}
}  // namespace

struct HeartbeatReader::Parser {
    simdjson::dom::parser parser;
};
HeartbeatReader::HeartbeatReader() : parser_(std::make_unique<Parser>()) {}
HeartbeatReader::~HeartbeatReader() = default;

Heartbeat HeartbeatReader::read(std::string_view body) {
    auto object = reader::root(parser_->parser, body);
    Heartbeat heartbeat;
    heartbeat.machine = reader::text(object, "berth");
    heartbeat.addr = reader::text(object, "addr");
    heartbeat.type = reader::text(object, "hull");
    heartbeat.zone = reader::text(object, "reef");
    heartbeat.spot = reader::flag(object, "driftwood");
    heartbeat.agent_epoch = AgentEpoch{reader::count(object, "watch")};
    heartbeat.sequence = SequenceNumber{reader::count(object, "tally")};
    heartbeat.token = FencingToken{reader::count(object, "helm")};
    element notice;
    if (reader::find(object, "warning_s", notice)) {
        double seconds = 0;
        if (notice.get(seconds) != simdjson::SUCCESS) throw_malformed("warning_s", "is not a number");
        heartbeat.preemption_notice_s = seconds;
    }
    for (auto row : reader::list(object, "shards")) heartbeat.tasks.push_back(task_status(row));
    return heartbeat;
}
Heartbeat parse_heartbeat(std::string_view body) {
    return HeartbeatReader().read(body);
}

}  // namespace coralhitch::protocol

// Heartbeats, read without a tree of values: they are most of what a leader reads.
#include <charconv>

#include "protocol/agent_api.hpp"
#include "protocol/json_reader.hpp"

namespace coralhitch::protocol {
namespace {
using reader::element;

TaskId task_id(std::string_view s) {
    auto slash = s.rfind('/');
    if (slash == std::string_view::npos) bad("shard", "is not a task id");
    TaskId id{std::string(s.substr(0, slash)), 0};
    auto [end, ec] = std::from_chars(s.data() + slash + 1, s.data() + s.size(), id.index);
    if (ec != std::errc() || end != s.data() + s.size()) bad("shard", "is not a task id");
    return id;
}
TaskStatus task_status(const element& e) {
    auto o = reader::as_object(e, "shards");
    TaskStatus t;
    t.task = task_id(reader::text(o, "shard"));
    t.attempt = AttemptNumber{reader::count(o, "launch")};
    t.state = named(task_state_names, reader::text(o, "status"), "status");
    element other;
    // A cause this program doesn't know still is an end of the task.
    if (t.state == TaskState::exited) {
        t.cause = ExitCause::error;
        std::string_view why;
        if (reader::find(o, "cause", other) && other.get(why) == simdjson::SUCCESS)
            for (auto& [value, name] : cause_names)
                if (name == why) t.cause = value;
    }
    bool saved = false;
    if (reader::find(o, "saved", other) && other.get(saved) == simdjson::SUCCESS) t.saved = saved;
    return t;
}
}  // namespace

struct HeartbeatReader::Parser {
    simdjson::dom::parser parser;
};
HeartbeatReader::HeartbeatReader() : parser_(std::make_unique<Parser>()) {}
HeartbeatReader::~HeartbeatReader() = default;

Heartbeat HeartbeatReader::read(std::string_view body) {
    auto o = reader::root(parser_->parser, body);
    Heartbeat r;
    r.machine = reader::text(o, "berth");
    r.addr = reader::text(o, "addr");
    r.type = reader::text(o, "hull");
    r.zone = reader::text(o, "reef");
    r.spot = reader::flag(o, "driftwood");
    r.agent_epoch = AgentEpoch{reader::count(o, "watch")};
    r.sequence = SequenceNumber{reader::count(o, "tally")};
    r.token = FencingToken{reader::count(o, "helm")};
    element e;
    if (reader::find(o, "warning_s", e)) {
        double s = 0;
        if (e.get(s) != simdjson::SUCCESS) bad("warning_s", "is not a number");
        r.preemption_notice_s = s;
    }
    for (auto t : reader::list(o, "shards")) r.tasks.push_back(task_status(t));
    return r;
}
Heartbeat parse_heartbeat(std::string_view body) {
    return HeartbeatReader().read(body);
}

}  // namespace coralhitch::protocol

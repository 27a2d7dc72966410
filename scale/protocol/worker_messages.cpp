#include "scale/protocol/worker_messages.hpp"

#include "protocol/malformed.hpp"
#include "protocol/names.hpp"
#include "protocol/numbers.hpp"
#include "scale/protocol/json_object.hpp"

namespace coralhitch::scale::messages {
namespace {

protocol::TaskId parse_task_id(const std::string& text) {
    auto slash = text.rfind('/');
    if (slash == std::string::npos) throw protocol::Malformed("not a task id");
    return {text.substr(0, slash), static_cast<std::uint32_t>(std::stoul(text.substr(slash + 1)))};
}

template <class Task>
void append_task(std::string& out, const Task& task) {
    out += R"({"shard":")" + task.task.str() + R"(","launch":)" + std::to_string(task.attempt.value()) +
           R"(,"status":")";
    out += protocol::name_of(protocol::task_state_names, task.state);
    out += '"';
    if (task.state == protocol::TaskState::exited) {
        out += R"(,"cause":")";
        out += protocol::name_of(protocol::cause_names, task.cause);
        out += '"';
    }
    out += '}';
}

}  // namespace

std::string heartbeat_body(const protocol::Heartbeat& heartbeat) {
    std::string out = R"({"berth":")" + heartbeat.machine + R"(","addr":")" + heartbeat.addr +
                      R"(","hull":")" + heartbeat.type + R"(","reef":")" + heartbeat.zone +
                      R"(","driftwood":)" + (heartbeat.spot ? "true" : "false") + R"(,"watch":)" +
                      std::to_string(heartbeat.agent_epoch.value()) + R"(,"tally":)" +
                      std::to_string(heartbeat.sequence.value()) + R"(,"helm":)" +
                      std::to_string(heartbeat.token.value()) + R"(,"warning_s":null,"shards":[)";
    for (auto& task : heartbeat.tasks) {
        if (out.back() == '}') out += ',';
        append_task(out, task);
    }
    return out + "]}";
}

Orders parse_orders(std::string_view body) {
    auto object = parse_object(body);
    Orders orders;
    if (object.contains("helm")) orders.token = protocol::FencingToken{object["helm"].get<std::uint64_t>()};
    if (object.contains("watch"))
        orders.agent_epoch = protocol::AgentEpoch{object["watch"].get<std::uint64_t>()};
    if (!object.contains("orders")) return orders;
    for (auto& order : object["orders"]) {
        protocol::Command command;
        command.kind = protocol::named(protocol::command_names, order.value("verb", ""), "verb");
        command.task = parse_task_id(order.value("shard", ""));
        command.attempt = protocol::AttemptNumber{order.value("launch", std::uint64_t{0})};
        command.grace_s = order.value("slack_s", 0.0);
        orders.commands.push_back(std::move(command));
    }
    return orders;
}

std::optional<std::string> parse_redirect(std::string_view body) {
    auto object = nlohmann::json::parse(body, nullptr, false);
    if (!object.is_object() || !object.contains("harbor") || !object["harbor"].is_string())
        return std::nullopt;
    return object["harbor"].get<std::string>();
}

}  // namespace coralhitch::scale::messages

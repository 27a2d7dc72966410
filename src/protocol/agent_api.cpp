#include "protocol/agent_api.hpp"

#include <charconv>

#include "protocol/json_fields.hpp"

namespace coralhitch::protocol {
using nlohmann::json;

namespace {
// Skips the JSON library for an empty list, because most responses carry no commands.
std::string command_list(std::span<const Command> commands) {
    if (commands.empty()) return "[]";
    json list = json::array();
    for (auto& command : commands) {
        json object{{"verb", name_of(command_names, command.kind)},
                    {"shard", command.task.str()},
                    {"launch", command.attempt.value()}};
        if (command.kind == CommandKind::stop) object["slack_s"] = command.grace_s;
        list.push_back(std::move(object));
    }
    return fields::to_json_text(list);
}
}  // namespace

std::optional<HeartbeatOutline> outline_heartbeat(std::string_view body) {
    constexpr std::string_view machine_field = "\"berth\":", agent_epoch_field = "\"watch\":",
                               sequence_field = "\"tally\":";
    constexpr auto npos = std::string_view::npos;
    auto value_at = [&](std::string_view field) {
        auto position = body.find(field);
        return position == npos ? npos : body.find_first_not_of(' ', position + field.size());
    };
    auto machine_at = value_at(machine_field);
    if (machine_at == npos || body[machine_at] != '"') return std::nullopt;
    auto machine_end = body.find('"', ++machine_at);
    auto agent_epoch_at = value_at(agent_epoch_field);
    HeartbeatOutline outline;
    outline.sequence_offset = value_at(sequence_field);
    if (machine_end == npos || agent_epoch_at == npos || outline.sequence_offset == npos) return std::nullopt;
    auto* text_end = body.data() + body.size();
    std::uint64_t agent_epoch = 0, sequence = 0;
    if (std::from_chars(body.data() + agent_epoch_at, text_end, agent_epoch).ec != std::errc())
        return std::nullopt;
    outline.agent_epoch = AgentEpoch{agent_epoch};
    outline.machine = body.substr(machine_at, machine_end - machine_at);
    auto [last, error] = std::from_chars(body.data() + outline.sequence_offset, text_end, sequence);
    outline.sequence = SequenceNumber{sequence};
    outline.sequence_digits = static_cast<std::size_t>(last - body.data()) - outline.sequence_offset;
    // With an escape sequence in it, the raw text is not the machine's name.
    if (error != std::errc() || outline.machine.find('\\') != npos) return std::nullopt;
    return outline;
}
std::string heartbeat_response(FencingToken token, std::span<const Command> commands) {
    return R"({"helm":)" + std::to_string(token.value()) + R"(,"orders":)" + command_list(commands) + '}';
}
std::string direct_commands(FencingToken token, AgentEpoch agent_epoch, std::span<const Command> commands) {
    return R"({"helm":)" + std::to_string(token.value()) + R"(,"watch":)" +
           std::to_string(agent_epoch.value()) + R"(,"orders":)" + command_list(commands) + '}';
}
std::string heartbeat_redirect(std::string_view label) {
    return label.empty() ? "{}" : fields::to_json_text(json{{"harbor", label}});
}

}  // namespace coralhitch::protocol

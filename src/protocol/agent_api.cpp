#include "protocol/agent_api.hpp"

#include <charconv>

#include "protocol/json_fields.hpp"

namespace coralhitch::protocol {
using nlohmann::json;

namespace {
// Most responses hold none.
std::string orders(std::span<const Command> commands) {
    if (commands.empty()) return "[]";
    json out = json::array();
    for (auto& c : commands) {
        json o{{"verb", name_of(command_names, c.kind)}, {"shard", c.task.str()}, {"launch", c.attempt}};
        if (c.kind == CommandKind::stop) o["slack_s"] = c.grace_s;
        out.push_back(std::move(o));
    }
    return fields::dumped(out);
}
}  // namespace

std::optional<HeartbeatOutline> outline_heartbeat(std::string_view body) {
    constexpr std::string_view machine_field = "\"berth\":", session_field = "\"watch\":",
                               sequence_field = "\"tally\":";
    auto value_at = [&](std::string_view field) {
        auto p = body.find(field);
        if (p == std::string_view::npos) return p;
        return body.find_first_not_of(' ', p + field.size());
    };
    HeartbeatOutline o;
    auto m = value_at(machine_field);
    if (m == std::string_view::npos || body[m] != '"') return std::nullopt;
    auto end = body.find('"', ++m);
    auto agent_epoch = value_at(session_field);
    o.at = value_at(sequence_field);
    if (end == std::string_view::npos || agent_epoch == std::string_view::npos ||
        o.at == std::string_view::npos)
        return std::nullopt;
    auto* text_end = body.data() + body.size();
    if (std::from_chars(body.data() + agent_epoch, text_end, o.agent_epoch).ec != std::errc())
        return std::nullopt;
    o.machine = body.substr(m, end - m);
    auto [last, ec] = std::from_chars(body.data() + o.at, text_end, o.sequence);
    o.digits = static_cast<std::size_t>(last - body.data()) - o.at;
    // An escape would make the name another one.
    if (ec != std::errc() || o.machine.find('\\') != std::string_view::npos) return std::nullopt;
    return o;
}
std::string heartbeat_response(std::uint64_t token, std::span<const Command> commands) {
    return R"({"helm":)" + std::to_string(token) + R"(,"orders":)" + orders(commands) + '}';
}
std::string direct_commands(std::uint64_t token, std::uint64_t agent_epoch,
                            std::span<const Command> commands) {
    return R"({"helm":)" + std::to_string(token) + R"(,"watch":)" + std::to_string(agent_epoch) +
           R"(,"orders":)" + orders(commands) + '}';
}
std::string heartbeat_redirect(std::string_view label) {
    return label.empty() ? "{}" : fields::dumped(json{{"harbor", label}});
}

}  // namespace coralhitch::protocol

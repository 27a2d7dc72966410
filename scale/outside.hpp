// The other side of the protocol: what users, workers, the cloud and the key-value store say and read. With
// wire/, which holds the controllers' side, the only place with the protocol's names.
#pragma once
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/kv_api.hpp"
#include "protocol/model.hpp"

namespace coralhitch::scale::outside {

// Users
protocol::JobStatus parse_status(std::string_view body);

// Workers
std::string report_body(const protocol::Heartbeat& report);
struct Orders {
    std::optional<std::uint64_t> token, agent_epoch;
    std::vector<protocol::Command> commands;
};
Orders parse_orders(std::string_view body);  // an answer to a report, or direct commands
std::optional<std::string> parse_elsewhere(std::string_view body);

// Cloud
struct Rent {
    std::string name, type, zone;
    bool spot = false;
    std::uint32_t count = 0;
};
Rent parse_rent(std::string_view body);
std::vector<std::string> parse_machines(std::string_view body);
std::string machines_body(const std::vector<std::string>& machines);
std::string hosts_body(const std::vector<protocol::Host>& hosts, bool more);
std::vector<protocol::Host> parse_hosts(std::string_view body);

// State service
protocol::Txn parse_txn(std::string_view body);
std::string revision_body(std::uint64_t revision);
std::string conflict_body(const std::vector<std::string>& failed, std::uint64_t revision);
std::string entry_body(const protocol::Entry& entry);
std::string entries_body(const std::vector<protocol::Entry>& entries, bool more, std::uint64_t revision);
std::string events_body(const std::vector<const protocol::Event*>& events, std::uint64_t revision);
std::string lease_body(std::uint64_t lease);
double parse_ttl_s(std::string_view body);
// A parameter of a target's query, or "".
std::string query(const std::string& target, const std::string& name);

}  // namespace coralhitch::scale::outside

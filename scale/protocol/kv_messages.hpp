// Messages of the key-value store: parses requests to it and writes its answers. Parsers throw if the body is
// malformed.
#pragma once
#include <string>
#include <string_view>
#include <vector>

#include "protocol/kv_api.hpp"

namespace coralhitch::scale::messages {

protocol::Txn parse_transaction(std::string_view body);
std::string revision_body(std::uint64_t revision);
std::string conflict_body(const std::vector<std::string>& failed_keys, std::uint64_t revision);
std::string entry_body(const protocol::Entry& entry);
std::string entries_body(const std::vector<protocol::Entry>& entries, bool more, std::uint64_t revision);
std::string events_body(const std::vector<const protocol::Event*>& events, std::uint64_t revision);
std::string lease_body(std::uint64_t lease);
double parse_ttl_s(std::string_view body);

}  // namespace coralhitch::scale::messages

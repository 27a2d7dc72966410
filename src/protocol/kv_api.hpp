// What controllers and the consensus-backed key-value store say to each other: keys, transactions, leases,
// watches.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/malformed.hpp"

namespace coralhitch::protocol {

namespace paths {
inline constexpr std::string_view txn = "/txn";
inline constexpr std::string_view leases = "/holds";
std::string kv(std::string_view key);
// A page of at most `limit` keys with the prefix that come after `after`.
std::string kv_list(std::string_view prefix, std::string_view after, int limit);
// Changes after that revision; the answer waits so long for one.
std::string watch(std::string_view prefix, std::uint64_t since, std::uint64_t wait_ms);
std::string lease(std::uint64_t id);
std::string lease_renew(std::uint64_t id);
}  // namespace paths

// A key with its value (JSON text) and the revision of its last change.
struct Entry {
    std::string key, value;  // value: JSON text
    std::uint64_t version = 0, lease = 0;
};
// Keys in their order.
struct EntryPage {
    std::vector<Entry> entries;
    bool more = false;
    std::uint64_t revision = 0;
};
// A change of one key.
struct Event {
    std::string key;
    std::optional<std::string> value;  // absent: deleted
    std::uint64_t version = 0;
};
// All changes up to a revision.
struct Events {
    std::uint64_t revision = 0;
    std::vector<Event> events;
};
// The key must have this version; 0: must not exist.
struct Condition {
    std::string key;
    std::uint64_t version = 0;
};
// A put or a delete.
struct Change {
    std::string key;
    std::optional<std::string> value;  // absent: delete
    std::uint64_t lease = 0;
};
// A compare-and-swap transaction: all changes if all conditions hold, otherwise none.
struct Txn {
    std::vector<Condition> conditions;
    std::vector<Change> changes;
};
// The keys whose conditions did not hold.
struct Conflict {
    std::vector<std::string> failed;
};
// All that parse throw Malformed.
Entry parse_entry(std::string_view body);
EntryPage parse_entries(std::string_view body);
Events parse_events(std::string_view body);
std::string txn_request(const Txn& transaction);
std::uint64_t parse_revision(std::string_view body);
Conflict parse_conflict(std::string_view body);
std::string lease_request(std::uint64_t ttl_ms);
std::uint64_t parse_lease(std::string_view body);

}  // namespace coralhitch::protocol

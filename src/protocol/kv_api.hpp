// Messages between controllers and the consensus-backed key-value store: keys, transactions, leases, watches.
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
// Returns the path of a page of at most `limit` keys that have the prefix and sort after `after`; an empty
// `after` asks for the first page.
std::string kv_list(std::string_view prefix, std::string_view after, int limit);
// Returns the path of a long poll for changes after revision `since`; the store holds the request for up to
// `wait_ms` until there is one.
std::string watch(std::string_view prefix, std::uint64_t since, std::uint64_t wait_ms);
std::string lease(std::uint64_t id);
std::string lease_renew(std::uint64_t id);
}  // namespace paths

// A key with its value, the revision of its last change (`version`) and its lease (0: none).
struct Entry {
    std::string key, value;  // value: JSON text
    std::uint64_t version = 0, lease = 0;
};
// One page of a list of keys, in key order.
struct EntryPage {
    std::vector<Entry> entries;
    bool more = false;  // further pages follow
    std::uint64_t revision = 0;
};
// A change of one key, as a watch returns it.
struct Event {
    std::string key;
    std::optional<std::string> value;  // absent: deleted
    std::uint64_t version = 0;
};
// The answer to a watch: all changes up to `revision`.
struct Events {
    std::uint64_t revision = 0;
    std::vector<Event> events;
};
// A condition of a transaction: the key has this version, or does not exist if the version is 0.
struct Condition {
    std::string key;
    std::uint64_t version = 0;
};
// A put or a delete in a transaction.
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
// The parse functions throw Malformed.
Entry parse_entry(std::string_view body);
EntryPage parse_entries(std::string_view body);
Events parse_events(std::string_view body);
// Returns the body of a transaction request.
std::string txn_request(const Txn& transaction);
// Returns the revision of a transaction that was applied.
std::uint64_t parse_revision(std::string_view body);
// Parses the answer to a transaction that was rejected.
Conflict parse_conflict(std::string_view body);
// Returns the body of a request for a lease.
std::string lease_request(std::uint64_t ttl_ms);
// Returns the id of the lease that was granted.
std::uint64_t parse_lease(std::string_view body);

}  // namespace coralhitch::protocol

// Results of requests to the key-value store, one type for each kind of request.
//
// Results are plain values, passed by value to the caller's callback on the event loop's thread.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "protocol/kv_api.hpp"

namespace coralhitch::kv {

// Outcome of a read (get, list, watch). After any status but `ok` nothing is known about the keys, and the
// same read may be sent again after a backoff. After `compacted` a list must come before the next watch.
enum class ReadStatus {
    ok,
    compacted,    // watch only: the store no longer keeps changes this old; list the keys, then watch again
    refused,      // by this controller's own full queue, or by the store's rate limit: not executed
    unavailable,  // the store answered with an error
    no_response,  // time-out or lost connection
    malformed     // the answer could not be parsed
};

// The result of reading one key.
struct GetResult {
    ReadStatus status = ReadStatus::no_response;
    std::optional<protocol::Entry> entry;  // with `ok`: absent if there is no such key

    [[nodiscard]] bool ok() const { return status == ReadStatus::ok; }
};

// The result of reading all keys with a prefix.
struct ListResult {
    ReadStatus status = ReadStatus::no_response;
    std::vector<protocol::Entry> entries;  // in the store's order of keys
    // Store revision of the first page. A list takes several requests, so later pages may already hold newer
    // values; a watch from this revision misses no change.
    std::uint64_t revision = 0;

    [[nodiscard]] bool ok() const { return status == ReadStatus::ok; }
};

// The result of reading the changes to the keys with a prefix.
struct WatchResult {
    ReadStatus status = ReadStatus::no_response;
    protocol::Events events;  // with `ok`: in commit order, and the revision to watch from next

    [[nodiscard]] bool ok() const { return status == ReadStatus::ok; }
    [[nodiscard]] bool compacted() const { return status == ReadStatus::compacted; }
};

// The result of a compare-and-swap transaction, which makes all of its changes if all of its conditions hold,
// and none otherwise.
struct TxnResult {
    enum class Status {
        committed,
        conflict,  // a condition did not hold, nothing was changed: read the `failed` keys again
        refused,   // not executed (queue full, store over its rate or unavailable): may be retried unchanged
        rejected,  // not executed and never will be: the transaction or one of its values is too large
        unknown    // no usable answer: may have been executed, or may be later: read the keys again
    } status = Status::unknown;
    std::uint64_t revision = 0;       // with `committed`: the new version of every key that was put
    std::vector<std::string> failed;  // with `conflict`: keys whose condition did not hold

    // Returns true if the condition on this key did not hold.
    [[nodiscard]] bool failed_on(const std::string& key) const;
    // Returns true only if it is certain that the store has not executed the transaction and will not do so.
    [[nodiscard]] bool not_executed() const {
        return status == Status::refused || status == Status::rejected;
    }
};

// The result of creating or renewing a lease.
struct LeaseResult {
    enum class Status {
        ok,
        expired,  // renewal only: the store no longer has the lease, and has deleted its keys
        failed    // no usable answer: the lease may or may not exist; renewing it again is safe
    } status = Status::failed;
    std::uint64_t id = 0;
    // Steady time in seconds at which the request was sent. The lease lasts at least its time to live from
    // then.
    double sent_at = 0;
};

}  // namespace coralhitch::kv

// What became of a request to the key-value store: one typed result for each kind of request.
//
// Results are plain values. They are handed by value to the caller's callback, on the event loop's thread.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "protocol/kv_api.hpp"

namespace coralhitch::kv {

// How a read (get, list, watch) ended. After anything but `ok` nothing is known about the keys, and the same
// read may be sent again after a backoff; only `compacted` needs another request first.
enum class ReadStatus {
    ok,
    compacted,    // watch only: the store no longer keeps changes this old; list the keys, then watch on
    refused,      // by this controller's own full queue, or by the store's rate limit: not executed
    unavailable,  // the store answered with an error
    no_response,  // time-out or lost connection
    malformed     // the answer could not be parsed
};

struct GetResult {
    ReadStatus status = ReadStatus::no_response;
    std::optional<protocol::Entry> entry;  // with `ok`: absent if there is no such key

    [[nodiscard]] bool ok() const { return status == ReadStatus::ok; }
};

struct ListResult {
    ReadStatus status = ReadStatus::no_response;
    std::vector<protocol::Entry> entries;  // by key, in the store's order
    // Store revision of the first page. A list takes several requests, so later pages may already hold newer
    // values; a watch from this revision on misses nothing.
    std::uint64_t revision = 0;

    [[nodiscard]] bool ok() const { return status == ReadStatus::ok; }
};

struct WatchResult {
    ReadStatus status = ReadStatus::no_response;
    protocol::Events events;  // with `ok`: in commit order, and the revision to watch from next

    [[nodiscard]] bool ok() const { return status == ReadStatus::ok; }
    [[nodiscard]] bool compacted() const { return status == ReadStatus::compacted; }
};

// A compare-and-swap transaction: all of its changes if all of its conditions hold, or nothing.
struct TxnResult {
    enum class Status {
        committed,
        conflict,  // a condition did not hold, nothing was changed: read `failed` keys again, then decide
        refused,  // not executed (queue full, store over its rate or unavailable): may be sent again as it is
        rejected,  // not executed and never will be: the transaction or one of its values is too large
        unknown    // no answer: may have been executed, or may be later: read the keys, then decide
    } status = Status::unknown;
    std::uint64_t revision = 0;       // with `committed`: the new version of every key that was put
    std::vector<std::string> failed;  // with `conflict`: keys whose condition did not hold

    [[nodiscard]] bool failed_on(const std::string& key) const;
    // True only if it is certain that the store did not execute the transaction and won't do so later.
    [[nodiscard]] bool not_executed() const {
        return status == Status::refused || status == Status::rejected;
    }
};

struct LeaseResult {
    enum class Status {
        ok,
        expired,  // renewal only: the store has no such lease any more, and its keys are deleted
        failed    // no usable answer: the lease may or may not exist; renewing it again is safe
    } status = Status::failed;
    std::uint64_t id = 0;
    // Steady time (seconds) at which the request was sent: the lease lasts at least its TTL from here on.
    double sent_at = 0;
};

}  // namespace coralhitch::kv

// Messages between controllers that carry several cancellations; peer_messages.hpp has the message for one
// (`PeerCancellation`).
#pragma once
#include "protocol/numbers.hpp"
#include "protocol/peer_messages.hpp"

namespace coralhitch::protocol {

// Several cancellations, sent to the same path as a `PeerCancellation`. The previous version reads only the
// first two fields, which are those of a `PeerCancellation`.
struct PeerCancellationBatch {
    std::string id;
    std::uint64_t version = 0;             // revision at which its record was marked as cancelled
    std::vector<PeerCancellation> more{};  // further cancellations
    MSGPACK_DEFINE(id, version, more)
};
// The answer to a `PeerCancellationBatch`. The previous version answers without a body.
struct PeerCancellationResponse {
    LeaderVersion applied_by;  // leadership that has applied it; none: the answering controller does not lead
    MSGPACK_DEFINE(applied_by)
};

}  // namespace coralhitch::protocol

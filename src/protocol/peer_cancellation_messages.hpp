// Messages between controllers about cancellations, beside the single notice (`PeerCancellation`).
#pragma once
#include "protocol/numbers.hpp"
#include "protocol/peer_messages.hpp"

namespace coralhitch::protocol {

// On the path of the single notice; the previous version reads only the first two fields.
struct PeerCancellationBatch {
    std::string id;
    std::uint64_t version = 0;             // of its record, which says since then that it is cancelled
    std::vector<PeerCancellation> more{};  // notified together with the first one
    MSGPACK_DEFINE(id, version, more)
};
// The previous version answers without a body.
struct PeerCancellationResponse {
    LeaderVersion taken_by;  // the leadership that has applied it; none: the answering one does not lead
    MSGPACK_DEFINE(taken_by)
};

}  // namespace coralhitch::protocol

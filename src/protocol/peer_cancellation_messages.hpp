// What controllers say to each other of cancellations, beside the single notice (`PeerCancellation`), in
// msgpack.
#pragma once
#include "protocol/peer_messages.hpp"

namespace coralhitch::protocol {

// On the path of the single notice, with what the version before doesn't read at the end.
struct PeerCancellationBatch {
    std::string id;
    std::uint64_t version = 0;             // of its record, which says since then that it is cancelled
    std::vector<PeerCancellation> more{};  // told with the first one
    MSGPACK_DEFINE(id, version, more)
};
// The version before answers without a word.
struct PeerCancellationResponse {
    std::uint64_t taken_by = 0;  // the leadership that has taken it in; 0: the answering one does not lead
    MSGPACK_DEFINE(taken_by)
};

}  // namespace coralhitch::protocol

// The request queues of the key-value store client that appear in metrics and the log, and their names.
#pragma once
#include <array>

#include "kv/kv_client.hpp"

namespace coralhitch::controller {

// A queue of requests to the key-value store: its priority at the client and its name in metrics and the log.
struct KvQueue {
    kv::RequestPriority priority;
    const char* name;
};
// All queues that appear in metrics and the log.
inline constexpr std::array<KvQueue, 4> kv_queues = {{{kv::RequestPriority::cancellation, "cancellations"},
                                                      {kv::RequestPriority::submission, "acceptances"},
                                                      {kv::RequestPriority::write, "writes"},
                                                      {kv::RequestPriority::read, "reads"}}};

}  // namespace coralhitch::controller

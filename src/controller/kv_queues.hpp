// The key-value store client's queues that are shown to operators, with their names in metrics and log.
#pragma once
#include <array>

#include "kv/kv_client.hpp"

namespace coralhitch::controller {

// One queue of requests: its priority at the client, and its name for operators.
struct KvQueue {
    kv::RequestPriority priority;
    const char* name;
};
// All that are shown.
inline constexpr std::array<KvQueue, 4> kv_queues = {{{kv::RequestPriority::cancellation, "cancellations"},
                                                      {kv::RequestPriority::submission, "acceptances"},
                                                      {kv::RequestPriority::write, "writes"},
                                                      {kv::RequestPriority::read, "reads"}}};

}  // namespace coralhitch::controller

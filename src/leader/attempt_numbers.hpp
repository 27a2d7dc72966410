// Attempt numbers for the tasks that one leadership starts. Each number is used once, and all numbers are
// higher than those of every earlier leadership and lower than those of every later one.
//
// A leadership is identified by its version, the revision of the key-value store at which its leader key was
// written. It may use the numbers below (R + 1) << revision_bits, where R is the highest revision at which
// its key is known to have existed. The version of a later leadership is higher than R, so its numbers begin
// above that bound. A transaction that is conditional on the leader key raises R long before the numbers run
// out.
#pragma once
#include <cstdint>
#include <functional>
#include <optional>

#include "event_loop/lifetime_guard.hpp"
#include "kv/kv_client.hpp"
#include "protocol/kv_api.hpp"
#include "protocol/numbers.hpp"

namespace coralhitch::leader {

// Allocates the attempt numbers of one leadership, and reserves more of them before they run out.
class AttemptNumbers {
  public:
    // Binary logarithm of the number of attempt numbers per revision of the key-value store.
    static constexpr int revision_bits = 20;
    // Returns a transaction that fails unless this leadership's key still exists, or nothing if the leader
    // has no authority to act.
    using BeginTransaction = std::function<std::optional<protocol::Txn>()>;

    AttemptNumbers(kv::KvClient& kv, protocol::LeaderVersion version, BeginTransaction begin_transaction);
    // Returns the next number. Returns nothing while all numbers that are known to belong to this leadership
    // are used up.
    std::optional<protocol::AttemptNumber> next();
    // Reserves more numbers once no more than half of the numbers of one revision are left. Must be called
    // periodically. A failed reservation is retried at the next call.
    void extend();

  private:
    kv::KvClient& kv_;
    BeginTransaction begin_transaction_;
    protocol::AttemptNumber last_;   // last number returned
    protocol::AttemptNumber bound_;  // exclusive upper bound of the numbers that may be returned
    bool extending_ = false;
    event_loop::LifetimeGuard guarded_;  // last, so that it is destroyed first
};

}  // namespace coralhitch::leader

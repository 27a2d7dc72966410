// The numbers of the attempts that one leadership starts: each is used once, and all are above those of every
// earlier leadership and below those of every later one.
//
// A leadership is known by its version, the revision of the key-value store at which its key was written. It
// may use the numbers up to (R + 1) << revision_bits, where R is the highest revision at which its key is
// known to have stood: a later leadership's version is above R, and its numbers begin above that bound. R is
// raised by a transaction that holds the leader's key, long before the numbers up to the bound are used up.
#pragma once
#include <cstdint>
#include <functional>
#include <optional>

#include "event_loop/lifetime_guard.hpp"
#include "kv/kv_client.hpp"
#include "protocol/kv_api.hpp"
#include "protocol/numbers.hpp"

namespace coralhitch::leader {

// Gives one leadership its attempt numbers, and reserves more of them before they run out.
class AttemptNumbers {
  public:
    // How many numbers each revision of the key-value store stands for, as a power of two.
    static constexpr int revision_bits = 20;
    // A transaction on the condition that this leadership's key stands; nothing without authority.
    using BeginTransaction = std::function<std::optional<protocol::Txn>()>;

    AttemptNumbers(kv::KvClient& state, protocol::LeaderVersion version, BeginTransaction begin);
    // Nothing while all numbers are used that are known to be this leadership's own.
    std::optional<protocol::AttemptNumber> next();
    // Asks for more when half of what one revision gives is left. To be called every now and then.
    void extend();

  private:
    kv::KvClient& kv_;
    BeginTransaction begin_transaction_;
    protocol::AttemptNumber last_;   // number given
    protocol::AttemptNumber bound_;  // numbers stay below it
    bool extending_ = false;
    event_loop::LifetimeGuard guarded_;  // last, so that it goes first
};

}  // namespace coralhitch::leader

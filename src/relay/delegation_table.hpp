// The leader's bookkeeping of delegated machines: which relaying controller may answer repeated heartbeats of
// which machine, and until when.
//
// Safety needs one bound from it: the last moment at which a relaying controller can have renewed a machine's
// worker lease (`renewal_bound`). A relay answers on its own only until its delegation expires, and it counts
// the delegation from the sending of the message that the leader answered, so it ends there before
// `delegation_expiry` here. A revoked machine is named in every answer until the relay acknowledges one of
// them; an answer that extends the delegation names it too, so no relay gets the extension without the
// revocation.
//
// Not thread safe; times are seconds of the leader's clock.
#pragma once
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "protocol/numbers.hpp"

namespace coralhitch::relay {

class DelegationTable {
  public:
    // A machine is no longer delegated; its former relay may have renewed its lease up to `renewal_bound`.
    using ReturnedCallback = std::function<void(const std::string& machine, double renewal_bound)>;

    // Message `number` of a relay has arrived; `acknowledged` is the last message whose answer it applied, so
    // the revocations in that answer need not be repeated. A relay process that was restarted has lost its
    // delegations: `returned` is called for each of its machines, if it had any extension. False if a later
    // message of this process arrived before.
    [[nodiscard]] bool accept_message(const std::string& relay_label, protocol::Incarnation incarnation,
                                      std::uint64_t number, std::uint64_t acknowledged,
                                      const ReturnedCallback& returned);
    // The relay may answer this machine's repeated heartbeats. Revoked from any other relay.
    void delegate(const std::string& machine, const std::string& relay_label);
    // From now on the machine's heartbeats must reach the leader. Returns until when its relay may still
    // renew its lease; nothing if it was not delegated, or the relay never had an extension.
    std::optional<double> revoke(const std::string& machine);
    [[nodiscard]] bool delegated_to(const std::string& machine, const std::string& relay_label) const;
    // The last moment at which anybody can have renewed this machine's lease, given the leader's own last
    // renewal.
    [[nodiscard]] double renewal_bound(const std::string& machine, double own_renewal) const;

    // Extends the relay's delegation in the answer to its message (never shortens it). Returns the machines
    // whose revocation the same answer must carry.
    [[nodiscard]] std::vector<std::string> extend(const std::string& relay_label, double delegation_expiry);
    // Machines delegated to this relay, or to all.
    [[nodiscard]] std::size_t count(const std::string& relay_label) const;
    [[nodiscard]] std::size_t count() const { return machine_relays_.size(); }
    // The relay with the fewest machines among those whose delegation has not expired and that have less than
    // `limit`; nothing if there is none.
    [[nodiscard]] std::optional<std::string> least_loaded(double now, std::size_t limit) const;

  private:
    struct Revocation {
        std::uint64_t first_message;  // carried by the answers to this and all later messages
        std::string machine;
    };
    struct RelayState {
        protocol::Incarnation incarnation;
        std::uint64_t last_message = 0;
        std::optional<double> delegation_expiry;  // nothing until the first extension
        std::size_t machines = 0;
        std::deque<Revocation> revocations;  // not acknowledged, oldest first
    };
    void reset(const std::string& relay_label, RelayState& relay, protocol::Incarnation incarnation,
               const ReturnedCallback& returned);

    std::map<std::string, RelayState> relays_;                     // by label
    std::unordered_map<std::string, std::string> machine_relays_;  // machine to relay label
};

}  // namespace coralhitch::relay

// The leader's table of delegations: which relay (a controller that relays heartbeats) may answer repeated
// heartbeats of which machine, and until when.
//
// Safety depends on one bound from this table: the latest time at which a relay can have renewed a machine's
// lease (`renewal_bound`). A relay answers by itself only until its delegation expires. It measures the
// delegation from the time at which it sent the message that the leader answered, so its delegation ends
// before the `delegation_expiry` recorded here. Every answer names a revoked machine until the relay has
// acknowledged one of these answers. This includes the answers that extend the delegation, so no relay
// receives an extension without the revocation.
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

// Records the machines of each relay, when its delegation expires, and its unacknowledged revocations.
class DelegationTable {
  public:
    // Called for a machine that is no longer delegated. Its former relay may have renewed its lease at any
    // time up to `renewal_bound`.
    using ReturnedCallback = std::function<void(const std::string& machine, double renewal_bound)>;

    // Records the arrival of message `number` of a relay. `acknowledged` is the number of the last message
    // whose answer the relay has applied: the revocations in that answer need not be repeated. A relay
    // process that was restarted has lost its delegations, so `returned` is called for each of its machines,
    // unless its delegation was never extended. Returns false if a later message of the same process came
    // first.
    [[nodiscard]] bool accept_message(const std::string& relay_label, protocol::Incarnation incarnation,
                                      std::uint64_t number, std::uint64_t acknowledged,
                                      const ReturnedCallback& returned);
    // Allows the relay to answer this machine's repeated heartbeats, and revokes the machine from any other
    // relay.
    void delegate(const std::string& machine, const std::string& relay_label);
    // Revokes the machine from its relay, so that its heartbeats reach the leader again. Returns the time
    // until which the relay may still renew the machine's lease; nullopt if the machine was not delegated or
    // the relay's delegation was never extended.
    std::optional<double> revoke(const std::string& machine);
    [[nodiscard]] bool delegated_to(const std::string& machine, const std::string& relay_label) const;
    // Returns the latest time at which the leader or a relay can have renewed this machine's lease.
    // `own_renewal` is the time of the leader's own last renewal.
    [[nodiscard]] double renewal_bound(const std::string& machine, double own_renewal) const;

    // Extends the relay's delegation, as stated in the answer to its message. An earlier `delegation_expiry`
    // does not shorten the delegation. Returns the machines whose revocation the same answer must carry.
    [[nodiscard]] std::vector<std::string> extend(const std::string& relay_label, double delegation_expiry);
    // Returns the number of machines delegated to this relay.
    [[nodiscard]] std::size_t count(const std::string& relay_label) const;
    // Returns the number of machines delegated to all relays.
    [[nodiscard]] std::size_t count() const { return machine_relays_.size(); }
    // Returns the relay with the fewest machines, among the relays whose delegation has not expired and that
    // have fewer than `limit` machines; nullopt if there is no such relay.
    [[nodiscard]] std::optional<std::string> least_loaded(double now, std::size_t limit) const;

  private:
    struct Revocation {
        std::uint64_t first_message;  // the answers to this message and all later ones carry the revocation
        std::string machine;
    };
    struct RelayState {
        protocol::Incarnation incarnation;
        std::uint64_t last_message = 0;
        std::optional<double> delegation_expiry;  // nullopt until the first extension
        std::size_t machines = 0;
        std::deque<Revocation> revocations;  // unacknowledged revocations, oldest first
    };
    void reset(const std::string& relay_label, RelayState& relay, protocol::Incarnation incarnation,
               const ReturnedCallback& returned);

    std::map<std::string, RelayState> relays_;                     // by label
    std::unordered_map<std::string, std::string> machine_relays_;  // machine to relay label
};

}  // namespace coralhitch::relay

#include "leader/authority.hpp"

#include <limits>
#include <utility>

#include "kv/keys.hpp"
#include "relay/worker_lease.hpp"

namespace coralhitch::leader {

Authority::Authority(event_loop::Timers& timers, const config::Settings& settings,
                     election::Election& election, protocol::LeaderVersion fencing_token,
                     CancellationsKnownUntil cancellations_known_until)
    : timers_(timers),
      settings_(settings),
      election_(election),
      fencing_token_(fencing_token),
      cancellations_known_until_(std::move(cancellations_known_until)),
      renewal_after_expiry_s_(relay::renewal_grace_s(settings, election.lease_ttl_s())) {}

bool Authority::may_renew_worker_leases() const {
    return !ended_ && timers_.now() <= lease_renewal_deadline();
}

double Authority::lease_renewal_deadline() const {
    constexpr double never = -std::numeric_limits<double>::infinity();
    return relay::lease_renewal_deadline(settings_, election_.lease_ttl_s(),
                                         cancellations_known_until_().value_or(never),
                                         election_.authority_expiry());
}

protocol::Txn Authority::fenced_transaction() const {
    protocol::Txn transaction;
    transaction.conditions.push_back({kv::keys::leader, fencing_token_.value()});
    return transaction;
}

std::optional<protocol::Txn> Authority::begin_transaction() const {
    if (!holds()) return std::nullopt;
    return fenced_transaction();
}

}  // namespace coralhitch::leader

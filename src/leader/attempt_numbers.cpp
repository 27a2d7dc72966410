#include "leader/attempt_numbers.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "kv/keys.hpp"

namespace coralhitch::leader {
namespace {
constexpr std::uint64_t numbers_per_revision = 1ull << AttemptNumbers::revision_bits;
constexpr std::uint64_t low_water = numbers_per_revision / 2;
}  // namespace

AttemptNumbers::AttemptNumbers(kv::KvClient& kv, protocol::LeaderVersion version,
                               BeginTransaction begin_transaction)
    : kv_(kv),
      begin_transaction_(std::move(begin_transaction)),
      last_(version.value() << revision_bits),
      bound_((version.value() + 1) << revision_bits) {}

std::optional<protocol::AttemptNumber> AttemptNumbers::next() {
    if (last_.next() >= bound_) return std::nullopt;
    return last_ = last_.next();
}

void AttemptNumbers::extend() {
    if (extending_ || bound_.value() - last_.value() > low_water) return;
    auto transaction = begin_transaction_();
    if (!transaction) return;
    // The written value does not matter. The transaction shows that the leader key still exists at a higher
    // revision.
    transaction->changes.push_back({kv::keys::attempts, "{}", 0});
    extending_ = true;
    kv_.txn(std::move(*transaction), kv::RequestPriority::write,
            guarded_([this](const kv::TxnResult& result) {
                extending_ = false;
                if (result.status != kv::TxnResult::Status::committed) return;  // the next call retries
                bound_ = std::max(bound_, protocol::AttemptNumber{(result.revision + 1) << revision_bits});
                spdlog::info("component=leader event=attempt_numbers_extended revision={}", result.revision);
            }));
}

}  // namespace coralhitch::leader

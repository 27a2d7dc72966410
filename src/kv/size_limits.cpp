#include "kv/size_limits.hpp"

#include <algorithm>

namespace coralhitch::kv {

SizeLimits::SizeLimits(const config::Settings& settings)
    : configured_txn_ops_(settings.txn_ops),
      txn_ops_(settings.txn_ops),
      value_bytes_(static_cast<std::size_t>(settings.safe_value_kb * 1024)) {}

void SizeLimits::shrink_after_rejection(const protocol::Txn& rejected) {
    if (rejected.changes.size() > min_txn_ops) {
        txn_ops_ = std::max(min_txn_ops, std::min(txn_ops_, rejected.changes.size() / 2));
        return;
    }
    std::size_t largest = 0;
    for (const auto& change : rejected.changes)
        largest = std::max(largest, change.value ? change.value->size() : 0);
    value_bytes_ = std::max(min_value_bytes, std::min(value_bytes_, largest * 3 / 4));
    // Halving the transactions has isolated the value that was too large. The number of changes may never
    // have been the cause: if it stayed low, every later write would cost more requests than necessary.
    txn_ops_ = configured_txn_ops_;
}

}  // namespace coralhitch::kv

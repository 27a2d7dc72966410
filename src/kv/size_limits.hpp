// This controller's current estimate of how large a transaction and a single value may be.
//
// The limits start at the configured values and shrink when the key-value store rejects a transaction,
// because the store's limits may be lowered without notice. A rejection does not say what was too large, so
// the number of changes is reduced first. If a transaction with at most `min_txn_ops` changes is still
// rejected, its largest value was too large: the limit of values is reduced, and that of changes returns to
// its configured value. The limit of values never grows again while the process runs.
#pragma once
#include <cstddef>

#include "config/settings.hpp"
#include "protocol/kv_api.hpp"

namespace coralhitch::kv {

// Limits of the size of transactions and values. Used on the event loop's thread.
class SizeLimits {
  public:
    // The limits never shrink below these numbers of changes and of bytes.
    static constexpr std::size_t min_txn_ops = 2, min_value_bytes = 256;

    explicit SizeLimits(const config::Settings& settings);

    // Returns the maximum number of changes in one transaction.
    [[nodiscard]] std::size_t txn_ops() const { return txn_ops_; }
    // Returns the maximum size of one value, in bytes of JSON.
    [[nodiscard]] std::size_t value_bytes() const { return value_bytes_; }

    // Shrinks the limits. Must be called for each transaction that the store rejected as too large.
    void shrink_after_rejection(const protocol::Txn& rejected);

  private:
    std::size_t configured_txn_ops_;
    std::size_t txn_ops_;
    std::size_t value_bytes_;
};

}  // namespace coralhitch::kv

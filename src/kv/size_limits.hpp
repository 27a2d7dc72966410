// How large a transaction and a single value may be, as far as this controller knows.
//
// It starts from what the settings promise and shrinks when the key-value store rejects a transaction all
// the same: the store's limits may fall without notice. A rejection does not say what was too large, so the
// next transactions get fewer changes first; if one with hardly any changes is rejected still, its largest
// value was too large. The limits never grow back beyond the settings' while the process runs.
#pragma once
#include <cstddef>

#include "config/settings.hpp"
#include "protocol/kv_api.hpp"

namespace coralhitch::kv {

class SizeLimits {
  public:
    // Below these, smaller transactions or values are not tried.
    static constexpr std::size_t min_txn_ops = 2, min_value_bytes = 256;

    explicit SizeLimits(const config::Settings& settings);

    // Most changes that one transaction should hold.
    [[nodiscard]] std::size_t txn_ops() const { return txn_ops_; }
    // Most bytes of JSON that one value should hold.
    [[nodiscard]] std::size_t value_bytes() const { return value_bytes_; }

    // To be called for each transaction that the store rejected as too large.
    void shrink_after_rejection(const protocol::Txn& rejected);

  private:
    std::size_t promised_txn_ops_;  // by the settings
    std::size_t txn_ops_;
    std::size_t value_bytes_;
};

}  // namespace coralhitch::kv

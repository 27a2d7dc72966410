// The platform's settings for tests of single classes. A test sets the fields on which its expectations
// depend. The defaults describe a small key-value store whose limits are not reached.
#pragma once
#include <cstdint>

#include "config/settings.hpp"

namespace coralhitch {

// The part of the settings that tests choose.
struct TestPlatform {
    std::uint32_t nodes = 1;
    double heartbeat_interval_s = 0, lease_s = 0, cancel_s = 0;
    double kv_rps = 100, kv_write_rps = 50;
    double memory_mb = 0;
    std::uint32_t txn_ops = 24;
};

// Returns complete settings with these values.
inline config::Settings settings_of(const TestPlatform& platform) {
    config::Settings settings;
    settings.nodes = platform.nodes;
    settings.heartbeat_interval_s = platform.heartbeat_interval_s;
    settings.lease_s = platform.lease_s;
    settings.cancel_s = platform.cancel_s;
    settings.kv_rps = platform.kv_rps;
    settings.kv_write_rps = platform.kv_write_rps;
    settings.value_kb = settings.safe_value_kb = 16;
    settings.txn_ops = platform.txn_ops;
    settings.memory_mb = platform.memory_mb;
    return settings;
}

}  // namespace coralhitch

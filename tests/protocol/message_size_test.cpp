// Tests that the largest messages between controllers and the largest stored values stay within their limits
// for a large cluster: 8,000 machines with 17 tasks each.
#include <gtest/gtest.h>

#include <cstdio>

#include "protocol/model.hpp"
#include "protocol/peer_messages.hpp"
#include "protocol/records.hpp"

namespace coralhitch::protocol {
namespace {

constexpr std::size_t machine_count = 8000, tasks_per_machine = 17, images_per_machine = 10;
constexpr std::size_t live_jobs = 1400;
constexpr std::size_t memory_bytes = 136 * 1024 * 1024;  // the memory limit at sites of 1,300 machines
constexpr std::size_t body_limit = memory_bytes / 32;    // as in src/controller/main.cpp
constexpr std::uint64_t version = 1ull << 32;

std::string name(const char* form, std::size_t k) {
    char text[40];
    std::snprintf(text, sizeof text, form, k);
    return text;
}
std::size_t packed_bytes(const char* what, const auto& message) {
    auto bytes = pack_peer(message).size();
    std::printf("%-40s %8zu bytes\n", what, bytes);
    return bytes;
}

TEST(MessageSize, OfAPingThatNamesAllMachinesTwice) {
    PeerPing ping;
    for (std::size_t k = 0; k < machine_count; ++k) {
        ping.reporting_machines.push_back(name("vm-%06zu", k));
        ping.heartbeat_ages_ms.push_back(70000);
        ping.suspected.push_back(name("vm-%06zu", k));
        ping.suspected_silence_ms.push_back(70000);
    }
    for (std::size_t k = 0; k < live_jobs; ++k)
        ping.task_counts.push_back({name("j-%09zu", k), 70000, 70000});
    EXPECT_LT(packed_bytes("ping, 8,000 + 8,000 machines", ping), body_limit / 8);
}

TEST(MessageSize, OfAReplicationRequest) {
    ReplicationRequest piece;
    for (std::size_t k = 0; k < 1024; ++k) {  // replication::ReplicationSender's max_batch_machines
        ReplicatedMachine row{name("vm-%06zu", k), true, false, AgentEpoch{1}, SequenceNumber{70000}, {}};
        for (std::uint32_t t = 0; t < tasks_per_machine; ++t)
            row.tasks.push_back({name("j-%09zu", k), 70000 + t, AttemptNumber{version << 20}});
        piece.rows.push_back(std::move(row));
    }
    EXPECT_LT(packed_bytes("replication request of 1,024 machines", piece), body_limit / 4);
}

TEST(MessageSize, OfAllCachedImages) {
    PeerImages images;
    for (std::size_t k = 0; k < 1000; ++k) {
        images.names.push_back(name("registry.local/team/image-%04zu", k % 10000));
        images.sizes.push_back(7.5);
    }
    for (std::size_t k = 0; k < machine_count; ++k) {
        PeerMachineImages row{name("vm-%06zu", k), {}};
        for (std::uint32_t i = 0; i < images_per_machine; ++i) row.images.push_back(300 + i);
        images.machines.push_back(std::move(row));
    }
    EXPECT_LT(packed_bytes("cached images of 8,000 machines", images), body_limit / 4);
}

TEST(MessageSize, OfARelayRequest) {
    RelayRequest relay;
    // relay::HeartbeatRelay's max_batch_heartbeats; 1,900 bytes hold 17 ended tasks
    relay.heartbeats.assign(96, std::string(1900, 'x'));
    for (std::size_t k = 0; k < machine_count; ++k)
        relay.answered_heartbeats.push_back({name("vm-%06zu", k), 70000});
    EXPECT_LT(packed_bytes("relay request, 96 + 8,000 heartbeats", relay), body_limit / 4);
}

// The stored machine types grow with the cloud's offer, not with the number of machines.
TEST(MessageSize, OfTheStoredMachineTypes) {
    std::vector<MachineType> types;
    for (std::size_t k = 0; k < 50; ++k) {
        MachineType t;
        t.name = name("type-%zu", k);
        t.capacity = {96, 8, 768};
        t.cache_gb = 200;
        t.fetch_gb_per_s = 1;
        t.price = 12.25;
        t.spot_price = 4.125;
        t.boot_s = 45;
        t.zones = {"a-1", "a-2", "a-3", "a-4", "b-1", "b-2", "b-3"};
        types.push_back(t);
    }
    auto bytes = stored_types(types).size();
    std::printf("%-40s %8zu bytes\n", "50 machine types of seven zones", bytes);
    EXPECT_LT(bytes, 16u * 1024);
}

}  // namespace
}  // namespace coralhitch::protocol

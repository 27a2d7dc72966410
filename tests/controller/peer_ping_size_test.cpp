// Tests the lists in pings in a cluster of 8000 machines: the machines that send heartbeats to a controller,
// and the machines that a leader suspects. A ping must list all of them and stay within the limit for
// messages.
#include <gtest/gtest.h>

#include "controller/controller_fixture.hpp"
#include "kv/keys.hpp"
#include "protocol/peer_messages.hpp"

namespace coralhitch::controller {
namespace {

constexpr std::size_t machine_count = 8000, machines_per_page = 100;

std::string machine_name(std::size_t number) {
    char name[16];
    std::snprintf(name, sizeof name, "vm-%06zu", number);
    return name;
}

TEST(PeerPingSize, ListsAll8000MachinesThatSendHeartbeatsToAFollower) {
    ControllerFixture fixture;
    for (std::size_t number = 0; number < machine_count; ++number)
        fixture.controller.serve({"POST", "/hello", heartbeat_of(machine_name(number))},
                                 [](http::Response) {});
    fixture.timers.run_until(0.5);
    protocol::PeerPing ping;
    ping.label = "berth-1";
    ping.incarnation = protocol::Incarnation{1};
    ping.kv_reachable = true;
    std::optional<protocol::PeerPing> answer;
    fixture.controller.serve_peer(
        {"POST", std::string(protocol::peer_ping_path), protocol::pack_peer(ping)}, [&](http::Response r) {
            answer = protocol::unpack_peer<protocol::PeerPing>(r.body);
            RecordProperty("bytes", static_cast<int>(r.body.size()));
            // The size limit of a message is 1/32 of the memory.
            EXPECT_LT(static_cast<double>(r.body.size()), fixture.settings.memory_mb * 1024 * 1024 / 32);
        });
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->reporting_machines.size(), machine_count);
    EXPECT_EQ(answer->heartbeat_ages_ms.size(), machine_count);
}

// The next leader learns from the ping which machines' heartbeats were missing before its leadership.
TEST(PeerPingSize, HandsOverAll8000SuspectedMachines) {
    ControllerFixture fixture;
    for (std::size_t page = 0; page * machines_per_page < machine_count; ++page) {
        auto rows = nlohmann::json::array();
        for (std::size_t number = page * machines_per_page; number < (page + 1) * machines_per_page; ++number)
            rows.push_back({machine_name(number), "10.9.0.1:9000", "g8", "a", false, false});
        fixture.network.service.kv[kv::keys::machine_page(page)] = {{{"machines", rows}}, 1};
    }
    fixture.controller.start();
    fixture.timers.run_until(12);
    ASSERT_TRUE(fixture.controller.leads());
    ASSERT_TRUE(fixture.network.ping);
    RecordProperty("bytes", static_cast<int>(fixture.network.ping_bytes));
    EXPECT_EQ(fixture.network.ping->suspected.size(), machine_count);
    EXPECT_EQ(fixture.network.ping->suspected_silence_ms.size(), machine_count);
}

}  // namespace
}  // namespace coralhitch::controller

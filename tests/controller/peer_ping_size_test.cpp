// What a controller says to the others of the machines whose heartbeats reach it and of the suspected ones,
// at the size of a large fleet.
#include <gtest/gtest.h>

#include "controller/controller_fixture.hpp"
#include "kv/keys.hpp"
#include "protocol/peer_messages.hpp"

namespace coralhitch::controller {
namespace {

constexpr std::size_t machine_count = 8000, machines_per_page = 100;

std::string machine_name(std::size_t k) {
    char name[16];
    std::snprintf(name, sizeof name, "vm-%06zu", k);
    return name;
}
TEST(PeerPingSize, NamesAll8000MachinesThatReportToAFollower) {
    ControllerFixture fixture;
    for (std::size_t k = 0; k < machine_count; ++k)
        fixture.controller.serve({"POST", "/hello", heartbeat_of(machine_name(k))}, [](http::Response) {});
    fixture.timers.run_until(0.5);
    std::optional<protocol::PeerPing> answer;
    fixture.controller.serve_peer(
        {"POST", std::string(protocol::peer_ping_path),
         protocol::pack_peer(protocol::PeerPing{"berth-1", 1, 0, "", true, {}, {}})},
        [&](http::Response r) {
            answer = protocol::unpack_peer<protocol::PeerPing>(r.body);
            RecordProperty("bytes", static_cast<int>(r.body.size()));
            // A message may have a thirty-second of the memory.
            EXPECT_LT(static_cast<double>(r.body.size()), fixture.settings.memory_mb * 1024 * 1024 / 32);
        });
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->reporting_machines.size(), machine_count);
    EXPECT_EQ(answer->heartbeat_ages_ms.size(), machine_count);
}

// The next leader knows of these that their heartbeats were missing before it began.
TEST(PeerPingSize, HandsOverAll8000SuspectedMachines) {
    ControllerFixture fixture;
    for (std::size_t page = 0; page * machines_per_page < machine_count; ++page) {
        auto rows = nlohmann::json::array();
        for (std::size_t k = page * machines_per_page; k < (page + 1) * machines_per_page; ++k)
            rows.push_back({machine_name(k), "10.9.0.1:9000", "g8", "a", false, false});
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

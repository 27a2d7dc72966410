// Tests which controllers receive notices of confirmed cancellations, how often and for how long.
#include "relay/cancellation_notices.hpp"

#include <gtest/gtest.h>

#include <set>

#include "protocol/peer_cancellation_messages.hpp"
#include "protocol/peer_messages.hpp"
#include "support/fake_timers.hpp"
#include "support/test_settings.hpp"

namespace coralhitch::relay {
namespace {

struct Peers : http::Requester {
    explicit Peers(FakeTimers& t) : timers(t) {}
    FakeTimers& timers;
    std::map<std::string, std::uint64_t>
        leads;                          // by address: the version with which it acknowledges; 0: none
    std::set<std::string> unreachable;  // addresses
    std::map<std::string, std::vector<std::vector<std::string>>>
        received;  // by address: jobs of each message
    void send(const std::string& addr, http::Request r, double timeout, http::Result result) override {
        if (unreachable.contains(addr)) return void(timers.after(timeout, [result] { result({}); }));
        auto m = protocol::unpack_peer<protocol::PeerCancellationBatch>(r.body).value();
        std::vector<std::string> ids{m.id};
        for (auto& more : m.more) ids.push_back(more.id);
        received[addr].push_back(ids);
        auto body =
            protocol::pack_peer(protocol::PeerCancellationResponse{protocol::LeaderVersion{leads[addr]}});
        timers.after(0.01, [result, body] { result(http::Response{200, body}); });
    }
};
struct NoticesFixture {
    NoticesFixture() { settings.peers = {{"berth-1", "a", "one"}, {"berth-2", "b", "two"}}; }
    FakeTimers timers;
    Peers peers{timers};
    config::Settings settings = settings_of({.heartbeat_interval_s = 3, .cancel_s = 44, .memory_mb = 1});
    std::uint64_t leadership = 5;
    CancellationNotices notices{timers, peers, settings,
                                [this] { return protocol::LeaderVersion{leadership}; }};
};

TEST(CancellationNotices, AreSentToAllOnceIfTheLeaderAcknowledges) {
    NoticesFixture fixture;
    fixture.peers.leads["one"] = 5;
    fixture.notices.announce("j-1", 9, protocol::LeaderVersion::none());
    fixture.timers.run_until(60);
    EXPECT_EQ(fixture.peers.received["one"].size(), 1u);
    EXPECT_EQ(fixture.peers.received["two"].size(), 1u);
    EXPECT_EQ(fixture.notices.pending(), 0u);
}
TEST(CancellationNotices, AreResentUntilTheLeaderOfTheNewestLeadershipAcknowledges) {
    NoticesFixture fixture;
    fixture.peers.leads["one"] = 5;
    fixture.peers.unreachable = {"one"};
    fixture.notices.announce("j-1", 9, protocol::LeaderVersion::none());
    fixture.notices.announce("j-2", 10, protocol::LeaderVersion::none());
    fixture.timers.run_until(4);
    EXPECT_TRUE(fixture.peers.received["one"].empty());
    fixture.peers.unreachable.clear();
    fixture.timers.run_until(5);
    ASSERT_EQ(fixture.peers.received["one"].size(), 1u);
    EXPECT_EQ(fixture.peers.received["one"][0], (std::vector<std::string>{"j-1", "j-2"}));
    fixture.timers.run_until(20);
    EXPECT_EQ(fixture.peers.received["one"].size(), 1u);
    fixture.leadership = 8;  // controller "two" leads now, but does not acknowledge while it loads its state
    fixture.peers.leads["one"] = 0;
    fixture.timers.run_until(23);
    auto messages = fixture.peers.received["two"].size();
    EXPECT_GT(messages, 3u);
    fixture.peers.leads["two"] = 8;
    fixture.timers.run_until(40);
    EXPECT_LE(fixture.peers.received["two"].size(), messages + 1);
}
TEST(CancellationNotices, AreResentAfterAnAcknowledgementOfAnOlderLeadership) {
    NoticesFixture fixture;
    fixture.peers.leads["one"] = 4;
    fixture.notices.announce("j-1", 9, protocol::LeaderVersion{4});
    fixture.timers.run_until(10);
    EXPECT_GT(fixture.peers.received["two"].size(), 5u);
}
TEST(CancellationNotices, ExpireAfterCancelSeconds) {
    NoticesFixture fixture;
    fixture.notices.announce("j-1", 9, protocol::LeaderVersion::none());
    fixture.timers.run_until(46);
    EXPECT_EQ(fixture.notices.pending(), 0u);
    auto messages = fixture.peers.received["two"].size();
    EXPECT_LE(messages, 1 + static_cast<std::size_t>(44 / 0.75));
    fixture.timers.run_until(200);
    EXPECT_EQ(fixture.peers.received["two"].size(), messages);
}
TEST(CancellationNotices, BoundTheirNumberAndTheMessageSize) {
    NoticesFixture fixture;
    for (int k = 0; k < 1000; ++k)
        fixture.notices.announce("j-" + std::to_string(k), 9, protocol::LeaderVersion::none());
    EXPECT_EQ(fixture.notices.pending(), 20u);
    fixture.settings.memory_mb = 1000;
    for (int k = 0; k < 1000; ++k)
        fixture.notices.announce("j-" + std::to_string(k), 9, protocol::LeaderVersion::none());
    fixture.peers.received.clear();
    fixture.timers.run_until(1);
    ASSERT_EQ(fixture.peers.received["one"].size(), 1u);
    EXPECT_EQ(fixture.peers.received["one"][0].size(), 256u);
}
TEST(CancellationNotices, AreCompatibleWithThePreviousVersion) {
    // The previous software version sends only the id and the version, and answers without a body.
    msgpack::sbuffer old;
    msgpack::packer(old).pack_array(2).pack(std::string("j-1")).pack(9);
    auto m = protocol::unpack_peer<protocol::PeerCancellationBatch>({old.data(), old.size()});
    ASSERT_TRUE(m);
    EXPECT_TRUE(m->id == "j-1" && m->version == 9 && m->more.empty());
    EXPECT_FALSE(protocol::unpack_peer<protocol::PeerCancellationResponse>(""));
    auto now = protocol::pack_peer(protocol::PeerCancellationBatch{"j-1", 9, {{"j-2", 10}}});
    auto read = msgpack::unpack(now.data(), now.size()).get().as<std::tuple<std::string, std::uint64_t>>();
    EXPECT_EQ(std::get<0>(read), "j-1");
}

}  // namespace
}  // namespace coralhitch::relay

// What controllers say to each other, byte for byte, and what versions before and after may leave out or add.
#include <gtest/gtest.h>

#include <functional>

#include "protocol/golden_bytes.hpp"
#include "protocol/peer_cancellation_messages.hpp"
#include "protocol/peer_messages.hpp"

namespace coralhitch::protocol {
namespace {
using golden::hex;
using golden::unhex;

template <class T>
T read(std::string_view golden_hex) {
    auto v = unpack_peer<T>(unhex(golden_hex));
    if (!v) throw std::runtime_error("a golden message can't be read");
    return *v;
}

PeerPing ping() {
    return {.label = "berth-1",
            .incarnation = Incarnation{UINT64_MAX},
            .leader_version = LeaderVersion{1ull << 60},
            .leader = "berth-2",
            .state_ok = true,
            .workers = {"vm-1", "vm-2"},
            .counts = {{.id = "j-1", .done = 3, .running = 300}, {.id = "j-2", .done = 70000, .running = 4}},
            .features = 5,
            .followed = LeaderVersion{129},
            .ages_ms = {100, 70000},
            .silent = {"vm-3"},
            .silent_ms = {UINT32_MAX},
            .brief = false};
}
PeerPing brief_ping() {
    return {.label = "berth-1",
            .incarnation = Incarnation{7},
            .leader_version = LeaderVersion{8},
            .leader = "berth-2",
            .state_ok = false,
            .workers = {},
            .counts = {},
            .features = 5,
            .followed = LeaderVersion{6},
            .ages_ms = {},
            .silent = {},
            .silent_ms = {},
            .brief = true};
}
PeerRelay relayed_reports() {
    return {.label = "berth-1",
            .incarnation = Incarnation{7},
            .leader_version = LeaderVersion{8},
            .number = 9,
            .answered = 5,
            .reports = {R"({"berth":"vm-1"})", R"({"berth":"vm-2"})"},
            .heard = {{.machine = "vm-3", .age_ms = 250}, {.machine = "vm-4", .age_ms = 65536}}};
}
PeerRelayAnswer relay_answer() {
    return {.leads = true,
            .ready = false,
            .grant_ms = 1500,
            .answers = {{.status = 200, .body = R"({"helm":8,"orders":[]})", .quiet = true},
                        {.status = 409, .body = "{}", .quiet = false}},
            .recalled = {"vm-9"}};
}
PeerFleet fleet() {
    return {.leader_version = LeaderVersion{8},
            .number = 3,
            .rows = {{.machine = "vm-1",
                      .known = true,
                      .gone = false,
                      .agent_epoch = AgentEpoch{5},
                      .sequence = SequenceNumber{6},
                      .tasks = {{.job = "j-1", .index = 2, .attempt = AttemptNumber{3}},
                                {.job = "j-2", .index = 0, .attempt = AttemptNumber{1}}}},
                     {.machine = "vm-2",
                      .known = false,
                      .gone = true,
                      .agent_epoch = AgentEpoch{11},
                      .sequence = SequenceNumber{12},
                      .tasks = {}}},
            .begun = LeaderVersion{7},
            .whole = true};
}

struct Message {
    const char* name;
    std::string_view golden, unset;
    std::string packed, packed_unset;
    std::function<std::optional<std::string>(std::string_view)> read_and_packed;
};
template <class T>
Message message(const char* name, std::string_view golden, std::string_view unset, const T& value) {
    return {name, golden, unset, pack_peer(value), pack_peer(T{}), [](std::string_view bytes) {
                auto v = unpack_peer<T>(bytes);
                return v ? std::optional(pack_peer(*v)) : std::nullopt;
            }};
}
std::vector<Message> messages() {
    using namespace golden;
    return {
        message("Ping", peer_ping, peer_ping_unset, ping()),
        message("BriefPing", peer_ping_brief, peer_ping_unset, brief_ping()),
        message("UserRequest", peer_user_request, peer_user_request_unset,
                PeerUserRequest{.method = "POST",
                                .target = "/api/jobs",
                                .body = R"({"id":"j-1","cohort":"train","crew":"vision"})"}),
        message("UserAnswer", peer_user_answer, peer_user_answer_unset,
                PeerUserAnswer{.status = 202, .body = "{}", .retry_after_s = 1.5}),
        message("JobQuery", peer_job_query, peer_job_query_unset, PeerJobQuery{.id = "j-000412"}),
        message("JobCounts", peer_job_counts, peer_job_counts_unset,
                PeerJobCounts{.known = true, .done = 3, .running = 4}),
        message("Cancelled", peer_cancelled, peer_cancelled_unset,
                PeerCancelled{.id = "j-1", .version = (1ull << 53) + 1}),
        message("CancelledAgain", peer_cancelled_again, peer_cancelled_again_unset,
                PeerCancelledAgain{.id = "j-1",
                                   .version = 7,
                                   .more = {{.id = "j-2", .version = 8}, {.id = "j-3", .version = 9}}}),
        message("CancelledAnswer", peer_cancelled_answer, peer_cancelled_answer_unset,
                PeerCancelledAnswer{.taken_by = LeaderVersion{12}}),
        message("Images", peer_images, peer_images_unset,
                PeerImages{
                    .names = {"img-1", "img-2"},
                    .sizes = {6.25, 0.5},
                    .machines = {{.machine = "vm-1", .images = {1, 0}}, {.machine = "vm-2", .images = {}}}}),
        message("Relay", peer_relay, peer_relay_unset, relayed_reports()),
        message("RelayAnswer", peer_relay_answer, peer_relay_answer_unset, relay_answer()),
        message("Fleet", peer_fleet, peer_fleet_unset, fleet()),
        message("FleetAnswer", peer_fleet_answer, peer_fleet_answer_unset,
                PeerFleetAnswer{.taken = true, .incarnation = Incarnation{9}, .begun = LeaderVersion{8}}),
    };
}

// The fields of a message, each as it stands there. All have fewer than 16: one byte says how many.
std::vector<std::string> fields_of(const std::string& bytes) {
    std::vector<std::string> out;
    for (std::size_t at = 1; at < bytes.size();) {
        auto begin = at;
        msgpack::unpack(bytes.data(), bytes.size(), at);
        out.push_back(bytes.substr(begin, at - begin));
    }
    return out;
}
std::string message_of(const std::vector<std::string>& fields) {
    std::string out(1, static_cast<char>(0x90 | fields.size()));
    for (auto& f : fields) out += f;
    return out;
}

void PrintTo(const Message& m, std::ostream* out) {
    *out << m.name;
}
class PeerMessages : public testing::TestWithParam<Message> {};

TEST_P(PeerMessages, AreWrittenAsBefore) {
    EXPECT_EQ(hex(GetParam().packed), GetParam().golden);
    EXPECT_EQ(hex(GetParam().packed_unset), GetParam().unset);
}
TEST_P(PeerMessages, AreReadWithoutLoss) {
    for (auto m : {GetParam().golden, GetParam().unset}) {
        auto again = GetParam().read_and_packed(unhex(m));
        ASSERT_TRUE(again);
        EXPECT_EQ(hex(*again), m);
    }
}
// Fields were only ever added at the end: an older version leaves out some of them.
TEST_P(PeerMessages, WithoutTheLastFieldsAreReadWithTheseUnset) {
    auto fields = fields_of(unhex(GetParam().golden)), unset = fields_of(unhex(GetParam().unset));
    ASSERT_EQ(fields.size(), unset.size());
    for (std::size_t told = 0; told <= fields.size(); ++told) {
        auto expected = unset;
        std::copy_n(fields.begin(), told, expected.begin());
        auto again =
            GetParam().read_and_packed(message_of({fields.begin(), fields.begin() + std::ptrdiff_t(told)}));
        ASSERT_TRUE(again) << told << " fields";
        EXPECT_EQ(hex(*again), hex(message_of(expected))) << told << " fields";
    }
}
TEST_P(PeerMessages, WithMoreFieldsThanAreKnownAreRead) {
    auto fields = fields_of(unhex(GetParam().golden));
    fields.push_back(pack_peer(std::string("of a later version")));
    auto again = GetParam().read_and_packed(message_of(fields));
    ASSERT_TRUE(again);
    EXPECT_EQ(hex(*again), GetParam().golden);
}
INSTANTIATE_TEST_SUITE_P(GoldenBytes, PeerMessages, testing::ValuesIn(messages()),
                         [](auto& info) { return std::string(info.param.name); });

TEST(GoldenBytes, PingIsReadFieldByField) {
    auto p = read<PeerPing>(golden::peer_ping);
    EXPECT_EQ(p.label, "berth-1");
    EXPECT_EQ(p.incarnation, Incarnation{UINT64_MAX});
    EXPECT_EQ(p.leader_version, LeaderVersion{1ull << 60});
    EXPECT_EQ(p.leader, "berth-2");
    EXPECT_TRUE(p.state_ok);
    EXPECT_EQ(p.workers, (std::vector<std::string>{"vm-1", "vm-2"}));
    ASSERT_EQ(p.counts.size(), 2u);
    EXPECT_EQ(p.counts[0].id, "j-1");
    EXPECT_EQ(p.counts[0].done, 3u);
    EXPECT_EQ(p.counts[0].running, 300u);
    EXPECT_EQ(p.counts[1].id, "j-2");
    EXPECT_EQ(p.counts[1].done, 70000u);
    EXPECT_EQ(p.counts[1].running, 4u);
    EXPECT_EQ(p.features, 5u);
    EXPECT_EQ(p.followed, LeaderVersion{129});
    EXPECT_EQ(p.ages_ms, (std::vector<std::uint32_t>{100, 70000}));
    EXPECT_EQ(p.silent, std::vector<std::string>{"vm-3"});
    EXPECT_EQ(p.silent_ms, std::vector<std::uint32_t>{UINT32_MAX});
    EXPECT_FALSE(p.brief);
}
TEST(GoldenBytes, BriefPingIsReadFieldByField) {
    auto p = read<PeerPing>(golden::peer_ping_brief);
    EXPECT_EQ(p.label, "berth-1");
    EXPECT_EQ(p.incarnation, Incarnation{7});
    EXPECT_EQ(p.leader_version, LeaderVersion{8});
    EXPECT_EQ(p.leader, "berth-2");
    EXPECT_FALSE(p.state_ok);
    EXPECT_EQ(p.features, 5u);
    EXPECT_EQ(p.followed, LeaderVersion{6});
    EXPECT_TRUE(p.brief);
    EXPECT_TRUE(p.workers.empty() && p.counts.empty() && p.ages_ms.empty() && p.silent.empty() &&
                p.silent_ms.empty());
}
TEST(GoldenBytes, UserRequestIsReadFieldByField) {
    auto r = read<PeerUserRequest>(golden::peer_user_request);
    EXPECT_EQ(r.method, "POST");
    EXPECT_EQ(r.target, "/api/jobs");
    EXPECT_EQ(r.body, R"({"id":"j-1","cohort":"train","crew":"vision"})");
}
TEST(GoldenBytes, UserAnswerIsReadFieldByField) {
    auto a = read<PeerUserAnswer>(golden::peer_user_answer);
    EXPECT_EQ(a.status, 202);
    EXPECT_EQ(a.body, "{}");
    EXPECT_EQ(a.retry_after_s, 1.5);
}
TEST(GoldenBytes, JobQueryAndCountsAreReadFieldByField) {
    EXPECT_EQ(read<PeerJobQuery>(golden::peer_job_query).id, "j-000412");
    auto c = read<PeerJobCounts>(golden::peer_job_counts);
    EXPECT_TRUE(c.known);
    EXPECT_EQ(c.done, 3u);
    EXPECT_EQ(c.running, 4u);
}
TEST(GoldenBytes, CancellationsAreReadFieldByField) {
    auto one = read<PeerCancelled>(golden::peer_cancelled);
    EXPECT_EQ(one.id, "j-1");
    EXPECT_EQ(one.version, (1ull << 53) + 1);
    auto again = read<PeerCancelledAgain>(golden::peer_cancelled_again);
    EXPECT_EQ(again.id, "j-1");
    EXPECT_EQ(again.version, 7u);
    ASSERT_EQ(again.more.size(), 2u);
    EXPECT_EQ(again.more[0].id, "j-2");
    EXPECT_EQ(again.more[0].version, 8u);
    EXPECT_EQ(again.more[1].id, "j-3");
    EXPECT_EQ(again.more[1].version, 9u);
    EXPECT_EQ(read<PeerCancelledAnswer>(golden::peer_cancelled_answer).taken_by, LeaderVersion{12});
}
// Both go to the same path.
TEST(GoldenBytes, SingleAndRepeatedCancellationsAreReadAsEachOther) {
    auto again = read<PeerCancelledAgain>(golden::peer_cancelled);
    EXPECT_EQ(again.id, "j-1");
    EXPECT_EQ(again.version, (1ull << 53) + 1);
    EXPECT_TRUE(again.more.empty());
    auto one = read<PeerCancelled>(golden::peer_cancelled_again);
    EXPECT_EQ(one.id, "j-1");
    EXPECT_EQ(one.version, 7u);
}
TEST(GoldenBytes, CancellationAnsweredByAnOlderVersionSaysNothing) {
    for (const char* old : {"", "{}"}) EXPECT_FALSE(unpack_peer<PeerCancelledAnswer>(old)) << old;
}
TEST(GoldenBytes, ImagesAreReadFieldByField) {
    auto i = read<PeerImages>(golden::peer_images);
    EXPECT_EQ(i.names, (std::vector<std::string>{"img-1", "img-2"}));
    EXPECT_EQ(i.sizes, (std::vector<double>{6.25, 0.5}));
    ASSERT_EQ(i.machines.size(), 2u);
    EXPECT_EQ(i.machines[0].machine, "vm-1");
    EXPECT_EQ(i.machines[0].images, (std::vector<std::uint32_t>{1, 0}));
    EXPECT_EQ(i.machines[1].machine, "vm-2");
    EXPECT_TRUE(i.machines[1].images.empty());
}
TEST(GoldenBytes, RelayIsReadFieldByField) {
    auto r = read<PeerRelay>(golden::peer_relay);
    EXPECT_EQ(r.label, "berth-1");
    EXPECT_EQ(r.incarnation, Incarnation{7});
    EXPECT_EQ(r.leader_version, LeaderVersion{8});
    EXPECT_EQ(r.number, 9u);
    EXPECT_EQ(r.answered, 5u);
    EXPECT_EQ(r.reports, (std::vector<std::string>{R"({"berth":"vm-1"})", R"({"berth":"vm-2"})"}));
    ASSERT_EQ(r.heard.size(), 2u);
    EXPECT_EQ(r.heard[0].machine, "vm-3");
    EXPECT_EQ(r.heard[0].age_ms, 250u);
    EXPECT_EQ(r.heard[1].machine, "vm-4");
    EXPECT_EQ(r.heard[1].age_ms, 65536u);
}
TEST(GoldenBytes, RelayAnswerIsReadFieldByField) {
    auto a = read<PeerRelayAnswer>(golden::peer_relay_answer);
    EXPECT_TRUE(a.leads);
    EXPECT_FALSE(a.ready);
    EXPECT_EQ(a.grant_ms, 1500u);
    ASSERT_EQ(a.answers.size(), 2u);
    EXPECT_EQ(a.answers[0].status, 200);
    EXPECT_EQ(a.answers[0].body, R"({"helm":8,"orders":[]})");
    EXPECT_TRUE(a.answers[0].quiet);
    EXPECT_EQ(a.answers[1].status, 409);
    EXPECT_EQ(a.answers[1].body, "{}");
    EXPECT_FALSE(a.answers[1].quiet);
    EXPECT_EQ(a.recalled, std::vector<std::string>{"vm-9"});
}
TEST(GoldenBytes, FleetIsReadFieldByField) {
    auto f = read<PeerFleet>(golden::peer_fleet);
    EXPECT_EQ(f.leader_version, LeaderVersion{8});
    EXPECT_EQ(f.number, 3u);
    EXPECT_EQ(f.begun, LeaderVersion{7});
    EXPECT_TRUE(f.whole);
    ASSERT_EQ(f.rows.size(), 2u);
    auto &first = f.rows[0], &second = f.rows[1];
    EXPECT_EQ(first.machine, "vm-1");
    EXPECT_TRUE(first.known);
    EXPECT_FALSE(first.gone);
    EXPECT_EQ(first.agent_epoch, AgentEpoch{5});
    EXPECT_EQ(first.sequence, SequenceNumber{6});
    ASSERT_EQ(first.tasks.size(), 2u);
    EXPECT_EQ(first.tasks[0].job, "j-1");
    EXPECT_EQ(first.tasks[0].index, 2u);
    EXPECT_EQ(first.tasks[0].attempt, AttemptNumber{3});
    EXPECT_EQ(first.tasks[1].job, "j-2");
    EXPECT_EQ(first.tasks[1].index, 0u);
    EXPECT_EQ(first.tasks[1].attempt, AttemptNumber{1});
    EXPECT_EQ(second.machine, "vm-2");
    EXPECT_FALSE(second.known);
    EXPECT_TRUE(second.gone);
    EXPECT_EQ(second.agent_epoch, AgentEpoch{11});
    EXPECT_EQ(second.sequence, SequenceNumber{12});
    EXPECT_TRUE(second.tasks.empty());
}
TEST(GoldenBytes, FleetAnswerIsReadFieldByField) {
    auto a = read<PeerFleetAnswer>(golden::peer_fleet_answer);
    EXPECT_TRUE(a.taken);
    EXPECT_EQ(a.incarnation, Incarnation{9});
    EXPECT_EQ(a.begun, LeaderVersion{8});
}

// What stands within messages grows at its end, too.
TEST(GoldenBytes, PartsOfMessagesWithoutTheLastFieldsAreRead) {
    auto ping = read<PeerPing>(
        "97a161"
        "01"
        "02"
        "a162"
        "c3"
        "90"
        "91"
        "92a36a2d3103");
    ASSERT_EQ(ping.counts.size(), 1u);
    EXPECT_EQ(ping.counts[0].id, "j-1");
    EXPECT_EQ(ping.counts[0].done, 3u);
    EXPECT_EQ(ping.counts[0].running, 0u);
    auto relay = read<PeerRelayAnswer>(
        "94"
        "c3"
        "c3"
        "05"
        "91"
        "92ccc8a27b7d");
    ASSERT_EQ(relay.answers.size(), 1u);
    EXPECT_EQ(relay.answers[0].status, 200);
    EXPECT_EQ(relay.answers[0].body, "{}");
    EXPECT_FALSE(relay.answers[0].quiet);
    auto fleet = read<PeerFleet>(
        "93"
        "08"
        "03"
        "91"
        "93a4766d2d31c3c3");
    ASSERT_EQ(fleet.rows.size(), 1u);
    EXPECT_EQ(fleet.rows[0].machine, "vm-1");
    EXPECT_TRUE(fleet.rows[0].known);
    EXPECT_TRUE(fleet.rows[0].gone);
    EXPECT_EQ(fleet.rows[0].agent_epoch, AgentEpoch{0});
    EXPECT_TRUE(fleet.rows[0].tasks.empty());
}

TEST(GoldenBytes, PeerPathsAreAsBefore) {
    EXPECT_EQ(peer_ping_path, "/peer/ping");
    EXPECT_EQ(peer_user_path, "/peer/user");
    EXPECT_EQ(peer_images_path, "/peer/images");
    EXPECT_EQ(peer_job_path, "/peer/job");
    EXPECT_EQ(peer_cancelled_path, "/peer/cancelled");
    EXPECT_EQ(peer_relay_path, "/peer/relay");
    EXPECT_EQ(peer_fleet_path, "/peer/fleet");
}
TEST(GoldenBytes, FeaturesHaveTheirNumbers) {
    EXPECT_EQ(peer_features_awaits, 1u);
    EXPECT_EQ(peer_features_relay, 2u);
    EXPECT_EQ(peer_features_follow, 3u);
    EXPECT_EQ(peer_features_carry, 4u);
    EXPECT_EQ(peer_features_brief, 5u);
    EXPECT_EQ(peer_features, 5u);
}

}  // namespace
}  // namespace coralhitch::protocol

// Tests that messages between controllers keep their exact bytes, and that messages of older versions, with
// fewer fields, and of newer versions, with more fields, are read.
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
    if (!v) throw std::runtime_error("cannot decode a golden message");
    return *v;
}

PeerPing ping() {
    return {
        .label = "berth-1",
        .incarnation = Incarnation{UINT64_MAX},
        .leader_version = LeaderVersion{1ull << 60},
        .leader = "berth-2",
        .kv_reachable = true,
        .reporting_machines = {"vm-1", "vm-2"},
        .task_counts = {{.id = "j-1", .done = 3, .running = 300}, {.id = "j-2", .done = 70000, .running = 4}},
        .features = 5,
        .replicated_leadership = LeaderVersion{129},
        .heartbeat_ages_ms = {100, 70000},
        .suspected = {"vm-3"},
        .suspected_silence_ms = {UINT32_MAX},
        .lists_omitted = false};
}
PeerPing brief_ping() {
    return {.label = "berth-1",
            .incarnation = Incarnation{7},
            .leader_version = LeaderVersion{8},
            .leader = "berth-2",
            .kv_reachable = false,
            .reporting_machines = {},
            .task_counts = {},
            .features = 5,
            .replicated_leadership = LeaderVersion{6},
            .heartbeat_ages_ms = {},
            .suspected = {},
            .suspected_silence_ms = {},
            .lists_omitted = true};
}
RelayRequest relayed_reports() {
    return {
        .label = "berth-1",
        .incarnation = Incarnation{7},
        .leader_version = LeaderVersion{8},
        .sequence_number = 9,
        .acknowledged_sequence_number = 5,
        .heartbeats = {R"({"berth":"vm-1"})", R"({"berth":"vm-2"})"},
        .answered_heartbeats = {{.machine = "vm-3", .age_ms = 250}, {.machine = "vm-4", .age_ms = 65536}}};
}
RelayResponse relay_answer() {
    return {.is_leader = true,
            .ready = false,
            .delegation_ms = 1500,
            .replies = {{.status = 200, .body = R"({"helm":8,"orders":[]})", .nothing_pending = true},
                        {.status = 409, .body = "{}", .nothing_pending = false}},
            .revoked = {"vm-9"}};
}
ReplicationRequest fleet() {
    return {.leader_version = LeaderVersion{8},
            .sequence_number = 3,
            .rows = {{.machine = "vm-1",
                      .tasks_known = true,
                      .deleted = false,
                      .agent_epoch = AgentEpoch{5},
                      .sequence = SequenceNumber{6},
                      .tasks = {{.job = "j-1", .index = 2, .attempt = AttemptNumber{3}},
                                {.job = "j-2", .index = 0, .attempt = AttemptNumber{1}}}},
                     {.machine = "vm-2",
                      .tasks_known = false,
                      .deleted = true,
                      .agent_epoch = AgentEpoch{11},
                      .sequence = SequenceNumber{12},
                      .tasks = {}}},
            .base_version = LeaderVersion{7},
            .snapshot_complete = true};
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
                PeerUserResponse{.status = 202, .body = "{}", .retry_after_s = 1.5}),
        message("JobQuery", peer_job_query, peer_job_query_unset, PeerJobQuery{.id = "j-000412"}),
        message("JobCounts", peer_job_counts, peer_job_counts_unset,
                PeerJobCounts{.known = true, .done = 3, .running = 4}),
        message("Cancelled", peer_cancelled, peer_cancelled_unset,
                PeerCancellation{.id = "j-1", .version = (1ull << 53) + 1}),
        message("CancelledAgain", peer_cancelled_again, peer_cancelled_again_unset,
                PeerCancellationBatch{.id = "j-1",
                                      .version = 7,
                                      .more = {{.id = "j-2", .version = 8}, {.id = "j-3", .version = 9}}}),
        message("CancelledAnswer", peer_cancelled_answer, peer_cancelled_answer_unset,
                PeerCancellationResponse{.applied_by = LeaderVersion{12}}),
        message("Images", peer_images, peer_images_unset,
                PeerImages{
                    .names = {"img-1", "img-2"},
                    .sizes = {6.25, 0.5},
                    .machines = {{.machine = "vm-1", .images = {1, 0}}, {.machine = "vm-2", .images = {}}}}),
        message("Relay", peer_relay, peer_relay_unset, relayed_reports()),
        message("RelayAnswer", peer_relay_answer, peer_relay_answer_unset, relay_answer()),
        message("Fleet", peer_fleet, peer_fleet_unset, fleet()),
        message("FleetAnswer", peer_fleet_answer, peer_fleet_answer_unset,
                ReplicationResponse{
                    .applied = true, .incarnation = Incarnation{9}, .base_version = LeaderVersion{8}}),
    };
}

// Returns the encoded fields of a message. Every message has fewer than 16 fields, so that one byte holds
// their number.
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
// Fields are only added at the end, so an older version omits some of the last ones.
TEST_P(PeerMessages, WithoutTheLastFieldsAreReadWithTheseUnset) {
    auto fields = fields_of(unhex(GetParam().golden)), unset = fields_of(unhex(GetParam().unset));
    ASSERT_EQ(fields.size(), unset.size());
    for (std::size_t sent = 0; sent <= fields.size(); ++sent) {
        auto expected = unset;
        std::copy_n(fields.begin(), sent, expected.begin());
        auto again =
            GetParam().read_and_packed(message_of({fields.begin(), fields.begin() + std::ptrdiff_t(sent)}));
        ASSERT_TRUE(again) << sent << " fields";
        EXPECT_EQ(hex(*again), hex(message_of(expected))) << sent << " fields";
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
    EXPECT_TRUE(p.kv_reachable);
    EXPECT_EQ(p.reporting_machines, (std::vector<std::string>{"vm-1", "vm-2"}));
    ASSERT_EQ(p.task_counts.size(), 2u);
    EXPECT_EQ(p.task_counts[0].id, "j-1");
    EXPECT_EQ(p.task_counts[0].done, 3u);
    EXPECT_EQ(p.task_counts[0].running, 300u);
    EXPECT_EQ(p.task_counts[1].id, "j-2");
    EXPECT_EQ(p.task_counts[1].done, 70000u);
    EXPECT_EQ(p.task_counts[1].running, 4u);
    EXPECT_EQ(p.features, 5u);
    EXPECT_EQ(p.replicated_leadership, LeaderVersion{129});
    EXPECT_EQ(p.heartbeat_ages_ms, (std::vector<std::uint32_t>{100, 70000}));
    EXPECT_EQ(p.suspected, std::vector<std::string>{"vm-3"});
    EXPECT_EQ(p.suspected_silence_ms, std::vector<std::uint32_t>{UINT32_MAX});
    EXPECT_FALSE(p.lists_omitted);
}
TEST(GoldenBytes, BriefPingIsReadFieldByField) {
    auto p = read<PeerPing>(golden::peer_ping_brief);
    EXPECT_EQ(p.label, "berth-1");
    EXPECT_EQ(p.incarnation, Incarnation{7});
    EXPECT_EQ(p.leader_version, LeaderVersion{8});
    EXPECT_EQ(p.leader, "berth-2");
    EXPECT_FALSE(p.kv_reachable);
    EXPECT_EQ(p.features, 5u);
    EXPECT_EQ(p.replicated_leadership, LeaderVersion{6});
    EXPECT_TRUE(p.lists_omitted);
    EXPECT_TRUE(p.reporting_machines.empty() && p.task_counts.empty() && p.heartbeat_ages_ms.empty() &&
                p.suspected.empty() && p.suspected_silence_ms.empty());
}
TEST(GoldenBytes, UserRequestIsReadFieldByField) {
    auto r = read<PeerUserRequest>(golden::peer_user_request);
    EXPECT_EQ(r.method, "POST");
    EXPECT_EQ(r.target, "/api/jobs");
    EXPECT_EQ(r.body, R"({"id":"j-1","cohort":"train","crew":"vision"})");
}
TEST(GoldenBytes, UserAnswerIsReadFieldByField) {
    auto a = read<PeerUserResponse>(golden::peer_user_answer);
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
    auto one = read<PeerCancellation>(golden::peer_cancelled);
    EXPECT_EQ(one.id, "j-1");
    EXPECT_EQ(one.version, (1ull << 53) + 1);
    auto again = read<PeerCancellationBatch>(golden::peer_cancelled_again);
    EXPECT_EQ(again.id, "j-1");
    EXPECT_EQ(again.version, 7u);
    ASSERT_EQ(again.more.size(), 2u);
    EXPECT_EQ(again.more[0].id, "j-2");
    EXPECT_EQ(again.more[0].version, 8u);
    EXPECT_EQ(again.more[1].id, "j-3");
    EXPECT_EQ(again.more[1].version, 9u);
    EXPECT_EQ(read<PeerCancellationResponse>(golden::peer_cancelled_answer).applied_by, LeaderVersion{12});
}
// Both messages are sent to the same path, so each must be readable as the other.
TEST(GoldenBytes, SingleAndBatchedCancellationsAreReadAsEachOther) {
    auto again = read<PeerCancellationBatch>(golden::peer_cancelled);
    EXPECT_EQ(again.id, "j-1");
    EXPECT_EQ(again.version, (1ull << 53) + 1);
    EXPECT_TRUE(again.more.empty());
    auto one = read<PeerCancellation>(golden::peer_cancelled_again);
    EXPECT_EQ(one.id, "j-1");
    EXPECT_EQ(one.version, 7u);
}
TEST(GoldenBytes, CancellationResponseOfAnOlderVersionIsNotDecoded) {
    for (const char* old : {"", "{}"}) EXPECT_FALSE(unpack_peer<PeerCancellationResponse>(old)) << old;
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
    auto r = read<RelayRequest>(golden::peer_relay);
    EXPECT_EQ(r.label, "berth-1");
    EXPECT_EQ(r.incarnation, Incarnation{7});
    EXPECT_EQ(r.leader_version, LeaderVersion{8});
    EXPECT_EQ(r.sequence_number, 9u);
    EXPECT_EQ(r.acknowledged_sequence_number, 5u);
    EXPECT_EQ(r.heartbeats, (std::vector<std::string>{R"({"berth":"vm-1"})", R"({"berth":"vm-2"})"}));
    ASSERT_EQ(r.answered_heartbeats.size(), 2u);
    EXPECT_EQ(r.answered_heartbeats[0].machine, "vm-3");
    EXPECT_EQ(r.answered_heartbeats[0].age_ms, 250u);
    EXPECT_EQ(r.answered_heartbeats[1].machine, "vm-4");
    EXPECT_EQ(r.answered_heartbeats[1].age_ms, 65536u);
}
TEST(GoldenBytes, RelayResponseIsReadFieldByField) {
    auto a = read<RelayResponse>(golden::peer_relay_answer);
    EXPECT_TRUE(a.is_leader);
    EXPECT_FALSE(a.ready);
    EXPECT_EQ(a.delegation_ms, 1500u);
    ASSERT_EQ(a.replies.size(), 2u);
    EXPECT_EQ(a.replies[0].status, 200);
    EXPECT_EQ(a.replies[0].body, R"({"helm":8,"orders":[]})");
    EXPECT_TRUE(a.replies[0].nothing_pending);
    EXPECT_EQ(a.replies[1].status, 409);
    EXPECT_EQ(a.replies[1].body, "{}");
    EXPECT_FALSE(a.replies[1].nothing_pending);
    EXPECT_EQ(a.revoked, std::vector<std::string>{"vm-9"});
}
TEST(GoldenBytes, ReplicationRequestIsReadFieldByField) {
    auto f = read<ReplicationRequest>(golden::peer_fleet);
    EXPECT_EQ(f.leader_version, LeaderVersion{8});
    EXPECT_EQ(f.sequence_number, 3u);
    EXPECT_EQ(f.base_version, LeaderVersion{7});
    EXPECT_TRUE(f.snapshot_complete);
    ASSERT_EQ(f.rows.size(), 2u);
    auto &first = f.rows[0], &second = f.rows[1];
    EXPECT_EQ(first.machine, "vm-1");
    EXPECT_TRUE(first.tasks_known);
    EXPECT_FALSE(first.deleted);
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
    EXPECT_FALSE(second.tasks_known);
    EXPECT_TRUE(second.deleted);
    EXPECT_EQ(second.agent_epoch, AgentEpoch{11});
    EXPECT_EQ(second.sequence, SequenceNumber{12});
    EXPECT_TRUE(second.tasks.empty());
}
TEST(GoldenBytes, ReplicationResponseIsReadFieldByField) {
    auto a = read<ReplicationResponse>(golden::peer_fleet_answer);
    EXPECT_TRUE(a.applied);
    EXPECT_EQ(a.incarnation, Incarnation{9});
    EXPECT_EQ(a.base_version, LeaderVersion{8});
}

// Structs inside messages also get new fields only at their end.
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
    ASSERT_EQ(ping.task_counts.size(), 1u);
    EXPECT_EQ(ping.task_counts[0].id, "j-1");
    EXPECT_EQ(ping.task_counts[0].done, 3u);
    EXPECT_EQ(ping.task_counts[0].running, 0u);
    auto relay = read<RelayResponse>(
        "94"
        "c3"
        "c3"
        "05"
        "91"
        "92ccc8a27b7d");
    ASSERT_EQ(relay.replies.size(), 1u);
    EXPECT_EQ(relay.replies[0].status, 200);
    EXPECT_EQ(relay.replies[0].body, "{}");
    EXPECT_FALSE(relay.replies[0].nothing_pending);
    auto fleet = read<ReplicationRequest>(
        "93"
        "08"
        "03"
        "91"
        "93a4766d2d31c3c3");
    ASSERT_EQ(fleet.rows.size(), 1u);
    EXPECT_EQ(fleet.rows[0].machine, "vm-1");
    EXPECT_TRUE(fleet.rows[0].tasks_known);
    EXPECT_TRUE(fleet.rows[0].deleted);
    EXPECT_EQ(fleet.rows[0].agent_epoch, AgentEpoch{0});
    EXPECT_TRUE(fleet.rows[0].tasks.empty());
}

TEST(GoldenBytes, PeerPathsAreAsBefore) {
    EXPECT_EQ(peer_ping_path, "/peer/ping");
    EXPECT_EQ(peer_user_path, "/peer/user");
    EXPECT_EQ(peer_images_path, "/peer/images");
    EXPECT_EQ(peer_job_path, "/peer/job");
    EXPECT_EQ(peer_cancellation_path, "/peer/cancelled");
    EXPECT_EQ(peer_relay_path, "/peer/relay");
    EXPECT_EQ(peer_replication_path, "/peer/fleet");
}
TEST(GoldenBytes, FeaturesHaveTheirNumbers) {
    EXPECT_EQ(peer_features::dependencies, 1u);
    EXPECT_EQ(peer_features::relay, 2u);
    EXPECT_EQ(peer_features::replication, 3u);
    EXPECT_EQ(peer_features::replica_handover, 4u);
    EXPECT_EQ(peer_features::brief_pings, 5u);
    EXPECT_EQ(peer_features::latest, 5u);
}

}  // namespace
}  // namespace coralhitch::protocol

// Tests which messages and records are accepted and which are rejected, and that none loses data in a round
// trip.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "protocol/agent_api.hpp"
#include "protocol/cloud_api.hpp"
#include "protocol/malformed.hpp"
#include "protocol/model.hpp"
#include "protocol/peer_messages.hpp"
#include "protocol/records.hpp"
#include "protocol/user_api.hpp"

namespace coralhitch::protocol {
namespace {

nlohmann::json valid_job() {
    return {{"id", "j-000412"},  {"cohort", "train"},   {"crew", "vision"}, {"shape", "gang"},
            {"rank", "high"},    {"shards", 16},        {"vcpus", 8.0},     {"cards", 1.0},
            {"ram_gb", 64.0},    {"payload", "img-07"}, {"image_gb", 6.2},  {"hulls", {"g8"}},
            {"reef", nullptr},   {"together", true},    {"scatter", false}, {"driftwood", true},
            {"reckon_s", 240.0}, {"anchor_s", 30.0},    {"stow_s", 4.0},    {"tide_s", 900.0}};
}

TEST(JobMessage, IsAcceptedAndStoredWithoutLoss) {
    auto job = parse_job(valid_job().dump());
    EXPECT_EQ(job.kind, JobKind::gang);
    EXPECT_EQ(job.priority, Priority::high);
    auto back = parse_job_record(stored(JobRecord{job, 12.5, true}));
    EXPECT_EQ(back.job.tasks, 16u);
    EXPECT_EQ(back.job.types, job.types);
    EXPECT_FALSE(back.job.zone);
    EXPECT_EQ(back.job.deadline_s, 900.0);
    EXPECT_EQ(back.submitted, 12.5);
    EXPECT_TRUE(back.cancelled);
}

TEST(JobMessage, RejectsMalformedBodies) {
    struct Case {
        const char* field;
        nlohmann::json value;
    };
    const Case cases[] = {
        {"id", "x-1"},
        {"id", "j-"},
        {"id", "j-1a"},
        {"id", 7},
        {"shards", 0},
        {"shards", 100001},
        {"shards", 1.5},
        {"shards", -1},
        {"shape", "pile"},
        {"rank", "urgent"},
        {"vcpus", -1.0},
        {"vcpus", "8"},
        {"cards", nullptr},
        {"together", 1},
        {"scatter", nullptr},
        {"hulls", "g8"},
        {"hulls", {1}},
        {"reef", 3},
        {"tide_s", "soon"},
        {"reckon_s", -2},
        {"payload", ""},
        {"crew", nullptr},
        {"cohort", std::string(5000, 'x')},
        {"awaits", "j-1"},
        {"awaits", {1}},
        {"awaits", {"j-1", "x-2"}},
        {"awaits", {{"j-1", true}}},
    };
    for (auto& c : cases) {
        auto j = valid_job();
        j[c.field] = c.value;
        EXPECT_THROW(parse_job(j.dump()), Malformed) << c.field << " = " << c.value;
    }
    for (const char* body : {"", "{", "[]", "7", "null", "{\"id\":\"j-1\"}"})
        EXPECT_THROW(parse_job(body), Malformed) << body;
    auto j = valid_job();
    auto text = j.dump();
    text.replace(text.find("8.0"), 3, "1e999");  // not finite
    EXPECT_THROW(parse_job(text), Malformed);
}

TEST(JobMessage, DependenciesAreSortedWithoutDuplicates) {
    struct Case {
        nlohmann::json value;
        std::vector<std::string> awaits;
    };
    for (auto& c : {Case{nullptr, {}}, Case{nlohmann::json::array(), {}}, Case{{"j-2"}, {"j-2"}},
                    Case{{"j-2", "j-1", "j-2"}, {"j-1", "j-2"}}}) {
        auto j = valid_job();
        EXPECT_TRUE(parse_job(j.dump()).dependencies.empty());
        j["awaits"] = c.value;
        auto job = parse_job(j.dump());
        EXPECT_EQ(job.dependencies, c.awaits);
        EXPECT_EQ(names_dependencies(j.dump()), !c.value.is_null());
        auto record = stored(JobRecord{job, 1, false});
        EXPECT_EQ(parse_job_record(record).job.dependencies, c.awaits);
        EXPECT_EQ(parse_live_record(record).dependencies, c.awaits);
        // A version without support for dependencies reads `job`. It would start the job at once if it found
        // it.
        EXPECT_EQ(nlohmann::json::parse(record).contains("job"), c.awaits.empty());
    }
    EXPECT_TRUE(names_dependencies(R"({"\u0061waits":["j-1"]})"));
}

// Records in the form that the version in production writes. They must be readable, and records that both
// versions write must be identical.
TEST(Stored, RecordsOfThePreviousVersionAreReadAndWrittenIdentically) {
    constexpr const char* job =
        R"({"cancelled":false,"job":{"anchor_s":30.0,"cards":1.0,"cohort":"train","crew":"vision","driftwood":true,"hulls":["g8"],"id":"j-000412","image_gb":6.2,"payload":"img-07","ram_gb":64.0,"rank":"high","reckon_s":240.0,"scatter":false,"shape":"gang","shards":16,"stow_s":4.0,"tide_s":900.0,"together":true,"vcpus":8.0},"submitted":12.5})";
    EXPECT_EQ(stored(JobRecord{parse_job(valid_job().dump()), 12.5, false}), job);
    EXPECT_EQ(stored(parse_job_record(job)), job);
    EXPECT_FALSE(parse_live_record(job).cancelled);
    constexpr const char* final = R"({"state":"done","tasks":16})";
    EXPECT_EQ(stored(parse_final_record(final)), final);
    constexpr const char* page = R"({"machines":[["vm-1","10.1.0.1:9000","g8","a",true,false]]})";
    EXPECT_EQ(stored(parse_machine_page(page)), page);
    constexpr const char* leader = R"({"incarnation":18446744073709551615,"label":"berth-0"})";
    EXPECT_EQ(stored(parse_leader_record(leader)), leader);
    constexpr const char* bits = R"({"bits":"81"})";
    EXPECT_EQ(stored_bits(parse_bits(bits)), bits);
    constexpr const char* types =
        R"({"hulls":[{"cache_gb":200.0,"cards":8.0,"fetch_gb_per_s":1.0,"hourly":12.0,"name":"g8","ram_gb":768.0,"reefs":["a","b"],"spot_price":4.5,"startup_s":45.0,"vcpus":96.0}]})";
    EXPECT_EQ(stored_types(parse_types(types)), types);
}
// A cancellation rewrites the record, which may have been stored when the store's limit for values was
// larger.
TEST(Stored, ACancelledRecordCanBeCompacted) {
    auto j = valid_job();
    for (auto f : {"cohort", "payload"}) j[f] = std::string(512, 'x');
    j["hulls"] = std::vector<std::string>(300, "g8");
    j["id"] = "j-" + std::string(62, '1');
    auto record = parse_job_record(stored(JobRecord{parse_job(j.dump()), 12.5, true}));
    EXPECT_GT(stored(record).size(), 2048u);
    auto brief = stored(compact_cancelled_record(record));
    EXPECT_LT(brief.size(), 1024u);
    auto back = parse_job_record(brief);
    EXPECT_TRUE(back.cancelled);
    EXPECT_EQ(back.job.team, "vision");  // its tasks count against the team's limit until they have ended
    EXPECT_EQ(back.job.request.gpus, 1);
    EXPECT_EQ(back.job.tasks, 16u);
}

TEST(Heartbeat, KeepsCountsAbove53Bits) {
    auto r =
        parse_heartbeat(R"({"berth":"vm-1","addr":"10.1.0.1:9000","hull":"g8","reef":"a","driftwood":true,
        "watch":2,"tally":18446744073709551615,"helm":9007199254740993,"warning_s":12.5,"news":1,
        "shards":[{"shard":"j-7/3","launch":9007199254740995,"status":"exited","cause":"halted","saved":true},
                  {"shard":"j-7/4","launch":1,"status":"exited","cause":"a new one"}]})");
    EXPECT_EQ(r.sequence, SequenceNumber{18446744073709551615ull});
    EXPECT_EQ(r.token, FencingToken{9007199254740993ull});
    EXPECT_EQ(r.tasks[0].attempt, AttemptNumber{9007199254740995ull});
    EXPECT_EQ(r.tasks[0].cause, ExitCause::stopped);
    EXPECT_TRUE(r.tasks[0].saved);
    EXPECT_EQ(r.tasks[1].cause, ExitCause::error);  // an unknown cause is still an end of the task
    EXPECT_EQ(r.preemption_notice_s, 12.5);
}

TEST(Heartbeat, RejectsMalformedBodies) {
    for (
        const char* body :
        {"{}", "[]", R"({"berth":"vm-1"})",
         R"({"berth":"vm-1","addr":"a","hull":"g","reef":"a","driftwood":false,"watch":-1,"tally":1,"helm":0,"shards":[]})",
         R"({"berth":"vm-1","addr":"a","hull":"g","reef":"a","driftwood":false,"watch":1,"tally":1,"helm":0,"shards":[{"shard":"j-1","launch":1,"status":"running"}]})",
         R"({"berth":"vm-1","addr":"a","hull":"g","reef":"a","driftwood":false,"watch":1,"tally":1,"helm":0,"shards":[7]})"})
        EXPECT_THROW(parse_heartbeat(body), Malformed) << body;
}

TEST(Progress, AnyPatternRoundTrips) {
    for (std::size_t n : {1u, 4u, 63u, 1000u}) {
        std::vector<bool> bits(n);
        for (std::size_t i = 0; i < n; i += 3) bits[i] = true;
        auto back = parse_bits(stored_bits(bits));
        back.resize(n);
        EXPECT_EQ(back, bits);
    }
}

TEST(Peer, RoundTripsAndRejectsOtherBytes) {
    PeerPing p{"berth-1",       Incarnation{7},        LeaderVersion{1ull << 60}, "berth-2", true, {"vm-1"},
               {{"j-1", 3, 4}}, peer_features::latest, LeaderVersion::none()};
    auto back = unpack_peer<PeerPing>(pack_peer(p));
    ASSERT_TRUE(back);
    ASSERT_EQ(back->task_counts.size(), 1u);
    EXPECT_EQ(back->task_counts[0].running, 4u);
    EXPECT_EQ(back->leader_version, LeaderVersion{1ull << 60});
    PeerImages images{{"img-1", "img-2"}, {5, 7}, {{"vm-1", {1, 0}}}};
    auto unpacked = unpack_peer<PeerImages>(pack_peer(images));
    ASSERT_TRUE(unpacked && unpacked->machines.size() == 1);
    EXPECT_EQ(unpacked->machines[0].images, (std::vector<std::uint32_t>{1, 0}));
    EXPECT_EQ(back->features, peer_features::latest);
    EXPECT_FALSE(unpack_peer<PeerPing>("{\"label\":1}"));
    EXPECT_FALSE(unpack_peer<PeerPing>(""));
}

// The layout of a ping in the previous version, used to read present messages.
struct OldPing {
    std::string label;
    std::uint64_t incarnation = 0, leader_version = 0;
    std::string leader;
    bool state_ok = false;
    std::vector<std::string> workers;
    std::vector<PeerTaskCounts> counts;
    MSGPACK_DEFINE(label, incarnation, leader_version, leader, state_ok, workers, counts)
};
TEST(Peer, OldAndNewVersionsUnderstandEachOther) {
    std::string old(
        "\x97\xa7"
        "berth-1\x07\x08\xa7"
        "berth-2\xc3\x91\xa4vm-1\x91\x93\xa3j-1\x03\x04",
        34);
    auto ping = unpack_peer<PeerPing>(old);
    ASSERT_TRUE(ping);
    EXPECT_EQ(ping->label, "berth-1");
    EXPECT_EQ(ping->leader_version, LeaderVersion{8});
    ASSERT_EQ(ping->task_counts.size(), 1u);
    EXPECT_EQ(ping->features, 0u);  // the previous version does not send its features
    const PeerPing present{"a", Incarnation{1},       LeaderVersion{2}, "b", true, {"vm-2"}, {{"j-2", 5, 6}},
                           9,   LeaderVersion::none()};
    auto back = unpack_peer<OldPing>(pack_peer(present));
    ASSERT_TRUE(back);
    EXPECT_EQ(back->workers, std::vector<std::string>{"vm-2"});
    EXPECT_EQ(back->counts.at(0).done, 5u);
    EXPECT_EQ(pack_peer(*unpack_peer<OldPing>(old)), old);
    // These messages have not changed.
    EXPECT_EQ(pack_peer(PeerUserRequest{"GET", "/", ""}), std::string("\x93\xa3GET\xa1/\xa0", 8));
    EXPECT_EQ(pack_peer(PeerUserResponse{200, "{}", 1}), std::string("\x93\xcc\xc8\xa2{}\x01", 7));
    EXPECT_EQ(pack_peer(PeerJobQuery{"j-1"}), std::string("\x91\xa3j-1", 5));
    EXPECT_EQ(pack_peer(PeerCancellation{"j-1", 7}), std::string("\x92\xa3j-1\x07", 6));
    EXPECT_EQ(pack_peer(PeerJobCounts{true, 3, 4}), std::string("\x93\xc3\x03\x04", 4));
    EXPECT_EQ(pack_peer(PeerImages{{"i"}, {1}, {{"vm-1", {0}}}}),
              std::string("\x93\x91\xa1i\x91\x01\x91\x92\xa4vm-1\x91\0", 15));
}

}  // namespace
}  // namespace coralhitch::protocol

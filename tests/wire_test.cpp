// Tables of messages: what is taken, what is refused, and that nothing is lost on the way.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "wire/peer.hpp"
#include "wire/protocol.hpp"

namespace coralhitch::wire {
namespace {

nlohmann::json good_job() {
    return {{"id", "j-000412"},  {"cohort", "train"},   {"crew", "vision"}, {"shape", "gang"},
            {"rank", "high"},    {"shards", 16},        {"vcpus", 8.0},     {"cards", 1.0},
            {"ram_gb", 64.0},    {"payload", "img-07"}, {"image_gb", 6.2},  {"hulls", {"g8"}},
            {"reef", nullptr},   {"together", true},    {"scatter", false}, {"driftwood", true},
            {"reckon_s", 240.0}, {"anchor_s", 30.0},    {"stow_s", 4.0},    {"tide_s", 900.0}};
}

TEST(JobMessage, IsTakenAndStoredWithoutLoss) {
    auto job = parse_job(good_job().dump());
    EXPECT_EQ(job.kind, Kind::gang);
    EXPECT_EQ(job.priority, Priority::high);
    auto back = parse_job_record(stored(JobRecord{job, 12.5, true}));
    EXPECT_EQ(back.job.tasks, 16u);
    EXPECT_EQ(back.job.types, job.types);
    EXPECT_FALSE(back.job.zone);
    EXPECT_EQ(back.job.deadline_s, 900.0);
    EXPECT_EQ(back.submitted, 12.5);
    EXPECT_TRUE(back.cancelled);
}

TEST(JobMessage, RefusesWhatIsMalformed) {
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
    };
    for (auto& c : cases) {
        auto j = good_job();
        j[c.field] = c.value;
        EXPECT_THROW(parse_job(j.dump()), Malformed) << c.field << " = " << c.value;
    }
    for (const char* body : {"", "{", "[]", "7", "null", "{\"id\":\"j-1\"}"})
        EXPECT_THROW(parse_job(body), Malformed) << body;
    auto j = good_job();
    auto text = j.dump();
    text.replace(text.find("8.0"), 3, "1e999");  // not finite
    EXPECT_THROW(parse_job(text), Malformed);
}

TEST(Report, KeepsCountsAbove53Bits) {
    auto r = parse_report(R"({"berth":"vm-1","addr":"10.1.0.1:9000","hull":"g8","reef":"a","driftwood":true,
        "watch":2,"tally":18446744073709551615,"helm":9007199254740993,"warning_s":12.5,"news":1,
        "shards":[{"shard":"j-7/3","launch":9007199254740995,"status":"exited","cause":"halted","saved":true},
                  {"shard":"j-7/4","launch":1,"status":"exited","cause":"a new one"}]})");
    EXPECT_EQ(r.sequence, 18446744073709551615ull);
    EXPECT_EQ(r.token, 9007199254740993ull);
    EXPECT_EQ(r.tasks[0].attempt, 9007199254740995ull);
    EXPECT_EQ(r.tasks[0].cause, Cause::stopped);
    EXPECT_TRUE(r.tasks[0].saved);
    EXPECT_EQ(r.tasks[1].cause, Cause::error);  // an end of a kind not known yet still is an end
    EXPECT_EQ(r.notice_s, 12.5);
}

TEST(Report, RefusesWhatIsMalformed) {
    for (
        const char* body :
        {"{}", "[]", R"({"berth":"vm-1"})",
         R"({"berth":"vm-1","addr":"a","hull":"g","reef":"a","driftwood":false,"watch":-1,"tally":1,"helm":0,"shards":[]})",
         R"({"berth":"vm-1","addr":"a","hull":"g","reef":"a","driftwood":false,"watch":1,"tally":1,"helm":0,"shards":[{"shard":"j-1","launch":1,"status":"running"}]})",
         R"({"berth":"vm-1","addr":"a","hull":"g","reef":"a","driftwood":false,"watch":1,"tally":1,"helm":0,"shards":[7]})"})
        EXPECT_THROW(parse_report(body), Malformed) << body;
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

TEST(Peer, RoundTripsAndRefusesNoise) {
    PeerPing p{"berth-1", 7, 1ull << 60, "berth-2", true, {"vm-1"}, {{"j-1", 3, 4}}};
    auto back = unpack_peer<PeerPing>(pack_peer(p));
    ASSERT_TRUE(back);
    ASSERT_EQ(back->counts.size(), 1u);
    EXPECT_EQ(back->counts[0].running, 4u);
    EXPECT_EQ(back->leader_version, 1ull << 60);
    PeerImages images{{"img-1", "img-2"}, {5, 7}, {{"vm-1", {1, 0}}}};
    auto told = unpack_peer<PeerImages>(pack_peer(images));
    ASSERT_TRUE(told && told->machines.size() == 1);
    EXPECT_EQ(told->machines[0].images, (std::vector<std::uint32_t>{1, 0}));
    EXPECT_FALSE(unpack_peer<PeerPing>("{\"label\":1}"));
    EXPECT_FALSE(unpack_peer<PeerPing>(""));
}

}  // namespace
}  // namespace coralhitch::wire

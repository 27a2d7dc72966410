// Tests that stored records, and messages to and from users, agents, the cloud and the key-value store, keep
// their exact bytes, and that every field is read from its place.
#include "protocol/golden_bytes.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <nlohmann/json.hpp>

#include "cloud/cloud_client.hpp"
#include "jobs/job_table.hpp"
#include "kv/keys.hpp"
#include "kv/kv_client.hpp"
#include "protocol/agent_api.hpp"
#include "protocol/cloud_api.hpp"
#include "protocol/kv_api.hpp"
#include "protocol/malformed.hpp"
#include "protocol/model.hpp"
#include "protocol/records.hpp"
#include "protocol/user_api.hpp"
#include "support/fake_timers.hpp"

namespace coralhitch::protocol {
namespace {
using nlohmann::json;

constexpr std::uint64_t beyond_double = (1ull << 53) + 1;

// ---- Jobs

Job full_job() {
    Job j;
    j.id = "j-000412";
    j.job_class = "train";
    j.team = "vision";
    j.kind = JobKind::gang;
    j.priority = Priority::high;
    j.tasks = 16;
    j.request = {.cpus = 8.5, .gpus = 1.5, .memory_gb = 64.75};
    j.image = "img-07";
    j.image_gb = 6.2;
    j.types = {"g8", "g16"};
    j.zone = "a";
    j.one_zone = true;
    j.spread = false;
    j.spot = true;
    j.estimated_run_s = 240.125;
    j.checkpoint_interval_s = 30.25;
    j.checkpoint_save_s = 4;
    j.deadline_s = 900;
    return j;
}
Job awaiting_job() {
    auto j = full_job();
    j.dependencies = {"j-000411", "j-1"};
    return j;
}
Job least_job() {
    Job j;
    j.id = "j-1";
    j.job_class = "c";
    j.team = "t";
    j.image = "i";
    return j;
}
void expect_same(const Job& a, const Job& b) {
    EXPECT_EQ(a.id, b.id);
    EXPECT_EQ(a.job_class, b.job_class);
    EXPECT_EQ(a.team, b.team);
    EXPECT_EQ(a.kind, b.kind);
    EXPECT_EQ(a.priority, b.priority);
    EXPECT_EQ(a.tasks, b.tasks);
    EXPECT_EQ(a.request.cpus, b.request.cpus);
    EXPECT_EQ(a.request.gpus, b.request.gpus);
    EXPECT_EQ(a.request.memory_gb, b.request.memory_gb);
    EXPECT_EQ(a.image, b.image);
    EXPECT_EQ(a.image_gb, b.image_gb);
    EXPECT_EQ(a.types, b.types);
    EXPECT_EQ(a.zone, b.zone);
    EXPECT_EQ(a.one_zone, b.one_zone);
    EXPECT_EQ(a.spread, b.spread);
    EXPECT_EQ(a.spot, b.spot);
    EXPECT_EQ(a.estimated_run_s, b.estimated_run_s);
    EXPECT_EQ(a.checkpoint_interval_s, b.checkpoint_interval_s);
    EXPECT_EQ(a.checkpoint_save_s, b.checkpoint_save_s);
    EXPECT_EQ(a.deadline_s, b.deadline_s);
    EXPECT_EQ(a.dependencies, b.dependencies);
}
// Returns a golden message with one field replaced. `at` is the JSON pointer to the object with the field.
std::string with(std::string_view golden, const char* field, const json& value, const char* at = "") {
    auto j = json::parse(golden);
    j[json::json_pointer(at)][field] = value;
    return j.dump();
}
std::string without(std::string_view golden, const char* field) {
    auto j = json::parse(golden);
    EXPECT_EQ(j.erase(field), 1u);
    return j.dump();
}
template <class F>
std::string refusal(F&& read) {
    try {
        read();
    } catch (const Malformed& m) {
        return m.what();
    }
    return "taken";
}

TEST(GoldenBytes, SubmissionIsWrittenAsBefore) {
    EXPECT_EQ(submission(awaiting_job()), golden::submission);
    EXPECT_EQ(submission(least_job()), golden::submission_least);
}
TEST(GoldenBytes, SubmissionIsReadFieldByField) {
    expect_same(parse_job(golden::submission), awaiting_job());
    expect_same(parse_job(golden::submission_least), least_job());
    EXPECT_EQ(job_id_of(golden::submission), "j-000412");
    EXPECT_TRUE(names_dependencies(golden::submission));
    EXPECT_FALSE(names_dependencies(golden::submission_least));
}
TEST(GoldenBytes, SubmissionWithNullsIsReadAsWithoutThem) {
    auto j = json::parse(golden::submission_least);
    for (auto field : {"hulls", "reef", "tide_s", "awaits"}) j[field] = nullptr;
    expect_same(parse_job(j.dump()), least_job());
}
// Sets one flag at a time, to detect flags that are confused with each other.
TEST(GoldenBytes, FlagsOfASubmissionAreNotMixedUp) {
    struct Case {
        const char* field;
        bool Job::*member;
    };
    const Case cases[] = {{"together", &Job::one_zone}, {"scatter", &Job::spread}, {"driftwood", &Job::spot}};
    for (auto& c : cases) {
        auto job = least_job();
        job.*c.member = true;
        auto body = with(golden::submission_least, c.field, true);
        EXPECT_EQ(submission(job), body) << c.field;
        expect_same(parse_job(body), job);
    }
}
TEST(GoldenBytes, ErrorNamesEachMissingFieldOfASubmission) {
    auto whole = json::parse(golden::submission_least);
    for (auto& [field, value] : whole.items()) {
        auto body = without(golden::submission_least, field.c_str());
        EXPECT_EQ(refusal([&] { parse_job(body); }), "field '" + field + "' is missing");
    }
}
TEST(GoldenBytes, KindsHaveTheirWireNames) {
    for (auto [kind, word] :
         {std::pair(JobKind::array, "batch"), {JobKind::gang, "gang"}, {JobKind::service, "service"}}) {
        auto job = least_job();
        job.kind = kind;
        auto body = with(golden::submission_least, "shape", word);
        EXPECT_EQ(submission(job), body);
        EXPECT_EQ(parse_job(body).kind, kind) << word;
    }
}
TEST(GoldenBytes, PrioritiesHaveTheirWireNames) {
    for (auto [priority, word] : {std::pair(Priority::low, "idle"),
                                  {Priority::normal, "normal"},
                                  {Priority::high, "high"},
                                  {Priority::production, "critical"}}) {
        auto job = least_job();
        job.priority = priority;
        auto body = with(golden::submission_least, "rank", word);
        EXPECT_EQ(submission(job), body);
        EXPECT_EQ(parse_job(body).priority, priority) << word;
    }
}
TEST(GoldenBytes, AmountsKeepTheirDigits) {
    auto job = least_job();
    job.request = {.cpus = 0.1, .gpus = 1e-7, .memory_gb = 1e300};
    job.image_gb = 1.0 / 3;
    auto body = submission(job);
    EXPECT_NE(body.find(R"("vcpus":0.1})"), std::string::npos) << body;
    EXPECT_NE(body.find(R"("cards":1e-07,)"), std::string::npos) << body;
    EXPECT_NE(body.find(R"("ram_gb":1e+300,)"), std::string::npos) << body;
    EXPECT_NE(body.find(R"("image_gb":0.3333333333333333,)"), std::string::npos) << body;
    expect_same(parse_job(body), job);
}

// ---- Stored records

struct StoredJob {
    const char* name;
    std::string_view golden;
    JobRecord record;
};
std::vector<StoredJob> stored_jobs() {
    constexpr double submitted = 1733119009.25;
    return {
        {"Least", golden::job_record_least, {least_job(), 0, false}},
        {"Full", golden::job_record, {full_job(), submitted, false}},
        {"Cancelled", golden::job_record_cancelled, {full_job(), submitted, true}},
        {"Awaits", golden::job_record_awaits, {awaiting_job(), submitted, false}},
        {"AwaitsCancelled", golden::job_record_awaits_cancelled, {awaiting_job(), submitted, true}},
        {"Shortened", golden::job_record_shortened,
         compact_cancelled_record({awaiting_job(), submitted, true})},
    };
}
void PrintTo(const StoredJob& j, std::ostream* out) {
    *out << j.name;
}
class JobRecords : public testing::TestWithParam<StoredJob> {};

TEST_P(JobRecords, AreWrittenAsBefore) {
    EXPECT_EQ(stored(GetParam().record), GetParam().golden);
}
TEST_P(JobRecords, AreReadFieldByField) {
    auto r = parse_job_record(GetParam().golden);
    expect_same(r.job, GetParam().record.job);
    EXPECT_EQ(r.submitted, GetParam().record.submitted);
    EXPECT_EQ(r.cancelled, GetParam().record.cancelled);
    EXPECT_EQ(stored(r), GetParam().golden);
}
TEST_P(JobRecords, AreReadAsLiveRecords) {
    auto live = parse_live_record(GetParam().golden);
    EXPECT_EQ(live.cancelled, GetParam().record.cancelled);
    EXPECT_EQ(live.dependencies, GetParam().record.job.dependencies);
    EXPECT_EQ(is_cancelled_record(GetParam().golden), GetParam().record.cancelled);
}
INSTANTIATE_TEST_SUITE_P(GoldenBytes, JobRecords, testing::ValuesIn(stored_jobs()),
                         [](auto& info) { return std::string(info.param.name); });

TEST(GoldenBytes, CancellationIsSeenInARecordThatCannotBeReadOtherwise) {
    EXPECT_TRUE(is_cancelled_record(R"({"cancelled":true,"job":7})"));
    EXPECT_FALSE(is_cancelled_record(R"({"cancelled":false})"));
    EXPECT_FALSE(is_cancelled_record(R"({"withdrawn":true})"));
}

struct StoredFinal {
    const char* name;
    std::string_view golden;
    FinalRecord record;
};
void PrintTo(const StoredFinal& f, std::ostream* out) {
    *out << f.name;
}
class FinalRecords : public testing::TestWithParam<StoredFinal> {};

TEST_P(FinalRecords, AreWrittenAndReadAsBefore) {
    EXPECT_EQ(stored(GetParam().record), GetParam().golden);
    auto r = parse_final_record(GetParam().golden);
    EXPECT_EQ(r.state, GetParam().record.state);
    EXPECT_EQ(r.tasks, GetParam().record.tasks);
}
const StoredFinal stored_finals[] = {
    {"Done", golden::final_done, {.state = JobState::done, .tasks = 100000}},
    {"Cancelled", golden::final_cancelled, {.state = JobState::cancelled, .tasks = 16}},
    {"Queued", golden::final_queued, {.state = JobState::queued, .tasks = 1}},
    {"Running", golden::final_running, {.state = JobState::running, .tasks = 2}},
};
INSTANTIATE_TEST_SUITE_P(GoldenBytes, FinalRecords, testing::ValuesIn(stored_finals),
                         [](auto& info) { return std::string(info.param.name); });

MachineRecord spot_machine() {
    return {.addr = "10.1.0.1:9000", .type = "g8", .zone = "a", .spot = true, .marked_for_deletion = false};
}
MachineRecord marked_machine() {
    return {.addr = "10.1.0.2:9001", .type = "c4", .zone = "b", .spot = false, .marked_for_deletion = true};
}
void expect_same(const MachineRecord& a, const MachineRecord& b) {
    EXPECT_EQ(a.addr, b.addr);
    EXPECT_EQ(a.type, b.type);
    EXPECT_EQ(a.zone, b.zone);
    EXPECT_EQ(a.spot, b.spot);
    EXPECT_EQ(a.marked_for_deletion, b.marked_for_deletion);
}
TEST(GoldenBytes, MachinePageIsWrittenAsBefore) {
    EXPECT_EQ(stored(MachinePage{{"vm-1", spot_machine()}, {"vm-2", marked_machine()}}),
              golden::machine_page);
    EXPECT_EQ(stored(MachinePage{}), golden::machine_page_empty);
}
TEST(GoldenBytes, MachinePageIsReadFieldByField) {
    auto p = parse_machine_page(golden::machine_page);
    ASSERT_EQ(p.size(), 2u);
    EXPECT_EQ(p[0].id, "vm-1");
    expect_same(p[0].record, spot_machine());
    EXPECT_EQ(p[1].id, "vm-2");
    expect_same(p[1].record, marked_machine());
    EXPECT_TRUE(parse_machine_page(golden::machine_page_empty).empty());
}
TEST(GoldenBytes, MachinePageOfALaterVersionIsRead) {
    auto p =
        parse_machine_page(R"({"machines":[["vm-1","10.1.0.1:9000","g8","a",true,false,"more"]],"more":1})");
    ASSERT_EQ(p.size(), 1u);
    expect_same(p[0].record, spot_machine());
}
TEST(GoldenBytes, MachineRecordOfTheOldLayoutIsRead) {
    expect_same(parse_machine_record(golden::machine_spot), spot_machine());
    expect_same(parse_machine_record(golden::machine_marked), marked_machine());
}

TEST(GoldenBytes, LeaderRecordIsWrittenAsBefore) {
    EXPECT_EQ(
        stored(LeaderRecord{
            .label = "berth-0", .incarnation = Incarnation{UINT64_MAX}, .stores_in_sync_replicas = false}),
        golden::leader_old);
    EXPECT_EQ(
        stored(LeaderRecord{
            .label = "berth-1", .incarnation = Incarnation{beyond_double}, .stores_in_sync_replicas = true}),
        golden::leader);
}
TEST(GoldenBytes, LeaderRecordIsReadFieldByField) {
    auto old = parse_leader_record(golden::leader_old);
    EXPECT_EQ(old.label, "berth-0");
    EXPECT_EQ(old.incarnation, Incarnation{UINT64_MAX});
    EXPECT_FALSE(old.stores_in_sync_replicas);
    EXPECT_FALSE(stores_in_sync_replicas(golden::leader_old));
    auto now = parse_leader_record(golden::leader);
    EXPECT_EQ(now.label, "berth-1");
    EXPECT_EQ(now.incarnation, Incarnation{beyond_double});
    EXPECT_TRUE(now.stores_in_sync_replicas);
    EXPECT_TRUE(stores_in_sync_replicas(golden::leader));
}
TEST(GoldenBytes, LeaderWithFalseOrMalformedRecordDoesNotStoreInSyncReplicas) {
    EXPECT_FALSE(stores_in_sync_replicas(with(golden::leader, "standby", false)));
    EXPECT_FALSE(stores_in_sync_replicas(R"({"label":"berth-1","standby":true})"));
}

TEST(GoldenBytes, InSyncReplicasAreWrittenAsBefore) {
    InSyncReplicas r{
        .leader_version = LeaderVersion{beyond_double},
        .members = {
            {.label = "berth-0", .incarnation = Incarnation{UINT64_MAX}, .base_version = LeaderVersion{11}},
            {.label = "berth-2", .incarnation = Incarnation{5}, .base_version = LeaderVersion{12}}}};
    EXPECT_EQ(stored(r), golden::standby);
    EXPECT_EQ(stored(InSyncReplicas{.leader_version = LeaderVersion{7}, .members = {}}),
              golden::standby_nobody);
}
TEST(GoldenBytes, InSyncReplicasAreReadFieldByField) {
    auto r = parse_in_sync_replicas(golden::standby);
    EXPECT_EQ(r.leader_version, LeaderVersion{beyond_double});
    ASSERT_EQ(r.members.size(), 2u);
    EXPECT_EQ(r.members[0].label, "berth-0");
    EXPECT_EQ(r.members[0].incarnation, Incarnation{UINT64_MAX});
    EXPECT_EQ(r.members[0].base_version, LeaderVersion{11});
    EXPECT_EQ(r.members[1].label, "berth-2");
    EXPECT_EQ(r.members[1].incarnation, Incarnation{5});
    EXPECT_EQ(r.members[1].base_version, LeaderVersion{12});
    auto nobody = parse_in_sync_replicas(golden::standby_nobody);
    EXPECT_EQ(nobody.leader_version, LeaderVersion{7});
    EXPECT_TRUE(nobody.members.empty());
}
// In a version without replica handover, the leader began each replica with a snapshot of its own.
TEST(GoldenBytes, InSyncReplicasOfAnOlderVersionBeganUnderItsOwnLeadership) {
    auto r = parse_in_sync_replicas(golden::standby_old);
    ASSERT_EQ(r.members.size(), 1u);
    EXPECT_EQ(r.members[0].label, "berth-2");
    EXPECT_EQ(r.members[0].incarnation, Incarnation{5});
    EXPECT_EQ(r.members[0].base_version, LeaderVersion{7});
}

TEST(GoldenBytes, ProgressBitsAreWrittenAndReadAsBefore) {
    // The hexadecimal digits in order, the lowest bit first.
    std::vector<bool> all;
    for (unsigned letter = 0; letter < 16; ++letter)
        for (unsigned bit = 0; bit < 4; ++bit) all.push_back((letter >> bit) & 1);
    EXPECT_EQ(stored_bits(all), golden::bits);
    EXPECT_EQ(parse_bits(golden::bits), all);
    EXPECT_EQ(stored_bits({true, true, false, false, true}), golden::bits_five);
    EXPECT_EQ(parse_bits(golden::bits_five),
              (std::vector<bool>{true, true, false, false, true, false, false, false}));
    EXPECT_EQ(stored_bits({}), golden::bits_none);
    EXPECT_TRUE(parse_bits(golden::bits_none).empty());
}
TEST(GoldenBytes, ProgressBlocksAreNamedAndCutAsBefore) {
    jobs::JobTable table(1);  // 1 KB a value: blocks of 1024 tasks
    auto job = least_job();
    job.tasks = 3000;
    ASSERT_TRUE(table.put(job.id, 1, {job, 0, false}));
    auto& e = *table.find(job.id);
    for (std::uint32_t task : {0u, 1023u, 1024u, 2999u}) e.mark_done(task);
    EXPECT_EQ(table.progress_layout().block_of(e.done.size(), 1023, 1024), "0");
    EXPECT_EQ(table.progress_layout().block_of(e.done.size(), 1024, 1024), "1");
    EXPECT_EQ(table.progress_layout().block_of(e.done.size(), 2999, 1024), "2");
    EXPECT_EQ(table.progress_layout().block_of(e.done.size(), 2999, 200),
              "from-2560");  // too large for the present limit of a value
    EXPECT_EQ(table.progress_layout().encode(e.done, "0", 1024),
              R"({"bits":"1)" + std::string(254, '0') + R"(8"})");
    EXPECT_EQ(table.progress_layout().encode(e.done, "from-2560", 200),
              R"({"bits":")" + std::string(109, '0') + R"(8"})");
}

std::vector<MachineType> machine_types() {
    return {{.name = "g8",
             .capacity = {.cpus = 96, .gpus = 8, .memory_gb = 768},
             .cache_gb = 200.5,
             .fetch_gb_per_s = 1.25,
             .price = 12.5,
             .spot_price = 4.5,
             .boot_s = 45,
             .zones = {"a", "b"}},
            {.name = "c4",
             .capacity = {.cpus = 4, .gpus = 0, .memory_gb = 16},
             .cache_gb = 20,
             .fetch_gb_per_s = 0.5,
             .price = 1.5,
             .spot_price = 0.25,
             .boot_s = 30,
             .zones = {}}};
}
TEST(GoldenBytes, MachineTypesAreStoredAsBefore) {
    EXPECT_EQ(stored_types(machine_types()), golden::types);
}
// The cloud's answer and the stored record have the same layout.
TEST(GoldenBytes, MachineTypesAreReadFieldByField) {
    auto types = parse_types(golden::types);
    auto expected = machine_types();
    ASSERT_EQ(types.size(), expected.size());
    for (std::size_t k = 0; k < types.size(); ++k) {
        auto &t = types[k], &x = expected[k];
        EXPECT_EQ(t.name, x.name);
        EXPECT_EQ(t.capacity.cpus, x.capacity.cpus);
        EXPECT_EQ(t.capacity.gpus, x.capacity.gpus);
        EXPECT_EQ(t.capacity.memory_gb, x.capacity.memory_gb);
        EXPECT_EQ(t.cache_gb, x.cache_gb);
        EXPECT_EQ(t.fetch_gb_per_s, x.fetch_gb_per_s);
        EXPECT_EQ(t.price, x.price);
        EXPECT_EQ(t.spot_price, x.spot_price);
        EXPECT_EQ(t.boot_s, x.boot_s);
        EXPECT_EQ(t.zones, x.zones);
    }
}

TEST(GoldenBytes, KeysAreAsBefore) {
    namespace keys = kv::keys;
    EXPECT_EQ(keys::leader, "leader");
    EXPECT_EQ(keys::in_sync_replicas, "standby");
    EXPECT_EQ(keys::types, "types");
    EXPECT_EQ(keys::jobs, "job/");
    EXPECT_EQ(keys::finals, "final/");
    EXPECT_EQ(keys::progress, "prog/");
    EXPECT_EQ(keys::machines, "mach/");
    EXPECT_EQ(keys::machine_pages, "mach/page/");
    EXPECT_EQ(keys::job("j-1"), "job/j-1");
    EXPECT_EQ(keys::final("j-1"), "final/j-1");
    EXPECT_EQ(keys::machine_page(17), "mach/page/17");
    EXPECT_EQ(keys::progress_of("j-1", "from-256"), "prog/j-1/from-256");
}

// ---- Users

TEST(GoldenBytes, JobStatusOfEachStateIsWrittenAsBefore) {
    struct Case {
        JobStatus status;
        const char* golden;
    };
    const Case cases[] = {
        {{"j-1", JobState::queued, {}, {}}, R"({"id":"j-1","status":"pending"})"},
        {{"j-1", JobState::queued, 0, 0}, R"({"done":0,"id":"j-1","running":0,"status":"pending"})"},
        {{"j-2", JobState::running, 3, 4}, R"({"done":3,"id":"j-2","running":4,"status":"running"})"},
        {{"j-3", JobState::done, 16, {}}, R"({"done":16,"id":"j-3","status":"done"})"},
        {{"j-4", JobState::cancelled, {}, 5}, R"({"id":"j-4","running":5,"status":"withdrawn"})"},
    };
    for (auto& c : cases) EXPECT_EQ(job_status(c.status), c.golden);
}
TEST(GoldenBytes, ErrorBodyIsWrittenAsBefore) {
    EXPECT_EQ(error_body("no such job"), R"({"error":"no such job"})");
    EXPECT_EQ(error_body("a \"b\"\n\\"), R"({"error":"a \"b\"\n\\"})");
    EXPECT_EQ(error_body("not text: \xff"), "{\"error\":\"not text: \xef\xbf\xbd\"}");
}
TEST(GoldenBytes, RefusalsNameTheFieldAsBefore) {
    struct Case {
        const char* field;
        json value;
        const char* refusal;
    };
    const Case cases[] = {
        {"id", "x-1", "field 'id' is not of the form j-000412"},
        {"cohort", "", "field 'cohort' is empty"},
        {"crew", 7, "field 'crew' is not a string"},
        {"payload", std::string(513, 'x'), "field 'payload' is too long"},
        {"shape", "pile", "field 'shape' has an unknown value"},
        {"rank", "urgent", "field 'rank' has an unknown value"},
        {"shards", 100001, "field 'shards' is out of range"},
        {"shards", 1.5, "field 'shards' is not a count"},
        {"vcpus", "8", "field 'vcpus' is not a number"},
        {"cards", -1, "field 'cards' is negative"},
        {"together", 1, "field 'together' is not true or false"},
        {"hulls", "g8", "field 'hulls' is not a list"},
        {"hulls", {1}, "field 'hulls' holds something that is not a string"},
        {"awaits", {"x"}, "field 'awaits' holds something that is not of the form j-000412"},
    };
    for (auto& c : cases) {
        auto body = with(golden::submission_least, c.field, c.value);
        EXPECT_EQ(refusal([&] { parse_job(body); }), c.refusal);
    }
    EXPECT_EQ(refusal([] { parse_job("{"); }), "not JSON");
    EXPECT_EQ(refusal([] { parse_job("[]"); }), "not an object");
}

TEST(GoldenBytes, RefusalsOfOtherMessagesNameTheFieldAsBefore) {
    struct Case {
        std::string body;
        std::function<void(const std::string&)> read;
        const char* refusal;
    };
    auto job = [](auto& b) { parse_job(b); };
    auto report = [](auto& b) { parse_heartbeat(b); };
    auto hosts = [](auto& b) { parse_hosts(b); };
    auto types = [](auto& b) { parse_types(b); };
    auto page = [](auto& b) { parse_machine_page(b); };
    auto bits = [](auto& b) { parse_bits(b); };
    const Case cases[] = {
        {with(golden::submission, "tide_s", "soon"), job, "field 'tide_s' is not a number"},
        {with(golden::submission, "awaits", "j-1"), job, "field 'awaits' is not a list"},
        {with(golden::report, "warning_s", "soon"), report, "field 'warning_s' is not a number"},
        {with(golden::report, "shards", {7}), report, "field 'shards' holds something that is not an object"},
        {with(golden::report, "shard", "j-1", "/shards/0"), report, "field 'shard' is not a task id"},
        {with(golden::report, "shard", "j-1/x", "/shards/0"), report, "field 'shard' is not a task id"},
        {with(golden::report, "status", "lost", "/shards/0"), report, "field 'status' has an unknown value"},
        {with(golden::hosts, "berths", {7}), hosts, "field 'berths' holds something that is not an object"},
        {with(golden::hosts, "status", "lost", "/berths/0"), hosts, "field 'status' has an unknown value"},
        {with(golden::types, "reefs", {7}, "/hulls/0"), types,
         "field 'reefs' holds something that is not a string"},
        {with(golden::rented, "berths", {7}), [](auto& b) { parse_rented(b); },
         "field 'berths' holds something that is not a string"},
        {with(golden::entries, "entries", {7}), [](auto& b) { parse_entries(b); },
         "field 'entries' holds something that is not an object"},
        {with(golden::events, "news", {7}), [](auto& b) { parse_events(b); },
         "field 'news' holds something that is not an object"},
        {with(golden::conflict, "failed", {7}), [](auto& b) { parse_conflict(b); },
         "field 'failed' holds something that is not a string"},
        {with(golden::final_done, "state", "lost"), [](auto& b) { parse_final_record(b); },
         "field 'state' has an unknown value"},
        {with(golden::machine_page, "machines", {7}), page,
         "field 'machines' holds something that is not a machine"},
        {R"({"machines":[[1,"","","",true,true]]})", page,
         "field 'machines' holds something that is not a machine"},
        {with(golden::standby, "members", {7}), [](auto& b) { parse_in_sync_replicas(b); },
         "field 'members' holds something that is not a member"},
        {with(golden::bits, "bits", 7), bits, "field 'bits' is not a string"},
        {with(golden::bits, "bits", "x"), bits, "field 'bits' is not hexadecimal"},
    };
    for (auto& c : cases) EXPECT_EQ(refusal([&] { c.read(c.body); }), c.refusal) << c.body;
}

// ---- Agents

std::vector<Command> commands_of_each_kind() {
    return {{.kind = CommandKind::start, .task = {"j-7", 0}, .attempt = AttemptNumber{3}, .grace_s = 9},
            {.kind = CommandKind::stop,
             .task = {"j-000412", 15},
             .attempt = AttemptNumber{beyond_double},
             .grace_s = 1.5},
            {.kind = CommandKind::forget, .task = {"j-9", 99999}, .attempt = AttemptNumber{5}, .grace_s = 9}};
}
TEST(GoldenBytes, HeartbeatResponseIsWrittenAsBefore) {
    EXPECT_EQ(heartbeat_response(FencingToken{UINT64_MAX}, commands_of_each_kind()),
              golden::heartbeat_response);
    EXPECT_EQ(heartbeat_response(FencingToken{7}, {}), golden::report_answer_empty);
}
TEST(GoldenBytes, DirectCommandsAreWrittenAsBefore) {
    EXPECT_EQ(direct_commands(FencingToken{beyond_double}, AgentEpoch{UINT64_MAX}, commands_of_each_kind()),
              golden::direct_commands);
    EXPECT_EQ(direct_commands(FencingToken{7}, AgentEpoch{8}, {}), golden::direct_commands_empty);
}
TEST(GoldenBytes, HeartbeatRedirectIsWrittenAsBefore) {
    EXPECT_EQ(heartbeat_redirect("berth-2"), golden::elsewhere);
    EXPECT_EQ(heartbeat_redirect(""), golden::elsewhere_unknown);
}

void expect_golden_report(const Heartbeat& r) {
    EXPECT_EQ(r.machine, "vm-1");
    EXPECT_EQ(r.addr, "10.1.0.1:9000");
    EXPECT_EQ(r.type, "g8");
    EXPECT_EQ(r.zone, "a");
    EXPECT_TRUE(r.spot);
    EXPECT_EQ(r.agent_epoch, AgentEpoch{beyond_double});
    EXPECT_EQ(r.sequence, SequenceNumber{UINT64_MAX});
    EXPECT_EQ(r.token, FencingToken{beyond_double + 2});
    EXPECT_EQ(r.preemption_notice_s, 12.5);
    ASSERT_EQ(r.tasks.size(), 2u);
    EXPECT_EQ(r.tasks[0].task, (TaskId{"j-7", 3}));
    EXPECT_EQ(r.tasks[0].attempt, AttemptNumber{beyond_double + 4});
    EXPECT_EQ(r.tasks[0].state, TaskState::exited);
    EXPECT_EQ(r.tasks[0].cause, ExitCause::stopped);
    EXPECT_TRUE(r.tasks[0].saved);
    EXPECT_EQ(r.tasks[1].task, (TaskId{"j-000412", 15}));
    EXPECT_EQ(r.tasks[1].attempt, AttemptNumber{2});
    EXPECT_EQ(r.tasks[1].state, TaskState::running);
    EXPECT_EQ(r.tasks[1].cause, ExitCause::none);
    EXPECT_FALSE(r.tasks[1].saved);
}
TEST(GoldenBytes, HeartbeatIsReadFieldByField) {
    expect_golden_report(parse_heartbeat(golden::report));
    HeartbeatReader reader;
    for (int time = 0; time < 2; ++time) expect_golden_report(reader.read(golden::report));
}
TEST(GoldenBytes, HeartbeatWithoutTasksOrNoticeIsReadFieldByField) {
    auto r = parse_heartbeat(golden::report_least);
    EXPECT_EQ(r.machine, "vm-2");
    EXPECT_EQ(r.addr, "10.1.0.2:9001");
    EXPECT_EQ(r.type, "c4");
    EXPECT_EQ(r.zone, "b");
    EXPECT_FALSE(r.spot);
    EXPECT_EQ(r.agent_epoch, AgentEpoch{1});
    EXPECT_EQ(r.sequence, SequenceNumber{2});
    EXPECT_EQ(r.token, FencingToken{3});
    EXPECT_FALSE(r.preemption_notice_s);
    EXPECT_TRUE(r.tasks.empty());
}
TEST(GoldenBytes, ErrorNamesEachMissingFieldOfAHeartbeat) {
    auto whole = json::parse(golden::report_least);
    for (auto& [field, value] : whole.items()) {
        auto body = without(golden::report_least, field.c_str());
        EXPECT_EQ(refusal([&] { parse_heartbeat(body); }), "field '" + field + "' is missing");
    }
}
TEST(GoldenBytes, OutlineOfAHeartbeatIsFound) {
    auto o = outline_heartbeat(golden::report);
    ASSERT_TRUE(o);
    EXPECT_EQ(o->machine, "vm-1");
    EXPECT_EQ(o->agent_epoch, AgentEpoch{beyond_double});
    EXPECT_EQ(o->sequence, SequenceNumber{UINT64_MAX});
    EXPECT_EQ(golden::report.substr(o->sequence_offset, o->sequence_digits), "18446744073709551615");
}
TEST(GoldenBytes, TaskStatesHaveTheirWireNames) {
    for (auto [state, word] : {std::pair(TaskState::fetching, "fetching"),
                               {TaskState::waiting, "waiting"},
                               {TaskState::running, "running"},
                               {TaskState::checkpointing, "flushing"},
                               {TaskState::exited, "exited"}}) {
        auto r = parse_heartbeat(with(golden::report, "status", word, "/shards/1"));
        EXPECT_EQ(r.tasks.at(1).state, state) << word;
    }
}
TEST(GoldenBytes, CausesHaveTheirWireNames) {
    for (auto [cause, word] : {std::pair(ExitCause::done, "done"),
                               {ExitCause::stopped, "halted"},
                               {ExitCause::gang_member_lost, "mates_gone"},
                               {ExitCause::gang_incomplete, "incomplete"},
                               {ExitCause::error, "error"},
                               {ExitCause::insufficient_resources, "no_room"},
                               {ExitCause::other_attempt_present, "busy"},
                               {ExitCause::unknown, "unknown"},
                               {ExitCause::error, "a word of a later version"}}) {
        auto r = parse_heartbeat(with(golden::report, "cause", word, "/shards/0"));
        EXPECT_EQ(r.tasks.at(0).cause, cause) << word;
    }
}

TEST(GoldenBytes, PathsAreAsBefore) {
    EXPECT_EQ(paths::jobs, "/api/jobs");
    EXPECT_EQ(paths::cancel, "/cancel");
    EXPECT_EQ(paths::health, "/healthz");
    EXPECT_EQ(paths::metrics, "/metrics");
    EXPECT_EQ(paths::heartbeat, "/hello");
    EXPECT_EQ(paths::commands, "/do");
    EXPECT_EQ(paths::inspect, "/inspect");
    EXPECT_EQ(paths::types, "/flavors");
    EXPECT_EQ(paths::hosts, "/hosts");
    EXPECT_EQ(paths::hosts_delete, "/hosts/delete");
    EXPECT_EQ(paths::txn, "/txn");
    EXPECT_EQ(paths::leases, "/holds");
    EXPECT_EQ(paths::kv("job/j-1"), "/kv/job/j-1");
    EXPECT_EQ(paths::kv_list("job/", "", 500), "/kv?starts=job/&limit=500");
    EXPECT_EQ(paths::kv_list("job/", "job/j-1", 20), "/kv?starts=job/&since=job/j-1&limit=20");
    EXPECT_EQ(paths::watch("job/", UINT64_MAX, 1500),
              "/watch?starts=job/&since=18446744073709551615&hold_ms=1500");
    EXPECT_EQ(paths::lease(beyond_double), "/holds/9007199254740993");
    EXPECT_EQ(paths::lease_renew(beyond_double), "/holds/9007199254740993/renew");
    EXPECT_EQ(paths::host_list("", 500), "/hosts?limit=500");
    EXPECT_EQ(paths::host_list("vm-1", 20), "/hosts?limit=20&since=vm-1");
}

// ---- Cloud

TEST(GoldenBytes, RentRequestIsWrittenAsBefore) {
    EXPECT_EQ(rent_request("r-1", "g8", "a", true, 3), golden::rent);
    EXPECT_EQ(rent_request("r-2", "c4", "b", false, 50), golden::rent_dear);
}
TEST(GoldenBytes, DeleteRequestIsWrittenAsBefore) {
    EXPECT_EQ(delete_request(std::vector<std::string>{"vm-1", "vm-2"}), golden::deletion);
    EXPECT_EQ(delete_request({}), golden::deletion_empty);
}
TEST(GoldenBytes, RentedMachinesAreRead) {
    EXPECT_EQ(parse_rented(golden::rented), (std::vector<std::string>{"vm-1", "vm-2"}));
}
TEST(GoldenBytes, HostPageIsReadFieldByField) {
    auto p = parse_hosts(golden::hosts);
    EXPECT_TRUE(p.more);
    ASSERT_EQ(p.hosts.size(), 2u);
    EXPECT_EQ(p.hosts[0].id, "vm-1");
    EXPECT_EQ(p.hosts[0].addr, "10.1.0.1:9000");
    EXPECT_EQ(p.hosts[0].type, "g8");
    EXPECT_EQ(p.hosts[0].zone, "a");
    EXPECT_TRUE(p.hosts[0].spot);
    EXPECT_EQ(p.hosts[0].state, HostState::running);
    EXPECT_EQ(p.hosts[0].age_s, 12.5);
    EXPECT_EQ(p.hosts[1].id, "vm-2");
    EXPECT_EQ(p.hosts[1].addr, "");
    EXPECT_EQ(p.hosts[1].type, "c4");
    EXPECT_EQ(p.hosts[1].zone, "b");
    EXPECT_FALSE(p.hosts[1].spot);
    EXPECT_EQ(p.hosts[1].state, HostState::booting);
    EXPECT_EQ(p.hosts[1].age_s, 0);
    auto last = parse_hosts(golden::hosts_last);
    EXPECT_FALSE(last.more);
    ASSERT_EQ(last.hosts.size(), 1u);
    EXPECT_EQ(last.hosts[0].id, "vm-3");
    EXPECT_EQ(last.hosts[0].state, HostState::failed);
}
TEST(GoldenBytes, HostStatesHaveTheirWireNames) {
    for (auto [state, word] : {std::pair(HostState::booting, "booting"),
                               {HostState::running, "running"},
                               {HostState::failed, "failed"}})
        EXPECT_EQ(parse_hosts(with(golden::hosts, "status", word, "/berths/0")).hosts.at(0).state, state)
            << word;
}

// ---- Key-value store

TEST(GoldenBytes, EntryIsReadFieldByField) {
    auto e = parse_entry(golden::entry);
    EXPECT_EQ(e.key, "leader");
    EXPECT_EQ(e.value, R"({"label":"berth-0","n":18446744073709551615})");
    EXPECT_EQ(e.version, beyond_double);
    EXPECT_EQ(e.lease, beyond_double + 2);
    EXPECT_EQ(parse_entry(without(golden::entry, "mooring")).lease, 0u);
}
TEST(GoldenBytes, EntriesAreReadFieldByField) {
    auto p = parse_entries(golden::entries);
    EXPECT_TRUE(p.more);
    EXPECT_EQ(p.revision, UINT64_MAX);
    ASSERT_EQ(p.entries.size(), 2u);
    EXPECT_EQ(p.entries[0].key, "job/j-1");
    EXPECT_EQ(p.entries[0].value, R"({"a":[1,2.5]})");
    EXPECT_EQ(p.entries[0].version, beyond_double);
    EXPECT_EQ(p.entries[0].lease, 0u);
    EXPECT_EQ(p.entries[1].key, "job/j-2");
    EXPECT_EQ(p.entries[1].value, R"("x")");
    EXPECT_EQ(p.entries[1].version, 5u);
    auto last = parse_entries(golden::entries_last);
    EXPECT_FALSE(last.more);
    EXPECT_EQ(last.revision, 17u);
    ASSERT_EQ(last.entries.size(), 1u);
    EXPECT_EQ(last.entries[0].key, "job/j-3");
}
TEST(GoldenBytes, EventsAreReadFieldByField) {
    auto n = parse_events(golden::events);
    EXPECT_EQ(n.revision, UINT64_MAX);
    ASSERT_EQ(n.events.size(), 2u);
    EXPECT_EQ(n.events[0].key, "job/j-1");
    EXPECT_EQ(n.events[0].value, R"({"a":[1,2.5]})");
    EXPECT_EQ(n.events[0].version, beyond_double);
    EXPECT_EQ(n.events[1].key, "job/j-2");
    EXPECT_FALSE(n.events[1].value);
    EXPECT_EQ(n.events[1].version, 9u);
}
TEST(GoldenBytes, ConflictRevisionAndLeaseAreRead) {
    EXPECT_EQ(parse_conflict(golden::conflict).failed, (std::vector<std::string>{"leader", "job/j-1"}));
    EXPECT_EQ(parse_revision(golden::revision), UINT64_MAX);
    EXPECT_EQ(parse_lease(golden::lease), beyond_double);
}
TEST(GoldenBytes, LeaseRequestIsWrittenAsBefore) {
    EXPECT_EQ(lease_request(1500), golden::lease_request);
}
Txn golden_txn() {
    return {.conditions = {{.key = "leader", .version = beyond_double}, {.key = "job/j-1", .version = 0}},
            .changes = {{.key = "leader", .value = R"({"label":"berth-0"})", .lease = UINT64_MAX},
                        {.key = "job/j-1", .value = "{}", .lease = 0},
                        {.key = "final/j-2", .value = std::nullopt, .lease = 5}}};
}
TEST(GoldenBytes, TxnRequestIsWrittenAsBefore) {
    EXPECT_EQ(txn_request(golden_txn()), golden::txn);
    EXPECT_EQ(txn_request({}), golden::txn_empty);
}

// ---- Whole requests, as the clients send them

struct Sent {
    std::string addr, method, target, body, type;
    bool operator==(const Sent&) const = default;
};
void PrintTo(const Sent& s, std::ostream* out) {
    *out << s.method << ' ' << s.target << " to " << s.addr << ", " << s.type << ": " << s.body;
}
// Records requests and answers them with the given responses in order; without any left, the request fails.
class Recorder : public http::Requester {
  public:
    void send(const std::string& addr, http::Request r, double, http::Result result) override {
        sent.push_back({addr, r.method, r.target, r.body, r.type});
        if (answers.empty()) return result(std::nullopt);
        auto a = std::move(answers.front());
        answers.pop_front();
        result(std::move(a));
    }
    void answer(int status, std::string_view body) { answers.push_back({status, std::string(body)}); }
    std::vector<Sent> sent;
    std::deque<http::Response> answers;
};
class GoldenBytesRequests : public testing::Test {
  protected:
    GoldenBytesRequests() {
        settings_.kv_addr = "state";
        settings_.cloud_addr = "cloud";
        settings_.heartbeat_interval_s = 1;
        settings_.kv_rps = settings_.kv_write_rps = settings_.cloud_rps = 1000;
        settings_.safe_value_kb = 16;
        settings_.txn_ops = 24;
    }
    static Sent to(const char* addr, const char* method, const char* target, std::string_view body = {}) {
        return {addr, method, target, std::string(body), "application/json"};
    }
    void expect_sent(const std::vector<Sent>& expected) {
        timers_.run_until(1);  // the rate limits admit one request after the other
        EXPECT_EQ(http_.sent, expected);
    }
    config::Settings settings_;
    FakeTimers timers_;
    Recorder http_;
};

TEST_F(GoldenBytesRequests, GetOfAKey) {
    kv::KvClient client(timers_, http_, settings_);
    http_.answer(200, golden::entry);
    kv::GetResult found;
    client.get("leader", kv::RequestPriority::write, [&](auto f) { found = std::move(f); });
    expect_sent({to("state", "GET", "/kv/leader")});
    ASSERT_TRUE(found.ok() && found.entry);
    EXPECT_EQ(found.entry->key, "leader");
    EXPECT_EQ(found.entry->version, beyond_double);
}
TEST_F(GoldenBytesRequests, ListInPages) {
    kv::KvClient client(timers_, http_, settings_);
    http_.answer(200, golden::entries);
    http_.answer(200, golden::entries_last);
    kv::ListResult listed;
    client.list("job/", kv::RequestPriority::write, [&](auto l) { listed = std::move(l); });
    expect_sent({to("state", "GET", "/kv?starts=job/&limit=500"),
                 to("state", "GET", "/kv?starts=job/&since=job/j-2&limit=500")});
    EXPECT_TRUE(listed.ok());
    EXPECT_EQ(listed.revision, UINT64_MAX);
    ASSERT_EQ(listed.entries.size(), 3u);
    EXPECT_EQ(listed.entries[2].key, "job/j-3");
}
TEST_F(GoldenBytesRequests, CommittedAndConflictingTransactions) {
    using S = kv::TxnResult::Status;
    kv::KvClient client(timers_, http_, settings_);
    http_.answer(200, golden::revision);
    http_.answer(409, golden::conflict);
    std::vector<kv::TxnResult> committed;
    for (int n = 0; n < 2; ++n)
        client.txn(golden_txn(), kv::RequestPriority::write,
                   [&](auto c) { committed.push_back(std::move(c)); });
    expect_sent({to("state", "POST", "/txn", golden::txn), to("state", "POST", "/txn", golden::txn)});
    ASSERT_EQ(committed.size(), 2u);
    EXPECT_EQ(committed[0].status, S::committed);
    EXPECT_EQ(committed[0].revision, UINT64_MAX);
    EXPECT_EQ(committed[1].status, S::conflict);
    EXPECT_TRUE(committed[1].failed_on("leader") && committed[1].failed_on("job/j-1"));
}
TEST_F(GoldenBytesRequests, Watch) {
    kv::KvClient client(timers_, http_, settings_);
    http_.answer(200, golden::events);
    kv::WatchResult watched;
    client.watch("job/", 17, 1.5, [&](auto w) { watched = std::move(w); });
    expect_sent({to("state", "GET", "/watch?starts=job/&since=17&hold_ms=1500")});
    EXPECT_EQ(watched.status, kv::ReadStatus::ok);
    EXPECT_EQ(watched.events.revision, UINT64_MAX);
    EXPECT_EQ(watched.events.events.size(), 2u);
}
TEST_F(GoldenBytesRequests, Leases) {
    kv::KvClient client(timers_, http_, settings_);
    http_.answer(200, golden::lease);
    http_.answer(200, "{}");
    http_.answer(200, "{}");
    kv::LeaseResult created, renewed;
    bool ended = false;
    client.create_lease(1.5, [&](auto a) { created = a; });
    client.renew_lease(beyond_double, 1, [&](auto a) { renewed = a; });
    client.end_lease(beyond_double, [&](bool ok) { ended = ok; });
    expect_sent({to("state", "POST", "/holds", golden::lease_request),
                 to("state", "POST", "/holds/9007199254740993/renew"),
                 to("state", "DELETE", "/holds/9007199254740993")});
    EXPECT_EQ(created.status, kv::LeaseResult::Status::ok);
    EXPECT_EQ(created.id, beyond_double);
    EXPECT_EQ(renewed.status, kv::LeaseResult::Status::ok);
    EXPECT_TRUE(ended);
}
TEST_F(GoldenBytesRequests, TypesAndHostsOfTheCloud) {
    cloud::CloudClient client(timers_, http_, settings_);
    for (auto a : {golden::types, golden::hosts, golden::hosts_last}) http_.answer(200, a);
    std::optional<std::vector<MachineType>> types;
    std::optional<std::vector<Host>> hosts;
    client.list_machine_types([&](auto t) { types = std::move(t); });
    client.list_machines([&](auto h) { hosts = std::move(h); });
    expect_sent({to("cloud", "GET", "/flavors"), to("cloud", "GET", "/hosts?limit=500"),
                 to("cloud", "GET", "/hosts?limit=500&since=vm-2")});
    ASSERT_TRUE(types && hosts);
    EXPECT_EQ(types->size(), 2u);
    EXPECT_EQ(hosts->size(), 3u);
}
TEST_F(GoldenBytesRequests, RentingAndDeletingMachines) {
    using S = cloud::CreateMachinesResult::Status;
    cloud::CloudClient client(timers_, http_, settings_);
    http_.answer(200, golden::rented);
    http_.answer(503, R"({"error":"no capacity"})");
    http_.answer(200, "{}");
    std::vector<cloud::CreateMachinesResult> rented;
    auto keep = [&](auto r) { rented.push_back(std::move(r)); };
    bool removed = false;
    client.create_machines({"r-1", "g8", "a", true, 3}, keep);
    client.create_machines({"r-2", "c4", "b", false, 50}, keep);
    client.delete_machines({"vm-1", "vm-2"}, [&](bool ok) { removed = ok; });
    expect_sent({to("cloud", "POST", "/hosts", golden::rent),
                 to("cloud", "POST", "/hosts", golden::rent_dear),
                 to("cloud", "POST", "/hosts/delete", golden::deletion)});
    ASSERT_EQ(rented.size(), 2u);
    EXPECT_EQ(rented[0].status, S::created);
    EXPECT_EQ(rented[0].machines, (std::vector<std::string>{"vm-1", "vm-2"}));
    EXPECT_EQ(rented[1].status, S::no_capacity);
    EXPECT_TRUE(removed);
}

}  // namespace
}  // namespace coralhitch::protocol

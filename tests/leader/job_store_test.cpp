// Tests of JobStore, JobWatcher and DependencyResolver: what is written about jobs, what the leader concludes
// after a write whose answer was lost, and how it learns of cancellations and of the ends of dependencies.
#include "leader/job_store.hpp"

#include <gtest/gtest.h>

#include "leader/dependency_resolver.hpp"
#include "leader/job_watcher.hpp"
#include "leader/leading_fixture.hpp"
#include "protocol/model.hpp"
#include "protocol/records.hpp"

namespace coralhitch::leader {
namespace {
using TxnFate = FakeKeyValueStore::TxnFate;
namespace keys = kv::keys;

struct JobStoreFixture : LeadingFixture {
    // Returns whether the key-value store has this key.
    bool stored(const std::string& key) { return service.kv.contains(key); }
    // Marks all tasks of the job as done.
    void complete(const std::string& id) {
        auto& job = *state->jobs.find(id);
        for (std::uint32_t task = 0; task < job.spec->tasks; ++task) job.mark_done(task);
    }
    // Calls `store_due` repeatedly for five heartbeat periods, which is enough to write everything.
    void store() {
        for (int call = 0; call < 30; ++call) {
            job_store.store_due();
            wait(settings.heartbeat_interval_s / 6);
        }
    }
    // Stores a final record.
    void store_final(const std::string& id, protocol::JobState end) {
        service.kv[keys::final(id)] = {nlohmann::json::parse(protocol::stored(protocol::FinalRecord{end, 1})),
                                       ++service.revision};
    }
    metrics::Metrics metrics;
    int plans = 0, changes = 0;
    std::vector<std::string> cancelled;
    StaleKeyRemover stale_keys{*context, kv};
    JobStore job_store{*context,
                       kv,
                       stale_keys,
                       metrics,
                       {[this](const std::string& id, std::uint64_t version, const std::string& value) {
                            watcher.apply_record(id, version, value);
                        },
                        [this] { ++plans; }, [] { return true; }}};
    JobWatcher watcher{*context,
                       kv,
                       job_store,
                       {[this](const std::string& id, jobs::JobEntry&) { cancelled.push_back(id); },
                        [this] { ++changes; }, [this] { ++plans; }}};
    DependencyResolver resolver{*context, kv, job_store, [this] { ++plans; }};
};

TEST(JobStore, StoresTheEndOfAJobAndRemovesItFromTheTable) {
    JobStoreFixture fixture;
    ASSERT_TRUE(fixture.leads());
    fixture.add_job("j-000001", 2);
    fixture.complete("j-000001");
    fixture.store();
    EXPECT_EQ(fixture.state->jobs.find("j-000001"), nullptr);
    EXPECT_FALSE(fixture.stored(keys::job("j-000001")));
    ASSERT_TRUE(fixture.stored(keys::final("j-000001")));
    EXPECT_EQ(protocol::parse_final_record(fixture.service.kv[keys::final("j-000001")].value.dump()).state,
              protocol::JobState::done);
}

TEST(JobStore, StoresTheProgressOfAJobThatIsNotDone) {
    JobStoreFixture fixture;
    ASSERT_TRUE(fixture.leads());
    auto& job = fixture.add_job("j-000001", 2);
    job.mark_done(0);
    fixture.store();
    EXPECT_TRUE(job.unstored_tasks.empty());
    ASSERT_EQ(job.block_versions.size(), 1u);
    EXPECT_TRUE(fixture.stored(keys::progress_of("j-000001", job.block_versions.begin()->first)));
    EXPECT_FALSE(job.write_in_flight);
}

TEST(JobStore, DetectsThatAnEndWasStoredAlthoughTheAnswerWasLost) {
    JobStoreFixture fixture;
    ASSERT_TRUE(fixture.leads());
    fixture.add_job("j-000001", 1);
    fixture.complete("j-000001");
    fixture.service.txn_fates = {TxnFate::answer_lost};
    fixture.store();
    EXPECT_EQ(fixture.state->jobs.find("j-000001"), nullptr);
    EXPECT_TRUE(fixture.stored(keys::final("j-000001")));
}

TEST(JobStore, AppliesACancellationThatConflictsWithTheWriteOfAnEnd) {
    JobStoreFixture fixture;
    ASSERT_TRUE(fixture.leads());
    auto record = protocol::JobRecord{*fixture.add_job("j-000001", 1).spec, 1, true};
    fixture.complete("j-000001");
    fixture.service.kv[keys::job("j-000001")] = {nlohmann::json::parse(protocol::stored(record)),
                                                 ++fixture.service.revision};
    fixture.store();
    EXPECT_EQ(fixture.cancelled, std::vector<std::string>{"j-000001"});
    EXPECT_EQ(protocol::parse_final_record(fixture.service.kv[keys::final("j-000001")].value.dump()).state,
              protocol::JobState::cancelled);
}

TEST(JobStore, WritesNothingOnceTheLeadershipHasEnded) {
    JobStoreFixture fixture;
    fixture.add_job("j-000001", 1);
    fixture.complete("j-000001");
    fixture.authority->end();
    fixture.store();
    EXPECT_FALSE(fixture.stored(keys::final("j-000001")));
}

TEST(JobWatcher, CancelsAJobOnce) {
    JobStoreFixture fixture;
    auto& job = fixture.add_job("j-000001", 1);
    EXPECT_TRUE(fixture.watcher.apply_cancellation("j-000001", job.version + 1));
    EXPECT_FALSE(fixture.watcher.apply_cancellation("j-000001", job.version + 1));
    EXPECT_FALSE(fixture.watcher.apply_cancellation("not read yet", 9));
    EXPECT_EQ(fixture.cancelled, std::vector<std::string>{"j-000001"});
}

TEST(JobWatcher, StopsACancelledJobWhoseRecordCannotBeRead) {
    JobStoreFixture fixture;
    auto& job = fixture.add_job("j-000001", 1);
    EXPECT_FALSE(fixture.watcher.apply_record("j-000001", job.version + 1, R"({"cancelled":false})"));
    EXPECT_TRUE(fixture.cancelled.empty());
    EXPECT_TRUE(fixture.watcher.apply_record("j-000001", job.version + 2, R"({"cancelled":true})"));
    EXPECT_EQ(fixture.cancelled, std::vector<std::string>{"j-000001"});
}

TEST(JobWatcher, AuditAddsAJobThatTheWatchMissed) {
    JobStoreFixture fixture;
    ASSERT_TRUE(fixture.leads());
    fixture.add_job("j-000001", 1);
    protocol::JobRecord missed{*fixture.state->jobs.find("j-000001")->spec, 1, false};
    missed.job.id = "j-000002";
    fixture.service.kv[keys::job("j-000002")] = {nlohmann::json::parse(protocol::stored(missed)),
                                                 ++fixture.service.revision};
    fixture.timers.run_until(fixture.settings.lease_s * 5);
    fixture.watcher.audit();
    fixture.wait(1);
    EXPECT_NE(fixture.state->jobs.find("j-000002"), nullptr);
    EXPECT_GT(fixture.plans, 0);
}

TEST(DependencyResolver, ReleasesAJobWhoseDependencyIsDone) {
    JobStoreFixture fixture;
    ASSERT_TRUE(fixture.leads());
    auto& job = fixture.add_job("j-000002", 1, {"j-000001"});
    fixture.resolver.resolve();
    fixture.wait(1);
    EXPECT_TRUE(job.is_blocked()) << "there is no final record yet";
    fixture.store_final("j-000001", protocol::JobState::done);
    fixture.resolver.resolve();
    fixture.wait(1);
    EXPECT_TRUE(job.is_blocked()) << "the final record is read only once between two calls of retry";
    fixture.resolver.retry();
    fixture.wait(1);
    EXPECT_FALSE(job.is_blocked());
    EXPECT_FALSE(job.cancelled);
    EXPECT_EQ(fixture.plans, 1);
}

TEST(DependencyResolver, CancelsAJobWhoseDependencyWasCancelled) {
    JobStoreFixture fixture;
    ASSERT_TRUE(fixture.leads());
    fixture.add_job("j-000002", 1, {"j-000001"});
    fixture.store_final("j-000001", protocol::JobState::cancelled);
    fixture.resolver.resolve();
    fixture.wait(1);
    // The job is removed from the table only after it has been cancelled and its end has been stored.
    EXPECT_EQ(fixture.state->jobs.find("j-000002"), nullptr);
}

}  // namespace
}  // namespace coralhitch::leader

// The simulated key-value store must enforce the protocol. If it were more permissive, experiments would
// report results that controllers can't reach with a real store.
#include "scale/kv/in_memory_kv_store.hpp"

#include <gtest/gtest.h>

#include "protocol/kv_api.hpp"
#include "support/fake_timers.hpp"

namespace coralhitch::scale {
namespace {

struct StoreFixture {
    FakeTimers timers;
    InMemoryKvStore store;
    explicit StoreFixture(const KvStoreSettings& settings = {1000, 1000, 1, 3, 0.001, 0, 0})
        : store(timers, settings, 1) {}
    // Sends a request and returns the answer, or status 0 if there is no answer within a second of simulated
    // time.
    http::Response ask(const std::string& method, const std::string& target, const std::string& body = "") {
        http::Response answer{0, ""};
        store.handle({method, target, body}, [&](http::Response response) { answer = std::move(response); });
        timers.run_until(timers.now() + 1);
        return answer;
    }
    int put(const std::string& key, std::uint64_t version, const std::string& more = "") {
        return ask("POST", "/txn",
                   R"({"if":[{"path":")" + key + R"(","stamp":)" + std::to_string(version) +
                       R"(}],"then":[{"put":")" + key + R"(","value":{"n":1})" + more + "}]}")
            .status;
    }
};

TEST(InMemoryKvStore, AppliesTransactionsOnlyIfVersionsMatch) {
    StoreFixture store;
    EXPECT_EQ(store.put("a/1", 0), 200);
    EXPECT_EQ(store.put("a/1", 0), 409);
    EXPECT_EQ(store.put("a/1", 1), 200);
    EXPECT_EQ(protocol::parse_entry(store.ask("GET", "/kv/a/1").body).version, 2u);
    EXPECT_EQ(store.ask("GET", "/kv/a/2").status, 404);
}
TEST(InMemoryKvStore, ListsInOrderAndInPages) {
    StoreFixture store;
    for (auto* key : {"a/3", "a/1", "b/1", "a/2"}) store.put(key, 0);
    auto first = protocol::parse_entries(store.ask("GET", "/kv?starts=a/&limit=2").body);
    ASSERT_EQ(first.entries.size(), 2u);
    EXPECT_EQ(first.entries[1].key, "a/2");
    EXPECT_TRUE(first.more);
    auto rest = protocol::parse_entries(store.ask("GET", "/kv?starts=a/&since=a/2&limit=2").body);
    ASSERT_EQ(rest.entries.size(), 1u);
    EXPECT_EQ(rest.entries[0].key, "a/3");
    EXPECT_FALSE(rest.more);
}
TEST(InMemoryKvStore, AnswersAWatchOnlyWhenItsPrefixChanges) {
    StoreFixture store;
    store.put("a/1", 0);
    std::optional<http::Response> answer;
    store.store.handle({"GET", "/watch?starts=a/&since=1&hold_ms=60000", ""},
                       [&](http::Response response) { answer = std::move(response); });
    store.put("b/1", 0);
    EXPECT_FALSE(answer);
    store.put("a/2", 0);
    ASSERT_TRUE(answer);
    auto events = protocol::parse_events(answer->body);
    ASSERT_EQ(events.events.size(), 1u);
    EXPECT_EQ(events.events[0].key, "a/2");
    EXPECT_EQ(events.events[0].version, 3u);
}
TEST(InMemoryKvStore, DeletesTheKeysOfALeaseThatIsNotRenewed) {
    StoreFixture store;
    auto lease = protocol::parse_lease(store.ask("POST", "/holds", R"({"ttl_ms":5000})").body);
    EXPECT_EQ(store.put("a/1", 0, R"(,"mooring":)" + std::to_string(lease)), 200);
    store.timers.run_until(store.timers.now() + 2.5);
    EXPECT_EQ(store.ask("POST", protocol::paths::lease_renew(lease)).status, 200);
    store.timers.run_until(store.timers.now() + 3.5);
    EXPECT_EQ(store.ask("GET", "/kv/a/1").status, 200);
    store.timers.run_until(store.timers.now() + 2);
    EXPECT_EQ(store.ask("GET", "/kv/a/1").status, 404);
    EXPECT_EQ(store.ask("POST", protocol::paths::lease_renew(lease)).status, 404);
    EXPECT_EQ(store.put("a/2", 0, R"(,"mooring":)" + std::to_string(lease)), 400);
}
TEST(InMemoryKvStore, RestoresTheTimeToLiveOfLeasesAfterAnOutage) {
    StoreFixture store;
    auto lease = protocol::parse_lease(store.ask("POST", "/holds", R"({"ttl_ms":5000})").body);
    store.store.begin_outage(20);
    EXPECT_EQ(store.put("a/1", 0), 503);
    store.timers.run_until(store.timers.now() + 23);
    EXPECT_EQ(store.ask("POST", protocol::paths::lease_renew(lease)).status, 200);
}
// A transaction at or above a limit, and the expected status.
struct Limit {
    const char* name;
    std::string body;
    int status;
};
// Returns a transaction that puts `count` keys with values of `bytes` characters.
std::string puts(int count, std::size_t bytes = 1) {
    std::string out = R"({"if":[],"then":[)";
    for (int index = 0; index < count; ++index)
        out += std::string(index ? "," : "") + R"({"put":"k/)" + std::to_string(index) + R"(","value":")" +
               std::string(bytes, 'x') + R"("})";
    return out + "]}";
}
const Limit limits[] = {{"most_changes", puts(3), 200},
                        {"too_many_changes", puts(4), 400},
                        {"largest_value", puts(1, 1022), 200},
                        {"too_large_value", puts(1, 1023), 400},
                        {"no_json", "{", 400},
                        {"key_with_space", R"({"then":[{"put":"a b","value":1}]})", 400}};
class InMemoryKvStoreLimits : public testing::TestWithParam<Limit> {};
INSTANTIATE_TEST_SUITE_P(Limits, InMemoryKvStoreLimits, testing::ValuesIn(limits),
                         [](auto& info) { return std::string(info.param.name); });
TEST_P(InMemoryKvStoreLimits, AreEnforced) {
    EXPECT_EQ(StoreFixture().ask("POST", "/txn", GetParam().body).status, GetParam().status);
}
TEST(InMemoryKvStore, RejectsRequestsAboveTheRateLimits) {
    StoreFixture store({4, 2, 1, 3, 0.001, 0, 0});
    int refused = 0;
    for (int request = 0; request < 6; ++request)
        store.store.handle({"GET", "/kv/a", ""},
                           [&](const http::Response& response) { refused += response.status == 429; });
    store.timers.run_until(2);
    EXPECT_EQ(refused, 2);
    EXPECT_EQ(store.ask("POST", "/txn", puts(2)).status, 200);
    http::Response second{0, ""};
    store.store.handle({"POST", "/txn", puts(2)},
                       [&](http::Response response) { second = std::move(response); });
    store.store.handle({"POST", "/txn", puts(2)},
                       [&](http::Response response) { second = std::move(response); });
    store.timers.run_until(store.timers.now() + 0.5);
    EXPECT_EQ(second.status, 429);
}

}  // namespace
}  // namespace coralhitch::scale

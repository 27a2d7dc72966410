// The stand-in for the key-value store keeps to the protocol: what it allowed beyond it would flatter the
// service.
#include "scale/state_service.hpp"

#include <gtest/gtest.h>

#include "protocol/kv_api.hpp"
#include "support/fake_timers.hpp"

namespace coralhitch::scale {
namespace {

struct Bench {
    FakeTimers timers;
    StateService service;
    explicit Bench(StateSettings s = {1000, 1000, 1, 3, 0.001, 0, 0}) : service(timers, s, 1) {}
    // The answer, which comes within a second of simulated time; status 0 if none did.
    http::Response ask(const std::string& method, const std::string& target, const std::string& body = "") {
        http::Response answer{0, ""};
        service.handle({method, target, body}, [&](http::Response r) { answer = std::move(r); });
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

TEST(ScaleStateService, ChangesOnlyOnTheVersionsNamed) {
    Bench b;
    EXPECT_EQ(b.put("a/1", 0), 200);
    EXPECT_EQ(b.put("a/1", 0), 409);
    EXPECT_EQ(b.put("a/1", 1), 200);
    EXPECT_EQ(protocol::parse_entry(b.ask("GET", "/kv/a/1").body).version, 2u);
    EXPECT_EQ(b.ask("GET", "/kv/a/2").status, 404);
}
TEST(ScaleStateService, ListsInOrderAndInPages) {
    Bench b;
    for (auto* key : {"a/3", "a/1", "b/1", "a/2"}) b.put(key, 0);
    auto first = protocol::parse_entries(b.ask("GET", "/kv?starts=a/&limit=2").body);
    ASSERT_EQ(first.entries.size(), 2u);
    EXPECT_EQ(first.entries[1].key, "a/2");
    EXPECT_TRUE(first.more);
    auto rest = protocol::parse_entries(b.ask("GET", "/kv?starts=a/&since=a/2&limit=2").body);
    ASSERT_EQ(rest.entries.size(), 1u);
    EXPECT_EQ(rest.entries[0].key, "a/3");
    EXPECT_FALSE(rest.more);
}
TEST(ScaleStateService, WatchesWaitForTheirPrefix) {
    Bench b;
    b.put("a/1", 0);
    std::optional<http::Response> told;
    b.service.handle({"GET", "/watch?starts=a/&since=1&hold_ms=60000", ""},
                     [&](http::Response r) { told = std::move(r); });
    b.put("b/1", 0);
    EXPECT_FALSE(told);
    b.put("a/2", 0);
    ASSERT_TRUE(told);
    auto events = protocol::parse_events(told->body);
    ASSERT_EQ(events.events.size(), 1u);
    EXPECT_EQ(events.events[0].key, "a/2");
    EXPECT_EQ(events.events[0].version, 3u);
}
TEST(ScaleStateService, ALeaseEndsWithItsKeysUnlessRenewed) {
    Bench b;
    auto lease = protocol::parse_lease(b.ask("POST", "/holds", R"({"ttl_ms":5000})").body);
    EXPECT_EQ(b.put("a/1", 0, R"(,"mooring":)" + std::to_string(lease)), 200);
    b.timers.run_until(b.timers.now() + 2.5);
    EXPECT_EQ(b.ask("POST", protocol::paths::lease_renew(lease)).status, 200);
    b.timers.run_until(b.timers.now() + 3.5);
    EXPECT_EQ(b.ask("GET", "/kv/a/1").status, 200);
    b.timers.run_until(b.timers.now() + 2);
    EXPECT_EQ(b.ask("GET", "/kv/a/1").status, 404);
    EXPECT_EQ(b.ask("POST", protocol::paths::lease_renew(lease)).status, 404);
    EXPECT_EQ(b.put("a/2", 0, R"(,"mooring":)" + std::to_string(lease)), 400);
}
TEST(ScaleStateService, AnOutageGivesLeasesTheirTimeAgain) {
    Bench b;
    auto lease = protocol::parse_lease(b.ask("POST", "/holds", R"({"ttl_ms":5000})").body);
    b.service.outage(20);
    EXPECT_EQ(b.put("a/1", 0), 503);
    b.timers.run_until(b.timers.now() + 23);
    EXPECT_EQ(b.ask("POST", protocol::paths::lease_renew(lease)).status, 200);
}
struct Limit {
    const char* name;
    std::string body;
    int status;
};
std::string puts(int n, std::size_t bytes = 1) {
    std::string out = R"({"if":[],"then":[)";
    for (int k = 0; k < n; ++k)
        out += std::string(k ? "," : "") + R"({"put":"k/)" + std::to_string(k) + R"(","value":")" +
               std::string(bytes, 'x') + R"("})";
    return out + "]}";
}
const Limit limits[] = {{"most_changes", puts(3), 200},
                        {"too_many_changes", puts(4), 400},
                        {"largest_value", puts(1, 1022), 200},
                        {"too_large_value", puts(1, 1023), 400},
                        {"no_json", "{", 400},
                        {"key_with_space", R"({"then":[{"put":"a b","value":1}]})", 400}};
class ScaleStateLimits : public testing::TestWithParam<Limit> {};
INSTANTIATE_TEST_SUITE_P(Limits, ScaleStateLimits, testing::ValuesIn(limits),
                         [](auto& info) { return std::string(info.param.name); });
TEST_P(ScaleStateLimits, AreKept) {
    EXPECT_EQ(Bench().ask("POST", "/txn", GetParam().body).status, GetParam().status);
}
TEST(ScaleStateService, RefusesWhatIsBeyondItsRates) {
    Bench b({4, 2, 1, 3, 0.001, 0, 0});
    int refused = 0;
    for (int k = 0; k < 6; ++k)
        b.service.handle({"GET", "/kv/a", ""}, [&](http::Response r) { refused += r.status == 429; });
    b.timers.run_until(2);
    EXPECT_EQ(refused, 2);
    EXPECT_EQ(b.ask("POST", "/txn", puts(2)).status, 200);
    http::Response second{0, ""};
    b.service.handle({"POST", "/txn", puts(2)}, [&](http::Response r) { second = std::move(r); });
    b.service.handle({"POST", "/txn", puts(2)}, [&](http::Response r) { second = std::move(r); });
    b.timers.run_until(b.timers.now() + 0.5);
    EXPECT_EQ(second.status, 429);
}

}  // namespace
}  // namespace coralhitch::scale

// Tests the client of the cloud's API: order of requests, budget, pages, and interpretation of answers.
#include "cloud/cloud_client.hpp"

#include <gtest/gtest.h>

#include <deque>

#include "protocol/cloud_api.hpp"
#include "protocol/model.hpp"
#include "support/fake_timers.hpp"

namespace coralhitch::cloud {
namespace {

// Answers each request at once, with the prepared answers in order, and then without an answer.
class FakeCloud : public http::Requester {
  public:
    void send(const std::string&, http::Request request, double, http::Result result) override {
        targets.push_back(request.target);
        std::optional<http::Response> answer;
        if (!answers.empty()) {
            answer = answers.front();
            answers.pop_front();
        }
        result(answer);
    }
    std::vector<std::string> targets;
    std::deque<std::optional<http::Response>> answers;
};

struct CloudClientFixture {
    explicit CloudClientFixture(double requests_per_s) { settings.cloud_rps = requests_per_s; }
    config::Settings settings;
    FakeTimers timers;
    FakeCloud cloud;
};

std::string host(const std::string& id) {
    return R"({"id":")" + id +
           R"(","hull":"g4","reef":"z1","driftwood":false,"status":"running","age_s":10})";
}

TEST(CloudClient, SendsDeletionsFirstOnceTheBudgetAllows) {
    CloudClientFixture fixture(1);
    CloudClient client(fixture.timers, fixture.cloud, fixture.settings);
    auto ignore_types = [](auto) {};
    client.list_machine_types(ignore_types);  // uses up the burst
    client.list_machine_types(ignore_types);
    bool was_answered = false;
    client.delete_machines({"vm-1"}, [&](bool) { was_answered = true; });
    EXPECT_EQ(fixture.cloud.targets.size(), 1u);
    EXPECT_FALSE(was_answered);
    fixture.timers.run_until(20);
    ASSERT_EQ(fixture.cloud.targets.size(), 3u);
    EXPECT_EQ(fixture.cloud.targets[1], protocol::paths::hosts_delete);
    EXPECT_EQ(fixture.cloud.targets[2], protocol::paths::types);
    EXPECT_TRUE(was_answered);
}

TEST(CloudClient, ReportsTheOutcomeOfACreation) {
    using Status = CreateMachinesResult::Status;
    struct Case {
        const char* name;
        std::optional<http::Response> answer;
        Status status;
        std::vector<std::string> machines;
    };
    const Case cases[] = {
        {"fewer than requested", http::Response{200, R"({"berths":["vm-1"]})"}, Status::created, {"vm-1"}},
        {"none left", http::Response{503, R"({"error":"no capacity"})"}, Status::no_capacity, {}},
        {"overloaded", http::Response{503, "{}"}, Status::failed, {}},
        {"malformed", http::Response{200, "{"}, Status::failed, {}},
        {"no answer", std::nullopt, Status::failed, {}},
    };
    for (auto& c : cases) {
        CloudClientFixture fixture(100);
        CloudClient client(fixture.timers, fixture.cloud, fixture.settings);
        fixture.cloud.answers = {c.answer};
        std::optional<CreateMachinesResult> result;
        client.create_machines({"r-1", "g4", "z1", false, 2}, [&](auto answered) { result = answered; });
        ASSERT_TRUE(result) << c.name;
        EXPECT_EQ(result->status, c.status) << c.name;
        EXPECT_EQ(result->machines, c.machines) << c.name;
    }
}

TEST(CloudClient, ListsAllPagesOrNothing) {
    auto first = http::Response{200, R"({"berths":[)" + host("vm-1") + R"(],"more":true})"};
    auto last = http::Response{200, R"({"berths":[)" + host("vm-2") + R"(],"more":false})"};
    for (bool is_last_answered : {true, false}) {
        CloudClientFixture fixture(100);
        CloudClient client(fixture.timers, fixture.cloud, fixture.settings);
        fixture.cloud.answers = {first};
        if (is_last_answered) fixture.cloud.answers.push_back(last);
        int answers = 0;
        std::optional<std::vector<protocol::Host>> listed;
        client.list_machines([&](auto machines) {
            ++answers;
            listed = machines;
        });
        EXPECT_EQ(answers, 1);
        ASSERT_EQ(fixture.cloud.targets.size(), 2u);
        EXPECT_NE(fixture.cloud.targets[1].find("since=vm-1"), std::string::npos);
        ASSERT_EQ(listed.has_value(), is_last_answered);
        if (is_last_answered) {
            EXPECT_EQ(listed->size(), 2u);
        }
    }
}

TEST(CloudClient, ConfirmsADeletionOnlyByItsAnswer) {
    struct Case {
        std::optional<http::Response> answer;
        bool deleted;
    };
    const Case cases[] = {
        {http::Response{200, "{}"}, true}, {http::Response{503, "{}"}, false}, {std::nullopt, false}};
    for (auto& c : cases) {
        CloudClientFixture fixture(100);
        CloudClient client(fixture.timers, fixture.cloud, fixture.settings);
        fixture.cloud.answers = {c.answer};
        std::optional<bool> deleted;
        client.delete_machines({"vm-1"}, [&](bool is_deleted) { deleted = is_deleted; });
        EXPECT_EQ(deleted, c.deleted);
    }
}

}  // namespace
}  // namespace coralhitch::cloud

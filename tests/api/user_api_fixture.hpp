// Fixture with the UserApi of several controllers, for tests of UserApi and of its parts.
#pragma once
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "api/user_api.hpp"
#include "kv/keys.hpp"
#include "protocol/cloud_api.hpp"
#include "protocol/kv_api.hpp"
#include "protocol/model.hpp"
#include "protocol/records.hpp"
#include "support/fake_key_value_store.hpp"
#include "support/fake_timers.hpp"
#include "support/test_settings.hpp"

namespace coralhitch::api {
namespace keys = kv::keys;
using nlohmann::json;

// Cluster with one machine type that records which cancellations the leader was notified of.
struct FakeCluster : ClusterQueries {
    std::vector<protocol::MachineType> types{protocol::parse_types(
        R"({"hulls":[{"name":"g8","vcpus":96,"cards":8,"ram_gb":768,"cache_gb":200,"fetch_gb_per_s":1,)"
        R"("hourly":12,"spot_price":4,"startup_s":45,"reefs":["a"]}]})")};
    std::vector<std::string> notified;
    const std::vector<protocol::MachineType>& machine_types() const override { return types; }
    void task_counts(const std::string&, TaskCountsCallback done) override { done(TaskCounts{}); }
    void notify_cancelled(const std::string& id, std::uint64_t) override { notified.push_back(id); }
};

// Returns the body of a submission of a job with one task that fits the machine type of FakeCluster.
inline std::string submission_body(const std::string& id, const std::string& team = "t1") {
    return json{{"id", id},         {"cohort", "c"},     {"crew", team},     {"shape", "batch"},
                {"rank", "high"},   {"shards", 1},       {"vcpus", 1.0},     {"cards", 0.0},
                {"ram_gb", 1.0},    {"payload", "i"},    {"image_gb", 1.0},  {"hulls", nullptr},
                {"reef", nullptr},  {"together", false}, {"scatter", false}, {"driftwood", true},
                {"reckon_s", 20.0}, {"anchor_s", 0.0},   {"stow_s", 0.0},    {"tide_s", nullptr}}
        .dump();
}

// Answer to one request. Times are in seconds of the fake clock.
struct Answer {
    double sent = 0, answered = 0;
    int status = 0;     // HTTP status; 0 as long as there is no answer
    std::string state;  // state of the job as in the body; empty if the body has none
    double retry_after_s = 0;
    bool rejected() const { return status == 503 || status == 429; }
};

// Three controllers, each with its own UserApi, that share one key-value store and one clock.
struct UserApiFixture {
    FakeTimers timers;
    FakeKeyValueStore kv_store{timers};
    config::Settings settings =
        settings_of({.nodes = 3, .heartbeat_interval_s = 5, .lease_s = 31, .kv_rps = 250, .memory_mb = 100});
    FakeCluster cluster;
    struct Node {
        kv::KvClient client;
        UserApi users;
        explicit Node(UserApiFixture& fixture)
            : client(fixture.timers, fixture.kv_store, fixture.settings),
              users(fixture.timers, client, fixture.settings, fixture.cluster) {}
    };
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<std::unique_ptr<Answer>> answers;

    UserApiFixture() {
        settings.teams = {{"t1"}, {"t2"}};
        for (int k = 0; k < 3; ++k) nodes.push_back(std::make_unique<Node>(*this));
    }
    UserApi& at(std::size_t node) { return nodes[node]->users; }
    // Creates the record of an answer in `kept` and returns a reply that fills it in.
    http::Reply record_answer(Answer*& kept) {
        answers.push_back(std::make_unique<Answer>());
        auto* a = kept = answers.back().get();
        a->sent = timers.now();
        return [this, a](http::Response r) {
            auto body = json::parse(r.body);
            *a = {a->sent, timers.now(), r.status, body.value("status", ""), r.retry_after_s};
        };
    }
    Answer* submit(std::size_t node, const std::string& id, const std::string& team = "t1") {
        Answer* a;
        auto reply = record_answer(a);
        at(node).submit(submission_body(id, team), std::move(reply));
        return a;
    }
    Answer* query(std::size_t node, const std::string& id) {
        Answer* a;
        auto reply = record_answer(a);
        at(node).query(id, std::move(reply));
        return a;
    }
    Answer* cancel(std::size_t node, const std::string& id) {
        Answer* a;
        auto reply = record_answer(a);
        at(node).cancel(id, std::move(reply));
        return a;
    }
    // Stores the end of a job like the leader does, on condition that the live record has not changed since
    // it was read. Does nothing if the job is not live.
    void store_end(const std::string& id) {
        auto it = kv_store.kv.find(keys::job(id));
        if (it == kv_store.kv.end()) return;
        bool cancelled = it->second.value.dump().find("\"cancelled\":true") != std::string::npos;
        protocol::Txn t;
        t.conditions = {{keys::job(id), it->second.version}};
        t.changes = {{keys::final(id),
                      protocol::stored(protocol::FinalRecord{
                          cancelled ? protocol::JobState::cancelled : protocol::JobState::done, 1}),
                      0},
                     {keys::job(id), std::nullopt, 0}};
        kv_store.send("", {"POST", "/txn", protocol::txn_request(t)}, 1, [](auto) {});
    }
};

}  // namespace coralhitch::api

// Test fixture with a leadership that has just begun, for tests of the leader's parts. It contains an
// election won at an in-memory key-value store, an empty state, and the context that every part receives.
#pragma once
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <memory>
#include <string>

#include "kv/keys.hpp"
#include "leader/part_context.hpp"
#include "protocol/model.hpp"
#include "protocol/numbers.hpp"
#include "protocol/records.hpp"
#include "support/fake_key_value_store.hpp"
#include "support/test_settings.hpp"

namespace coralhitch::leader {

// Answers lease requests, which FakeKeyValueStore does not support, and forwards all others.
class FakeLeases : public http::Requester {
  public:
    FakeLeases(FakeTimers& timers, http::Requester& store) : timers_(timers), store_(store) {}
    bool unanswered = false;  // if set, lease requests are lost
    void send(const std::string& addr, http::Request request, double timeout, http::Result result) override {
        if (!addr.empty() || !request.target.starts_with("/holds"))
            store_.send(addr, std::move(request), timeout, std::move(result));
        else if (unanswered)
            timers_.after(timeout, [result] { result(std::nullopt); });
        else
            timers_.after(0.01, [result] { result(http::Response{200, R"({"mooring":1})"}); });
    }

  private:
    FakeTimers& timers_;
    http::Requester& store_;
};

// A leadership with simulated time. The constructor waits until the election is won.
struct LeadingFixture {
    static config::Settings single_controller_settings() {
        auto settings = settings_of({.heartbeat_interval_s = 3, .lease_s = 30, .cancel_s = 60});
        settings.label = "controller-0";
        settings.cloud_addr = "cloud";
        settings.cloud_rps = 10;
        settings.list_lag_s = 10;
        settings.sockets = 800;
        return settings;
    }
    explicit LeadingFixture(config::Settings given = single_controller_settings())
        : settings(std::move(given)) {
        spdlog::set_level(spdlog::level::off);
        election.start({[this](protocol::LeaderVersion token) { begin(token); }, [] {}});
        wait(5);
    }
    void wait(double seconds) { timers.run_until(timers.now() + seconds); }
    bool leads() const { return authority && authority->holds(); }
    // Lets the leader's lease expire. The leadership itself has not ended yet.
    void lose_authority() {
        network.unanswered = true;
        wait(settings.lease_s * settings.op.lease_ratio);
        ASSERT_FALSE(leads());
    }
    // Stores the record of a live job, and adds the job to the job table as if the record had been read.
    jobs::JobEntry& add_job(const std::string& id, std::uint32_t tasks,
                            std::vector<std::string> awaits = {}) {
        protocol::JobRecord record;
        record.job.id = id;
        record.job.job_class = "batch";
        record.job.team = "t";
        record.job.image = "img";
        record.job.request = {1, 0, 1};
        record.job.tasks = tasks;
        record.job.estimated_run_s = 10;
        record.job.dependencies = std::move(awaits);
        service.kv[kv::keys::job(id)] = {nlohmann::json::parse(protocol::stored(record)), ++service.revision};
        state->jobs.put(id, service.revision, record);
        return *state->jobs.find(id);
    }

    FakeTimers timers;
    FakeKeyValueStore service{timers};
    FakeLeases network{timers, service};
    config::Settings settings;
    kv::KvClient kv{timers, network, settings};
    election::Election election{timers, kv, settings, protocol::Incarnation{77}, 1};
    const std::vector<protocol::MachineType> types{{"g4", {16, 4, 64}, 100, 1, 10, 4, 30, {"a", "b"}}};
    std::shared_ptr<int> leader = std::make_shared<int>();  // kept alive by running callbacks
    std::unique_ptr<Authority> authority;
    std::unique_ptr<CallbackGuard> guarded;
    std::unique_ptr<LeaderState> state;
    std::unique_ptr<PartContext> context;

  private:
    void begin(protocol::LeaderVersion token) {
        authority =
            std::make_unique<Authority>(timers, settings, election, token, [this] { return timers.now(); });
        guarded = std::make_unique<CallbackGuard>(*authority);
        guarded->bind(leader);
        state = std::make_unique<LeaderState>(token, types, settings.value_kb);
        context = std::make_unique<PartContext>(PartContext{timers, settings, *state, *authority, *guarded});
    }
};

}  // namespace coralhitch::leader

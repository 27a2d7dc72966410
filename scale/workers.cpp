// A process that holds hollow workers.
#include <spdlog/spdlog.h>

#include <cstdlib>
#include <set>

#include "protocol/model.hpp"
#include "scale/hollow_worker.hpp"
#include "scale/outside.hpp"
#include "scale/role.hpp"

namespace coralhitch::scale {
namespace {
using nlohmann::json;

constexpr double tell_every_s = 0.1, control_timeout_s = 30, bury_after_s = 1, tell_again_s = 0.5;
constexpr int tell_tries = 10;

class Site : public WorkerSite {
  public:
    Site(event_loop::EventLoop& loop, const Experiment& e, std::uint32_t process)
        : loop_(loop),
          experiment_(e),
          process_(process),
          random_(e.seed * 31 + process),
          http_(loop, control_limits()) {
        loop_.after(tell_every_s, [this] { tell(); });
    }
    event_loop::EventLoop& loop() override { return loop_; }
    const Experiment& experiment() const override { return experiment_; }
    std::mt19937_64& random() override { return random_; }
    WorkerCounts& counts() override { return counts_; }
    void observe(Observed event) override { events_.push_back(to_json(event)); }
    void spec(const std::string& job, std::function<void(const TaskSpec*)> done) override;

    void up(const protocol::Host& host) {
        if (removed_.contains(host.id)) return;  // deleted while the message was under way
        try {
            workers_[host.id] = std::make_unique<HollowWorker>(*this, host);
        } catch (const std::exception& error) {
            spdlog::error("workers {}: {}: {}", process_, host.id, error.what());
            std::exit(1);
        }
    }
    void silence(const std::string& id) {
        auto it = workers_.find(id);
        if (it != workers_.end()) it->second->silence();
    }
    // What is under way may still call back: it is destroyed a little later.
    void remove(const std::string& id) {
        removed_.insert(id);
        auto it = workers_.find(id);
        if (it == workers_.end()) return;
        it->second->silence();
        std::shared_ptr<HollowWorker> worker = std::move(it->second);
        workers_.erase(it);
        loop_.after(bury_after_s, [worker] {});
    }
    void gang(const json& j) {
        auto job = j.at("job").get<std::string>();
        auto attempt = j.at("attempt").get<std::uint64_t>();
        bool begins = j.contains("run_s");
        for (auto& [id, w] : workers_)
            begins ? w->gang_begins(job, attempt, j["run_s"].get<double>()) : w->gang_lost(job, attempt);
    }
    json stats() const;

  private:
    void tell();
    void send_events(std::string body, int tries);
    event_loop::EventLoop& loop_;
    const Experiment& experiment_;
    std::uint32_t process_;
    std::mt19937_64 random_;
    http::Client http_;
    WorkerCounts counts_;
    json events_ = json::array();
    std::uint64_t messages_ = 0;
    std::map<std::string, TaskSpec> specs_;
    std::map<std::string, std::vector<std::function<void(const TaskSpec*)>>> awaited_;
    std::map<std::string, std::unique_ptr<HollowWorker>> workers_;
    std::set<std::string> removed_;
};

void Site::spec(const std::string& job, std::function<void(const TaskSpec*)> done) {
    if (auto it = specs_.find(job); it != specs_.end()) return done(&it->second);
    auto& waiting = awaited_[job];
    waiting.push_back(std::move(done));
    if (waiting.size() > 1) return;
    http_.send(experiment_.users_control(), {"GET", "/spec/" + job, {}}, control_timeout_s,
               [this, job](std::optional<http::Response> r) {
                   const TaskSpec* spec = nullptr;
                   if (r && r->status == 200) spec = &(specs_[job] = spec_from(json::parse(r->body)));
                   auto waiting = std::move(awaited_[job]);
                   awaited_.erase(job);
                   for (auto& done : waiting) done(spec);
               });
}
// One message at a time, so that the checker gets them in order. All that happened before `now` is in it.
// Numbered: one whose answer was lost is sent again, and counts once.
void Site::tell() {
    json body{{"process", process_},
              {"number", ++messages_},
              {"now", loop_.now()},
              {"events", std::exchange(events_, json::array())}};
    send_events(body.dump(), tell_tries);
}
void Site::send_events(std::string body, int tries) {
    http_.send(experiment_.users_control(), {"POST", "/observed", body}, control_timeout_s,
               [this, body, tries](std::optional<http::Response> r) {
                   if (r && r->status == 200) {
                       loop_.after(tell_every_s, [this] { tell(); });
                       return;
                   }
                   if (tries > 1) {
                       loop_.after(tell_again_s, [this, body, tries] { send_events(body, tries - 1); });
                       return;
                   }
                   // What it held is lost to the checker: what follows would be judged wrongly.
                   spdlog::error("workers {}: the users' process took no events: {}", process_,
                                 r ? r->body : "no answer");
                   std::exit(1);
               });
}
json Site::stats() const {
    auto& c = counts_;
    std::size_t present = 0;
    for (auto& [id, w] : workers_) present += w->present();
    return {{"workers", workers_.size()},
            {"present", present},
            {"reports", c.reports},
            {"report_bytes", c.report_bytes},
            {"repeated", c.repeated},
            {"repeated_bytes", c.repeated_bytes},
            {"answers", c.answers},
            {"answer_bytes", c.answer_bytes},
            {"redirected", c.redirected},
            {"turned_away", c.turned_away},
            {"unanswered", c.unanswered},
            {"dropped_answers", c.dropped_answers},
            {"direct", c.direct},
            {"direct_bytes", c.direct_bytes},
            {"direct_answer_bytes", c.direct_answer_bytes},
            {"refused_commands", c.refused_commands},
            {"commands", c.commands},
            {"started", c.started},
            {"ended", c.ended},
            {"expired", c.expired},
            {"reports_to", c.by_controller},
            {"ends_by_cause", c.ends_by_cause}};
}
}  // namespace

int run_workers(const Experiment& e, std::uint32_t process) {
    event_loop::EventLoop loop;
    Lateness lateness(loop);
    Site site(loop, e, process);
    auto control =
        control_server(loop, e.workers_control(process), [&](const http::Request& r, http::Reply reply) {
            if (r.target == "/stats") {
                auto out = site.stats();
                out["lateness_s"] = lateness.most_s();
                out["late"] = lateness.over_100_ms();
                return reply({200, out.dump()});
            }
            auto j = json::parse(r.body);
            if (r.target == "/up")
                site.up({j.at("id"), j.at("addr"), j.at("type"), j.at("zone"), j.at("spot"),
                         protocol::HostState::running, 0});
            if (r.target == "/remove")
                for (auto& id : outside::parse_machines(r.body)) site.remove(id);
            if (r.target == "/silence")
                for (auto& id : outside::parse_machines(r.body)) site.silence(id);
            if (r.target == "/gang") site.gang(j);
            reply({200, "{}"});
        });
    loop.run();
    return 0;
}

}  // namespace coralhitch::scale

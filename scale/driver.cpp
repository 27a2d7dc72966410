#include "scale/driver.hpp"

#include <signal.h>
#include <sys/signalfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmath>
#include <cstdio>
#include <fstream>
#include <iostream>

#include "http/address.hpp"
#include "protocol/user_api.hpp"
#include "scale/process.hpp"
#include "scale/role.hpp"

namespace coralhitch::scale {
namespace {
using nlohmann::json;

constexpr double start_s = 20, look_s = 0.5, progress_s = 2, answer_s = 10, margin_s = 120, filled = 0.97;
constexpr double memory_share = 0.5;  // of the machine
// Of a hollow worker: it listens, has one connection to a controller, and is asked by up to four others at a
// time.
constexpr std::uint64_t descriptors_a_worker = 6, descriptors_else = 512;

void check_descriptors(const Experiment& e) {
    auto most = raise_descriptors();
    auto in_a_process = (e.workers * 11ull / 10 + e.worker_processes) / e.worker_processes;
    auto need = in_a_process * descriptors_a_worker + descriptors_else;
    if (most < need)
        throw Refused("too few file descriptors: a process of workers needs " + std::to_string(need) +
                      ", the limit is " + std::to_string(most) + "; raise it or 'worker_processes'");
    if (most < e.limits.sockets)
        throw Refused("too few file descriptors: limits.sockets is " + std::to_string(e.limits.sockets) +
                      ", the limit is " + std::to_string(most));
}
void check_free(const std::string& addr) {
    auto sa = http::socket_address(addr);
    event_loop::Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    int on = 1;
    ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (!sa || !fd || ::bind(fd.get(), reinterpret_cast<sockaddr*>(&*sa), sizeof *sa) < 0 ||
        ::listen(fd.get(), 1) < 0)
        throw Refused("port in use: can't listen on " + addr);
}
void check_ports(const Experiment& e) {
    check_free(e.state_addr());
    check_free(e.cloud_addr());
    check_free(e.users_control());
    check_free(e.cloud_control());
    for (std::uint32_t k = 0; k < e.worker_processes; ++k) check_free(e.workers_control(k));
    for (std::uint32_t k = 0; k < e.controllers; ++k)
        check_free(e.controller_addr(k)), check_free(e.peer_addr(k));
    check_free(e.worker_addr(0));
}
// Below the ports that the kernel gives to connections.
void choose_ports(Experiment& e) {
    if (e.port_base) return check_ports(e);
    constexpr std::uint32_t first = 10000, step = 100, bases = 200, tries = 40;
    auto start = static_cast<std::uint32_t>(::getpid());
    for (std::uint32_t k = 0; k < tries; ++k) {
        e.port_base = static_cast<std::uint16_t>(first + (start + k * 7) % bases * step);
        try {
            return check_ports(e);
        } catch (const Refused&) {
            if (k + 1 == tries) throw;
        }
    }
}
void write_file(const std::string& file, const std::string& text) {
    std::ofstream out(file);
    out << text;
    if (!out) throw Refused(file + ": can't be written");
}
// The sums of a metric's lines by one label, from Prometheus' text.
std::map<std::string, double> by_label(const std::string& text, const std::string& metric,
                                       const std::string& label) {
    std::map<std::string, double> out;
    std::size_t at = 0;
    while (at < text.size()) {
        auto end = text.find('\n', at);
        auto line = text.substr(at, end - at);
        at = end == std::string::npos ? text.size() : end + 1;
        if (!line.starts_with(metric + "{")) continue;
        auto l = line.find(label + "=\"");
        auto value = line.rfind(' ');
        if (l == std::string::npos || value == std::string::npos) continue;
        l += label.size() + 2;
        out[line.substr(l, line.find('"', l) - l)] += std::stod(line.substr(value));
    }
    return out;
}
double sum_of(const std::string& text, const std::string& name) {
    auto at = text.find("\n" + name + " ");
    return at == std::string::npos ? 0 : std::stod(text.substr(at + name.size() + 2));
}

class Driver {
  public:
    Driver(Experiment e, const RunOptions& o)
        : experiment_(std::move(e)), options_(o), http_(loop_, control_limits()) {}
    json run();

  private:
    struct Controller {
        std::unique_ptr<Child> child;
        double cpu_before_s = 0;  // of processes that were ended
        std::uint64_t peak_bytes = 0;
        std::uint32_t starts = 0;
        bool down = false;  // by a fault
    };
    using Seen = std::function<void(json)>;
    void start_all();
    void wait_for_workers(std::uint32_t process);
    void start_controller(std::uint32_t k);
    void wait_for(const std::string& addr, const std::string& path, std::function<void()> then);
    void end_controller(std::uint32_t k, double back_s);
    void wait_for(const std::string& addr, const std::string& path, std::function<void()> then, double until);
    void look();
    void progress();
    void stop(const std::string& why);
    void ask(const std::string& addr, const std::string& path, const json& body, Seen seen);
    void ask_metrics(std::uint32_t k, std::shared_ptr<json> out, std::function<void()> done);
    void snapshot(Seen seen);
    json usage_of(const Child& child) const;
    void fill();
    void wait_until_filled();
    void begin_phase(std::size_t n);
    void end_phase(std::size_t n);
    void schedule_faults();
    void make_fault(const Fault& f);
    void finish();
    std::uint32_t leader() const;
    double since_start() const { return loop_.now() - began_; }
    std::string log_file(const std::string& name) const { return options_.directory + "/" + name + ".log"; }

    Experiment experiment_;
    const RunOptions& options_;
    event_loop::EventLoop loop_;
    http::Client http_;
    std::vector<std::unique_ptr<Child>> roles_;
    std::vector<Controller> controllers_;
    std::string failure_, stage_ = "start";
    json last_users_ = json::object(), last_infrastructure_ = json::object(), snapshot_,
         result_ = json::object();
    double began_ = 0, deadline_ = 0, fill_began_ = 0;
    std::size_t level_ = 0;  // tasks that are to run once it is filled
    std::uint64_t most_memory_ = 0;
};

void Driver::stop(const std::string& why) {
    if (failure_.empty()) failure_ = why;
    loop_.stop();
}
void Driver::ask(const std::string& addr, const std::string& path, const json& body, Seen seen) {
    http::Request r{body.is_null() ? "GET" : "POST", path, body.is_null() ? "" : body.dump()};
    http_.send(addr, std::move(r), answer_s,
               [this, addr, path, seen](std::optional<http::Response> response) {
                   if (!response || response->status != 200)
                       return stop(addr + path + " gave " + (response ? response->body : "no answer"));
                   seen(json::parse(response->body));
               });
}

// --- Processes ------------------------------------------------------------------------------------------

void Driver::start_all() {
    auto role = [this](const std::string& name, std::vector<std::string> arguments) {
        arguments.insert(arguments.begin(), options_.self);
        arguments.insert(arguments.end(), {"--experiment", options_.file});
        for (auto& o : options_.overrides)
            arguments.insert(arguments.end(), {"--set", o.key + "=" + o.value});
        arguments.insert(arguments.end(), {"--set", "port_base=" + std::to_string(experiment_.port_base)});
        roles_.push_back(std::make_unique<Child>(name, arguments, log_file(name)));
    };
    // Each is there before those that call it.
    write_file(options_.directory + "/operator.textproto", experiment_.operator_settings());
    controllers_.resize(experiment_.controllers);
    role("users", {"users"});
    wait_for(experiment_.users_control(), "/stats", [this, role] {
        for (std::uint32_t k = 0; k < experiment_.worker_processes; ++k)
            role("workers-" + std::to_string(k), {"workers", "--process", std::to_string(k)});
        role("infrastructure", {"infrastructure"});
        wait_for_workers(0);
    });
}
void Driver::wait_for_workers(std::uint32_t process) {
    if (process < experiment_.worker_processes)
        return wait_for(experiment_.workers_control(process), "/stats",
                        [this, process] { wait_for_workers(process + 1); });
    wait_for(experiment_.cloud_control(), "/stats", [this] {
        for (std::uint32_t k = 0; k < experiment_.controllers; ++k) start_controller(k);
        wait_for(experiment_.controller_addr(0), std::string(protocol::paths::health), [this] { fill(); });
    });
}
void Driver::start_controller(std::uint32_t k) {
    auto name = Experiment::label(k);
    auto settings = options_.directory + "/" + name + ".toml";
    write_file(settings, experiment_.controller_settings(k));
    auto& c = controllers_[k];
    c.child = std::make_unique<Child>(
        name,
        std::vector<std::string>{options_.controller, "--config", settings, "--operator",
                                 options_.directory + "/operator.textproto"},
        log_file(name));
    c.down = false;
    ++c.starts;
}
void Driver::end_controller(std::uint32_t k, double back_s) {
    auto& c = controllers_[k];
    if (c.down || !c.child) return;
    c.down = true;
    c.child->end();
    auto used = c.child->usage();
    c.cpu_before_s += used.cpu_s;
    c.peak_bytes = std::max(c.peak_bytes, used.peak_bytes);
    loop_.after(back_s, [this, k] { start_controller(k); });
}
void Driver::wait_for(const std::string& addr, const std::string& path, std::function<void()> then) {
    wait_for(addr, path, std::move(then), loop_.now() + start_s);
}
void Driver::wait_for(const std::string& addr, const std::string& path, std::function<void()> then,
                      double until) {
    http_.send(addr, {"GET", path, {}}, 1, [this, addr, path, then, until](std::optional<http::Response> r) {
        if (r && r->status == 200) return then();
        if (loop_.now() > until)
            return stop(addr + " was not there within " + std::to_string(int(start_s)) + " s");
        loop_.after(0.1, [this, addr, path, then, until] { wait_for(addr, path, then, until); });
    });
}
// Whether all processes are there, and keep to the bounds.
void Driver::look() {
    std::uint64_t memory = 0;
    auto check = [&](Child& child) {
        if (child.has_ended())
            return stop(child.name() + " ended " + child.how() + "; its last lines:\n" +
                        tail(child.log(), 5));
        memory += child.usage().rss_bytes;
    };
    for (auto& r : roles_) check(*r);
    for (auto& c : controllers_)
        if (c.child && !c.down) check(*c.child);
    most_memory_ = std::max(most_memory_, memory);
    if (static_cast<double>(memory) > memory_share * static_cast<double>(machine_memory_bytes()))
        stop("the processes hold more than half of the machine's memory");
    if (loop_.now() > deadline_) stop("the run took longer than it may");
    loop_.after(look_s, [this] { look(); });
}

// --- Measuring ------------------------------------------------------------------------------------------

json Driver::usage_of(const Child& child) const {
    auto u = child.usage();
    return {
        {"cpu_s", u.cpu_s}, {"peak_bytes", u.peak_bytes}, {"rss_bytes", u.rss_bytes}, {"sockets", u.sockets}};
}
void Driver::ask_metrics(std::uint32_t k, std::shared_ptr<json> out, std::function<void()> done) {
    if (controllers_[k].down) return done();
    http_.send(experiment_.controller_addr(k), {"GET", std::string(protocol::paths::metrics), {}}, answer_s,
               [k, out, done](std::optional<http::Response> r) {
                   if (r && r->status == 200) {
                       auto& row = (*out)["controllers"][Experiment::label(k)];
                       row["requests"] = by_label(r->body, "coralhitch_requests_total", "route");
                       row["events"] = by_label(r->body, "coralhitch_events_total", "event");
                       row["gauges"] = by_label(r->body, "coralhitch_current", "of");
                       row["plans"] = sum_of(r->body, "coralhitch_plan_seconds_count");
                       row["plan_s"] = sum_of(r->body, "coralhitch_plan_seconds_sum");
                   }
                   done();
               });
}
// All that is known at this moment, as near to each other as requests come.
void Driver::snapshot(Seen seen) {
    auto out = std::make_shared<json>(json::object());
    (*out)["t"] = loop_.now();
    for (auto& r : roles_) (*out)["processes"][r->name()] = usage_of(*r);
    for (std::uint32_t k = 0; k < experiment_.controllers; ++k) {
        auto row = usage_of(*controllers_[k].child);
        if (!controllers_[k].down) row["cpu_s"] = row["cpu_s"].get<double>() + controllers_[k].cpu_before_s;
        if (controllers_[k].down) row["cpu_s"] = controllers_[k].cpu_before_s;
        row["peak_bytes"] = std::max(row["peak_bytes"].get<std::uint64_t>(), controllers_[k].peak_bytes);
        (*out)["processes"][Experiment::label(k)] = row;
        (*out)["controllers"][Experiment::label(k)] = json::object();
    }
    auto left = std::make_shared<std::size_t>(2 + experiment_.worker_processes + experiment_.controllers);
    auto one = [out, left, seen] {
        if (--*left == 0) seen(*out);
    };
    ask(experiment_.users_control(), "/stats", {},
        [out, one](json j) { (*out)["users"] = std::move(j), one(); });
    ask(experiment_.cloud_control(), "/stats", {},
        [out, one](json j) { (*out)["infrastructure"] = std::move(j), one(); });
    for (std::uint32_t k = 0; k < experiment_.worker_processes; ++k)
        ask(experiment_.workers_control(k), "/stats", {}, [out, one, k](json j) {
            (*out)["workers"]["workers-" + std::to_string(k)] = std::move(j);
            one();
        });
    for (std::uint32_t k = 0; k < experiment_.controllers; ++k) ask_metrics(k, out, one);
}
std::uint32_t Driver::leader() const {
    auto text = last_infrastructure_.value("leader", "");
    auto j = json::parse(text, nullptr, false);
    if (j.is_object())
        for (std::uint32_t k = 0; k < experiment_.controllers; ++k)
            if (j.value("label", "") == Experiment::label(k)) return k;
    return 0;
}
void Driver::progress() {
    loop_.after(progress_s, [this] { progress(); });
    ask(experiment_.cloud_control(), "/stats", {}, [this](json j) { last_infrastructure_ = std::move(j); });
    ask(experiment_.users_control(), "/stats", {}, [this](json j) {
        last_users_ = std::move(j);
        result_["course"].push_back({std::round(since_start() * 10) / 10, stage_,
                                     last_infrastructure_.value("machines", 0ull),
                                     last_users_.value("present", 0ull)});
        if (options_.quiet) return;
        auto& u = last_users_;
        std::fprintf(stderr,
                     "%6.1f s %-10s %5llu machines  %6llu of %zu tasks on them  %4llu jobs open  %llu done  "
                     "leader %s  %zu rules broken\n",
                     since_start(), stage_.c_str(),
                     static_cast<unsigned long long>(last_infrastructure_.value("machines", 0ull)),
                     static_cast<unsigned long long>(u.value("present", 0ull)), level_,
                     static_cast<unsigned long long>(u.value("jobs_open", 0ull)),
                     static_cast<unsigned long long>(u.value("done", 0ull)),
                     Experiment::label(leader()).c_str(), u["broken"].size());
    });
}

// --- Course ---------------------------------------------------------------------------------------------

void Driver::fill() {
    stage_ = "fill";
    fill_began_ = loop_.now();
    level_ = static_cast<std::size_t>(experiment_.base_tasks());
    progress();
    ask(experiment_.users_control(), "/begin", json::object(), [this](json) { wait_until_filled(); });
}
void Driver::wait_until_filled() {
    auto present = last_users_.value("present", std::size_t{0});
    double took = loop_.now() - fill_began_;
    bool full = static_cast<double>(present) >= filled * static_cast<double>(level_);
    if (!full && took < experiment_.fill_s) {
        loop_.after(look_s, [this] { wait_until_filled(); });
        return;
    }
    result_["fill"] = {{"filled", full}, {"seconds", took}, {"tasks", present}};
    schedule_faults();
    begin_phase(0);
}
void Driver::begin_phase(std::size_t n) {
    auto& p = experiment_.phases[n];
    stage_ = p.name;
    ask(experiment_.users_control(), "/phase", {{"name", p.name}}, [this, n](json) {
        snapshot([this, n](json s) {
            snapshot_ = std::move(s);
            loop_.after(experiment_.phases[n].seconds, [this, n] { end_phase(n); });
        });
    });
}
void Driver::end_phase(std::size_t n) {
    snapshot([this, n](json s) {
        result_["phases"].push_back({{"name", experiment_.phases[n].name},
                                     {"starts_per_worker_s", experiment_.phases[n].starts_per_worker_s},
                                     {"before", snapshot_},
                                     {"after", std::move(s)},
                                     {"leader", Experiment::label(leader())}});
        if (n + 1 < experiment_.phases.size()) return begin_phase(n + 1);
        stage_ = "drain";
        loop_.after(experiment_.drain_s, [this] { finish(); });
    });
}
void Driver::schedule_faults() {
    for (auto& f : experiment_.faults) loop_.after(f.at_s, [this, f] { make_fault(f); });
}
void Driver::make_fault(const Fault& f) {
    json note{
        {"kind", f.name}, {"at_s", f.at_s}, {"t", since_start()}, {"which", f.which}, {"stage", stage_}};
    auto done = [this, f](json said) {
        std::fprintf(stderr, "%6.1f s fault: %s %s\n", since_start(), f.name.c_str(), said.dump().c_str());
        result_["faults"].push_back(std::move(said));
    };
    switch (f.kind) {
        case FaultKind::controller: {
            auto k = leader();
            for (std::uint32_t n = 0; n < experiment_.controllers; ++n)
                if (f.which == Experiment::label(n)) k = n;
            end_controller(k, f.back_s);
            note["which"] = Experiment::label(k);
            return done(note);
        }
        case FaultKind::restart_all:
            for (std::uint32_t k = 0; k < experiment_.controllers; ++k) end_controller(k, f.back_s);
            return done(note);
        case FaultKind::roll:
            // One after the other; each has three times `back_s` to come back and settle.
            for (std::uint32_t k = 0; k < experiment_.controllers; ++k)
                loop_.after(k * (f.back_s * 4), [this, k, f] { end_controller(k, f.back_s); });
            return done(note);
        case FaultKind::zone:
            for (std::uint32_t k = 0; k < experiment_.controllers; ++k)
                if (experiment_.zone_of_controller(k) == f.which) end_controller(k, f.back_s);
            [[fallthrough]];
        case FaultKind::rack:
        case FaultKind::machines:
        case FaultKind::state_outage:
            ask(experiment_.cloud_control(), "/fault",
                {{"kind", f.name}, {"which", f.which}, {"machines", f.machines}, {"back_s", f.back_s}},
                [note, done](json said) {
                    auto all = note;
                    all.update(said);
                    done(all);
                });
    }
}
void Driver::finish() {
    snapshot([this](json s) {
        result_["end"] = std::move(s);
        loop_.stop();
    });
}

json Driver::run() {
    began_ = loop_.now();
    double faults_s = 0;
    for (auto& f : experiment_.faults) faults_s = std::max(faults_s, f.back_s);
    deadline_ = began_ + 2 * start_s + experiment_.fill_s + experiment_.phases_s() + experiment_.drain_s +
                faults_s + margin_s;
    sigset_t interrupts;
    ::sigemptyset(&interrupts);
    for (int s : {SIGINT, SIGTERM, SIGHUP}) ::sigaddset(&interrupts, s);
    ::sigprocmask(SIG_BLOCK, &interrupts, nullptr);
    ::signal(SIGPIPE, SIG_IGN);
    event_loop::Fd signals(::signalfd(-1, &interrupts, SFD_NONBLOCK | SFD_CLOEXEC));
    loop_.watch(signals.get(), EPOLLIN, [this, &signals](std::uint32_t) {
        // Read, or it would end this process by itself once it is let through again.
        signalfd_siginfo info{};
        while (::read(signals.get(), &info, sizeof info) > 0) {
        }
        stop("broken off");
    });
    start_all();
    look();
    loop_.run();
    // All are ended here, by their pids, and by their destructors when something throws.
    for (auto& c : controllers_)
        if (c.child) c.child->end();
    for (auto& r : roles_) r->end();
    loop_.unwatch(signals.get());
    ::sigprocmask(SIG_UNBLOCK, &interrupts, nullptr);
    if (!failure_.empty()) throw Refused(failure_);
    auto& e = experiment_;
    result_["experiment"] = {{"name", e.name},
                             {"seed", e.seed},
                             {"workers", e.workers},
                             {"tasks_per_worker", e.tasks_per_worker},
                             {"controllers", e.controllers},
                             {"report_s", e.worker.heartbeat_interval_s},
                             {"lease_s", e.worker.lease_s},
                             {"zones", e.zones},
                             {"state_rps", e.state.rps},
                             {"state_write_rps", e.state.write_rps},
                             {"core_share", e.limits.core_share}};
    result_["seconds"] = since_start();
    result_["most_memory_bytes"] = most_memory_;
    return result_;
}

}  // namespace

json run_experiment(Experiment e, const RunOptions& o) {
    if (::access(o.controller.c_str(), X_OK) != 0) throw Refused(o.controller + ": can't be run");
    check_descriptors(e);
    choose_ports(e);
    Driver driver(std::move(e), o);
    return driver.run();
}

}  // namespace coralhitch::scale

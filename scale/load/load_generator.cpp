#include "scale/load/load_generator.hpp"

#include <algorithm>
#include <cstdio>

namespace coralhitch::scale {
namespace {

constexpr double services_spread_s = 5;

std::string job_id(std::uint64_t number) {
    char id[24];
    std::snprintf(id, sizeof id, "j-%09llu", static_cast<unsigned long long>(number));
    return id;
}

const char* class_of(protocol::JobKind kind) {
    switch (kind) {
        case protocol::JobKind::service:
            return "service";
        case protocol::JobKind::gang:
            return "gang";
        default:
            return "array";
    }
}

double mean_tasks_of_arrivals(const LoadSettings& load) {
    double gang_tasks = 0;
    for (auto size : load.gang_sizes) gang_tasks += size;
    gang_tasks /= static_cast<double>(load.gang_sizes.size());
    return load.gang_share * gang_tasks + (1 - load.gang_share) * load.array_tasks;
}

}  // namespace

LoadGenerator::LoadGenerator(event_loop::EventLoop& loop, const Experiment& experiment,
                             std::mt19937_64& random, JobClient& client)
    : loop_(loop), experiment_(experiment), random_(random), client_(client) {}

void LoadGenerator::begin() {
    starts_per_s_ = experiment_.phases.front().starts_per_worker_s * experiment_.workers;
    submit_services(experiment_.total_service_tasks());
    schedule_arrival();
}

void LoadGenerator::begin_phase(const std::string& name) {
    phase_ = name;
    for (auto& phase : experiment_.phases)
        if (phase.name == name) starts_per_s_ = phase.starts_per_worker_s * experiment_.workers;
    // Draws a new waiting time, since the one drawn at the previous rate may be longer than this phase.
    loop_.cancel(arrival_timer_);
    schedule_arrival();
}

protocol::Job LoadGenerator::new_job(protocol::JobKind kind, std::uint32_t tasks) {
    auto& load = experiment_.load;
    protocol::Job job;
    job.id = job_id(next_job_++);
    job.team = "team-" + std::to_string(random_() % load.teams);
    job.kind = kind;
    job.tasks = tasks;
    job.request = {1, 0, 1};
    job.image = "img-" + std::to_string(random_() % load.images);
    job.image_gb = load.image_gb;
    job.spot = true;
    job.job_class = class_of(kind);
    return job;
}

// Submits the services one by one, spread over `services_spread_s`, or over more time if their submission
// would otherwise use more than half of the key-value store's rate of changes.
void LoadGenerator::submit_services(double tasks_left) {
    if (tasks_left < 1) return;
    auto tasks =
        std::min<std::uint32_t>(experiment_.load.service_tasks, static_cast<std::uint32_t>(tasks_left));
    GeneratedJob service;
    service.job = new_job(protocol::JobKind::service, tasks);
    service.job.priority = protocol::Priority::high;
    submit(std::move(service));
    double services = experiment_.total_service_tasks() / experiment_.load.service_tasks;
    double pause_s =
        std::max(services_spread_s / std::max(1.0, services), 2 / experiment_.kv_store.write_rps);
    loop_.after(pause_s, [this, left = tasks_left - tasks] { submit_services(left); });
}

void LoadGenerator::schedule_arrival() {
    double jobs_per_s = starts_per_s_ / mean_tasks_of_arrivals(experiment_.load);
    double wait_s = std::exponential_distribution<double>(jobs_per_s)(random_);
    arrival_timer_ = loop_.after(wait_s, [this] { submit_arrival(); });
}

void LoadGenerator::submit_arrival() {
    schedule_arrival();
    auto& load = experiment_.load;
    std::uniform_real_distribution<double> share(0, 1);
    bool is_gang = share(random_) < load.gang_share;
    GeneratedJob arrival;
    if (is_gang) {
        auto tasks = load.gang_sizes[random_() % load.gang_sizes.size()];
        arrival.job = new_job(protocol::JobKind::gang, tasks);
    } else {
        arrival.job = new_job(protocol::JobKind::array, load.array_tasks);
    }
    if (share(random_) < load.urgent_share) {
        arrival.job.priority = protocol::Priority::production;
        arrival.job.job_class = "urgent";
    } else if (!is_gang && load.tight_cpus > 0 && random_() % (load.teams + 1) == 0) {
        arrival.job.team = "team-tight";
        arrival.job.job_class = "tight";
    }
    arrival.spec.run_s = experiment_.turnover_run_s();
    arrival.job.estimated_run_s = arrival.spec.run_s;
    arrival.to_be_cancelled = share(random_) < load.cancel_share;
    submit(std::move(arrival));
}

void LoadGenerator::submit(GeneratedJob job) {
    job.spec.kind = job.job.kind;
    job.spec.tasks = job.job.tasks;
    job.spec.request = job.job.request;
    job.spec.image = job.job.image;
    job.spec.image_gb = job.job.image_gb;
    job.phase = phase_;
    job.job_class = job.job.job_class;
    client_.submit(std::move(job));
}

}  // namespace coralhitch::scale

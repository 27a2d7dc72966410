#include "api/job_reader.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <iterator>
#include <memory>
#include <utility>

#include "kv/keys.hpp"
#include "protocol/malformed.hpp"
#include "protocol/records.hpp"

namespace coralhitch::api {
namespace keys = kv::keys;

namespace {
// Maximum number of reads of the live jobs for one result. After each of them, the final records of the
// unresolved dependencies that it found are read.
constexpr int max_read_attempts = 4;
constexpr std::size_t cached_final_records_per_mb = 500;  // per MB of the memory limit in the settings

void log_unreadable_final(const std::string& id, const protocol::Malformed& error) {
    spdlog::error("component=api event=unreadable_final_record job={} error=\"{}\"", id, error.what());
}
}  // namespace

JobReader::JobReader(event_loop::Timers& timers, kv::KvClient& kv, const config::Settings& settings)
    : timers_(timers),
      kv_(kv),
      settings_(settings),
      live_jobs_(timers, kv, settings, [this](const std::string& id, const std::string& record) {
          try {
              cache_final_record(id, protocol::parse_final_record(record));
          } catch (const protocol::Malformed& error) {
              log_unreadable_final(id, error);
          }
      }) {}

// Evicts only the oldest entry when the cache is full. When the whole cache was cleared at once, each later
// query for one of its jobs caused another read.
void JobReader::cache_final_record(const std::string& id, const protocol::FinalRecord& record) {
    if (!final_records_.emplace(id, record).second) return;
    final_record_order_.push_back(id);
    if (static_cast<double>(final_record_order_.size()) <= settings_.memory_mb * cached_final_records_per_mb)
        return;
    final_records_.erase(final_record_order_.front());
    final_record_order_.pop_front();
}

const protocol::FinalRecord* JobReader::cached_final_record(const std::string& id) const {
    auto found = final_records_.find(id);
    return found == final_records_.end() ? nullptr : &found->second;
}

bool JobReader::is_known_accepted(const std::string& id) const {
    return cached_final_record(id) || live_jobs_.cached(id);
}

void JobReader::read(const std::string& id, const Callback& done, kv::RequestPriority priority) {
    read_attempt(id, done, priority, 0);
}

void JobReader::read_attempt(const std::string& id, const Callback& done, kv::RequestPriority priority,
                             int attempt) {
    if (auto* record = cached_final_record(id)) return done(*record);
    if (attempt >= max_read_attempts) return done(ReadFailed{});
    live_jobs_.read(id, [this, id, done, priority, attempt](const LiveJobs::ReadResult& result) {
        if (!result.ok) return done(ReadFailed{});
        if (!result.live) return read_final(id, done, priority);
        if (result.undecided) return resolve_later({id, done, priority, attempt});
        done(*result.live);
    });
}

// Collects the reads of one batch, which are answered one after the other in this turn of the event loop, so
// that their dependencies are searched together.
void JobReader::resolve_later(UndecidedRead read) {
    undecided_reads_.push_back(std::move(read));
    if (undecided_reads_.size() > 1) return;
    timers_.after(0, [this] { resolve_dependencies(std::exchange(undecided_reads_, {})); });
}

// Reads the final records of dependencies whose outcome decides whether the jobs are cancelled, and then
// reads the jobs again. Each final record is read once for all jobs that depend on it.
void JobReader::resolve_dependencies(const UndecidedReads& reads) {
    std::vector<std::string> ids;
    auto priority = kv::RequestPriority::background;
    for (auto& read : reads) {
        ids.push_back(read.id);
        priority = std::min(priority, read.priority);
    }
    auto dependencies = live_jobs_.unresolved_dependencies_of(ids);
    if (dependencies.empty()) return repeat_reads(reads);  // they were resolved since
    auto resolution = std::make_shared<Resolution>(Resolution{reads, dependencies.size()});
    for (auto& dependency : dependencies)
        read_final(
            dependency,
            [this, dependency, resolution](const JobReadResult& result) {
                if (auto* record = std::get_if<protocol::FinalRecord>(&result))
                    live_jobs_.apply_outcome(dependency, record->state);
                --resolution->outstanding_reads;
                repeat_decided_later(resolution);
            },
            priority);
}

// Outcomes that are known at once, or that arrive in the same turn of the event loop, share one search for
// the reads that they decide.
void JobReader::repeat_decided_later(const std::shared_ptr<Resolution>& resolution) {
    if (std::exchange(resolution->repeat_scheduled, true)) return;
    timers_.after(0, [this, resolution] {
        resolution->repeat_scheduled = false;
        repeat_decided(*resolution);
    });
}

// A read does not wait for outcomes that only other jobs depend on.
void JobReader::repeat_decided(Resolution& resolution) {
    if (resolution.outstanding_reads == 0) return repeat_reads(std::exchange(resolution.reads, {}));
    const auto undecided = live_jobs_.undecided_jobs();
    auto decided = std::stable_partition(resolution.reads.begin(), resolution.reads.end(),
                                         [&](auto& read) { return undecided.contains(read.id); });
    const UndecidedReads repeated(std::make_move_iterator(decided),
                                  std::make_move_iterator(resolution.reads.end()));
    resolution.reads.erase(decided, resolution.reads.end());
    repeat_reads(repeated);
}

void JobReader::repeat_reads(const UndecidedReads& reads) {
    for (auto& [id, done, priority, attempt] : reads) read_attempt(id, done, priority, attempt + 1);
}

// Keeps at most one read in flight for each job, because hundreds of jobs of a long pipeline may depend on
// how the same job ended. A final record never changes, so callbacks that joined while the request was in
// flight get it too. The result "no final record" goes only to callbacks that were added before the request
// was sent; the request is repeated for the others.
void JobReader::read_final(const std::string& id, Callback done, kv::RequestPriority priority) {
    if (auto* record = cached_final_record(id)) return done(*record);
    auto [read, first] = final_reads_.try_emplace(id);
    (first ? read->second.waiting : read->second.joined).push_back(std::move(done));
    if (first) send_final_read(id, priority);
}

void JobReader::send_final_read(const std::string& id, kv::RequestPriority priority) {
    kv_.get(keys::final(id), priority, [this, id, priority](const kv::GetResult& response) {
        auto result = parse_final(id, response);
        auto read = std::move(final_reads_.extract(id).mapped());
        if (!read.joined.empty() && std::holds_alternative<UnknownJob>(result)) {
            final_reads_[id].waiting = std::exchange(read.joined, {});
            send_final_read(id, priority);
        }
        for (auto* callbacks : {&read.waiting, &read.joined})
            for (auto& done : *callbacks) done(result);
    });
}

JobReadResult JobReader::parse_final(const std::string& id, const kv::GetResult& result) {
    if (!result.ok()) return ReadFailed{};
    if (!result.entry) return UnknownJob{};
    try {
        auto record = protocol::parse_final_record(result.entry->value);
        cache_final_record(id, record);
        return record;
    } catch (const protocol::Malformed& error) {
        log_unreadable_final(id, error);
        return ReadFailed{};
    }
}

}  // namespace coralhitch::api

// The leader's table of live jobs.
#pragma once
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "jobs/dependency_graph.hpp"
#include "protocol/protocol.hpp"

namespace coralhitch::jobs {

struct ActiveTask {
    std::string machine;
    std::uint64_t attempt = 0;
    std::size_t zone = 0;  // its index in the cluster state
};

struct JobEntry {
    std::shared_ptr<const protocol::Job> spec;
    std::uint64_t version = 0;
    std::uint32_t image = 0;  // the cluster state's number for it
    double submitted = 0;     // unix seconds
    // From when on it could start: its submission, or the moment when this leader saw the last job that it
    // awaits done. For one that was released under an earlier leader its submission.
    double ready = 0;
    // Cancelled by its user, or behind a job that was.
    bool cancelled = false;
    std::set<std::string> awaits;  // jobs it awaits that are not known to be done
    protocol::Priority priority =
        protocol::Priority::low;  // the highest of its own and of all jobs that need it
    double due = never;           // unix seconds; so that those that need it can be in time
    std::vector<bool> done;
    std::uint32_t done_count = 0, first_open = 0;
    std::map<std::uint32_t, ActiveTask> active;  // not proven gone
    int orphans = 0;
    std::set<std::uint32_t> unstored;  // tasks done whose progress is not stored yet
    std::map<std::string, std::uint64_t>
        blocks;  // progress blocks at the key-value store, and their versions
    bool writing = false;
    double retry_at = 0;        // storing is tried again then
    double over_since = never;  // steady time from which on its end can be stored; `never`: not yet
    double not_before = 0;      // pause after failures
    int failures = 0;           // since a task of it last completed
    std::set<std::string> failed_on;

    // A job submitted with a mistake fails wherever it runs. After some failures in a row it is tried one
    // task or gang at a time; before that, each pause ended with all its tasks on machines again.
    static constexpr int patience = 2;
    static constexpr double never = std::numeric_limits<double>::infinity();
    bool awaiting() const { return !awaits.empty(); }
    bool on_probation() const { return failures > patience; }
    bool all_done() const { return done_count == done.size(); }
    bool is_done(std::uint32_t i) const { return done[i]; }
    bool mark_done(std::uint32_t i);
    // Up to `most` tasks that neither are done nor may still be on a machine.
    std::vector<std::uint32_t> waiting(std::size_t most);
    std::size_t waiting_count() const { return done.size() - done_count - active_open(); }
    std::size_t active_open() const;
    // Whether any task neither is done nor may still be on a machine; hardly ever walks the tasks.
    bool any_waiting() const {
        auto open = done.size() - done_count;
        return open > active.size() || (done_count > 0 && open > active_open());
    }
};

// What is to be stored about jobs, in the order in which it is: ends that users wait for, the oldest first,
// then progress, then the ends of cancelled jobs, which change no answer.
struct Unstored {
    std::vector<std::string> done, progress, cancelled;
};

class JobTable {
  public:
    // Progress is stored in blocks, four tasks to a letter. Every version counts blocks of so many tasks by
    // the present limit of a value, and reads the number of the block in the key; to count otherwise under
    // the same keys would mark other tasks done. Where such a block passes what may be written now, the tasks
    // go in smaller blocks whose name says where they begin, which versions that don't know them leave alone.
    explicit JobTable(double value_kb);
    std::string block_of(const JobEntry& e, std::uint32_t task, std::size_t value_bytes) const;
    JobEntry* find(const std::string& id);
    // Whether what is stored of the job at this version is known, or older than what is known of it.
    bool knows(const std::string& id, std::uint64_t version) const;
    // Takes a stored record in; false if it is older than what is known, or of a job that is over.
    bool put(const std::string& id, std::uint64_t version, protocol::JobRecord record);
    // A block by its name, as it is in its key; throws std::invalid_argument for a name it can't read.
    void put_progress(const std::string& id, const std::string& block, const std::vector<bool>& bits,
                      std::uint64_t version);
    // The job is over, and stored so at this revision.
    void erase(const std::string& id, std::uint64_t revision);
    // How a job ended, as the key-value store says, and when, if that was just now. Once all that a job
    // awaits is done, it may start; what is behind a cancelled one, however far, is cancelled.
    void ended(const std::string& id, protocol::JobState state, std::optional<double> unix_now);
    // Its record says so since this version. Of a job that is not known yet it is kept until the record
    // comes: a leader may be told before it has read the jobs.
    void cancel(const std::string& id, std::uint64_t version);
    const DependencyGraph& awaits() const { return awaits_; }
    // Changes up to this revision were seen: older news of jobs that are over can't come any more, but with a
    // list that is being read. Until that is over, none is forgotten.
    void seen_revision(std::uint64_t revision) {
        if (listing_) return;
        std::erase_if(over_, [&](auto& o) { return o.second < revision; });
        std::erase_if(cancelled_, [&](auto& c) { return c.second <= revision; });
    }
    void listing(bool under_way) { listing_ = under_way; }
    std::string block_value(const JobEntry& e, const std::string& block, std::size_t value_bytes) const;
    // What can be stored now (steady seconds). `may_drop`: machines that an earlier leader knew hold no task
    // of a cancelled job that is not in the table.
    Unstored unstored(double now, bool may_drop);
    std::map<std::string, JobEntry>& all() { return jobs_; }

  private:
    struct Range {
        std::size_t first = 0, count = 0;
    };
    Range range_of(const std::string& block, std::size_t value_bytes) const;
    static std::size_t fine_block(std::size_t value_bytes);
    void link(const std::string& id, JobEntry& e);
    void hurry(const std::string& id);
    void cancel_behind(const std::string& id);

    std::size_t block_;
    std::map<std::string, JobEntry> jobs_;
    DependencyGraph awaits_;
    bool listing_ = false;
    std::unordered_map<std::string, std::uint64_t>
        cancelled_;                                        // not known yet, with the version that says so
    std::unordered_map<std::string, std::uint64_t> over_;  // with the revision at which they were over
};

}  // namespace coralhitch::jobs

// The leader's table of live jobs.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "wire/protocol.hpp"

namespace coralhitch::jobs {

struct Active {
    std::string machine;
    std::uint64_t attempt = 0;
    std::size_t zone = 0;  // its index in the picture
};

struct Entry {
    std::shared_ptr<const wire::Job> spec;
    std::uint64_t version = 0;
    std::uint32_t image = 0;  // the picture's number for it
    double submitted = 0;     // unix seconds
    bool cancelled = false;
    std::vector<bool> done;
    std::uint32_t done_count = 0, first_open = 0;
    std::map<std::uint32_t, Active> active;  // not proven gone
    int strays = 0;
    std::set<std::uint32_t> unstored;  // tasks done whose progress is not stored yet
    std::set<std::size_t> blocks;      // progress blocks that exist at the state service
    bool writing = false;
    double retry_at = 0;    // storing is tried again then
    double not_before = 0;  // pause after failures
    int failures = 0;       // since a task of it last completed
    std::set<std::string> failed_on;

    // A job submitted with a mistake fails wherever it runs. After some failures in a row it is tried one
    // task or gang at a time; before that, each pause ended with all its tasks on machines again.
    static constexpr int patience = 2;
    bool on_probation() const { return failures > patience; }
    bool all_done() const { return done_count == done.size(); }
    bool is_done(std::uint32_t i) const { return done[i]; }
    bool mark_done(std::uint32_t i);
    // Up to `most` tasks that neither are done nor may still be on a machine.
    std::vector<std::uint32_t> waiting(std::size_t most);
    std::size_t waiting_count() const { return done.size() - done_count - active_open(); }
    std::size_t active_open() const;
};

class Table {
  public:
    // Tasks per progress block: two bits of text a task at most, so any pattern stays far below the limit.
    explicit Table(double value_kb);
    std::size_t block_tasks() const { return block_; }
    Entry* find(const std::string& id);
    // Takes a stored record in; false if it is older than what is known, or of a job that is over.
    bool put(const std::string& id, std::uint64_t version, wire::JobRecord record);
    void put_progress(const std::string& id, std::size_t block, const std::vector<bool>& bits);
    void erase(const std::string& id, std::uint64_t revision);
    // Changes up to this revision were seen: older news of jobs that are over can't come any more.
    void seen_revision(std::uint64_t revision) {
        std::erase_if(over_, [&](auto& o) { return o.second < revision; });
    }
    std::string block_value(const Entry& e, std::size_t block) const;
    std::map<std::string, Entry>& all() { return jobs_; }

  private:
    std::size_t block_;
    std::map<std::string, Entry> jobs_;
    std::unordered_map<std::string, std::uint64_t> over_;  // with the revision at which they were over
};

}  // namespace coralhitch::jobs

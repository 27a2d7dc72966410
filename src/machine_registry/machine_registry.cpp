#include "machine_registry/machine_registry.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <charconv>
#include <limits>
#include <utility>

#include "kv/keys.hpp"
#include "protocol/malformed.hpp"
#include "protocol/records.hpp"

namespace coralhitch::machine_registry {
namespace keys = kv::keys;
using kv::RequestPriority;
using kv::TxnResult;
using protocol::MachineRecord;

namespace {
// Size limit of a page, as a ratio of the largest value. The ratio is below 1 because record sizes are
// estimates (`estimate_record_bytes`). Where values are small, fuller pages save changes, and a page that is
// rejected nevertheless is split.
constexpr double max_fill_ratio = 0.6, max_fill_ratio_of_small_values = 0.85;
constexpr double small_value_bytes = 4 * 1024;
constexpr std::size_t record_overhead_bytes = 32;
// Limit of the records in a transaction. A request body holds 64 KiB, of which conditions and keys take a
// part.
constexpr std::size_t max_txn_bytes = std::size_t{48} * 1024;
// Machines that come up together are stored together, since writes are this far apart.
constexpr double min_write_interval_heartbeat_periods = 1.0 / 20;
// Machines that were removed leave their pages with the page's next write, or after this interval.
constexpr double cleanup_interval_heartbeat_periods = 1;
constexpr double retry_delay_heartbeat_periods = 1.0 / 10;
constexpr double rejection_retry_delay_heartbeat_periods = 1.0 / 2;

std::optional<std::size_t> page_number(const std::string& key) {
    if (!key.starts_with(keys::machine_pages)) return std::nullopt;
    std::size_t number = 0;
    const auto* first = key.data() + keys::machine_pages.size();
    const auto* last = key.data() + key.size();
    auto [end, error] = std::from_chars(first, last, number);
    if (error != std::errc() || end != last) return std::nullopt;
    return number;
}

std::size_t estimate_record_bytes(const std::string& id, const MachineRecord& record) {
    return id.size() + record.addr.size() + record.type.size() + record.zone.size() + record_overhead_bytes;
}
}  // namespace

MachineRegistry::MachineRegistry(event_loop::Timers& timers, kv::KvClient& kv,
                                 const config::Settings& settings, Callbacks callbacks)
    : timers_(timers), kv_(kv), settings_(settings), callbacks_(std::move(callbacks)) {}

// --- Loading --------------------------------------------------------------------------------------------

std::vector<StoredMachine> MachineRegistry::load(const kv::ListResult& listed) {
    std::map<std::string, MachineRecord> all;
    for (const auto& entry : listed.entries)
        if (auto number = page_number(entry.key)) load_page(*number, entry, all);
    for (const auto& entry : listed.entries)
        if (!page_number(entry.key)) load_single_record(entry, all);
    for (auto& [number, page] : pages_)
        if (page.is_evacuating) page.has_new_records = page.has_removed_machines = false;

    std::vector<StoredMachine> machines;
    machines.reserve(all.size());
    for (auto& [id, record] : all) machines.push_back({id, std::move(record)});
    return machines;
}

void MachineRegistry::load_page(std::size_t number, const protocol::Entry& entry,
                                std::map<std::string, MachineRecord>& all) {
    auto& page = pages_[number];
    page.version = entry.version;
    page.is_evacuating = entry.value.size() > kv_.limits().value_bytes();
    try {
        for (auto& [id, record] : protocol::parse_machine_page(entry.value))
            load_record(number, id, record, all);
    } catch (const protocol::Malformed& error) {
        // A later version may have written the page. It may hold machines, so it is left unchanged: it counts
        // as full, and no machine is added to it.
        spdlog::error("component=machine_registry event=page_malformed key={} error=\"{}\"", entry.key,
                      error.what());
        page.is_evacuating = false;
        page.bytes = std::numeric_limits<std::size_t>::max() / 2;
    }
}

// Loads a record of the layout with one key for each machine. Its key is deleted once the record is in a
// page.
void MachineRegistry::load_single_record(const protocol::Entry& entry,
                                         std::map<std::string, MachineRecord>& all) {
    legacy_keys_.insert(entry.key);
    try {
        auto id = entry.key.substr(keys::machines.size());
        auto record = protocol::parse_machine_record(entry.value);
        if (page_of_.contains(id)) return;
        auto number = page_with_space(id, estimate_record_bytes(id, record));
        load_record(number, id, record, all);
        pages_[number].has_new_records = true;
    } catch (const protocol::Malformed& error) {
        spdlog::error("component=machine_registry event=record_malformed key={} error=\"{}\"", entry.key,
                      error.what());
    }
}

void MachineRegistry::load_record(std::size_t number, const std::string& id, const MachineRecord& record,
                                  std::map<std::string, MachineRecord>& all) {
    auto& page = pages_[number];
    page.machine_ids.insert(id);
    page.bytes += estimate_record_bytes(id, record);
    auto [known, is_new] = all.emplace(id, record);
    auto home = page_of_.emplace(id, number).first;
    if (is_new) return;
    // The machine is in two pages, because an earlier leader did not complete its move, or because an older
    // version put it into a second page. It stays in the page that was read first, unless that page is
    // evacuating, and is removed from the other page, which is written later.
    if (pages_[home->second].is_evacuating) home->second = number;
    if (known->second.marked_for_deletion != record.marked_for_deletion)
        known->second.marked_for_deletion = pages_[home->second].has_new_records = true;
    if (home->second == number || page.is_evacuating) return;
    page.machine_ids.erase(id);
    page.has_removed_machines = true;
}

// --- Pages and their sizes ------------------------------------------------------------------------------

std::size_t MachineRegistry::max_page_bytes() const {
    auto value_bytes = static_cast<double>(kv_.limits().value_bytes());
    bool is_small = value_bytes <= small_value_bytes;
    return static_cast<std::size_t>(value_bytes *
                                    (is_small ? max_fill_ratio_of_small_values : max_fill_ratio));
}

// Returns the number of the machine's page, or of the first page with enough space for it, which may be new.
std::size_t MachineRegistry::page_with_space(const std::string& id, std::size_t bytes) const {
    if (auto it = page_of_.find(id); it != page_of_.end()) return it->second;
    for (std::size_t number = 0;; ++number) {
        auto it = pages_.find(number);
        if (it == pages_.end()) return number;
        if (!it->second.is_evacuating && it->second.bytes + bytes <= max_page_bytes()) return number;
    }
}

// Splits pages that exceed the size limit. To be called after a rejection, which may have lowered the limit.
void MachineRegistry::shrink_pages() {
    auto is_too_large = [this](const Page& page) {
        return !page.is_evacuating && page.machine_ids.size() > 1 && page.bytes > max_page_bytes();
    };
    for (auto& [number, page] : pages_)
        if (page.version > 0 && is_too_large(page)) {
            page.is_evacuating = true;
            page.has_new_records = page.has_removed_machines = false;
        }
    for (auto& [number, page] : pages_) {
        if (page.version > 0 || !is_too_large(page)) continue;
        move_to_other_pages(page);
        return shrink_pages();  // the move may have added pages, which may be too large as well
    }
}

// Moves the machines of a page that is not stored to other pages. Such a page needs no evacuation.
void MachineRegistry::move_to_other_pages(Page& page) {
    auto ids = std::exchange(page.machine_ids, {});
    page.bytes = 0;
    page.has_new_records = false;
    page.has_removed_machines = true;
    for (const auto& id : ids) page_of_.erase(id);
    for (const auto& id : ids) put(id);
}

// Puts the machines of evacuating pages into other pages. They are in both pages until the new one is
// confirmed.
void MachineRegistry::evacuate_pages() {
    for (auto& [number, page] : pages_) {
        if (!page.is_evacuating) continue;
        std::vector<std::string> ids;
        for (const auto& id : page.machine_ids)
            if (auto it = page_of_.find(id); it != page_of_.end() && it->second == number) ids.push_back(id);
        for (const auto& id : ids) {
            page_of_.erase(id);
            if (!callbacks_.current_record(id)) continue;
            unconfirmed_moves_.insert(id);
            put(id);
        }
        if (!ids.empty()) return evacuate_pages();  // `put` may have added pages
    }
}

bool MachineRegistry::is_evacuated(const Page& page) const {
    return std::none_of(page.machine_ids.begin(), page.machine_ids.end(),
                        [this](const auto& id) { return unconfirmed_moves_.contains(id); });
}

void MachineRegistry::put(const std::string& id) {
    auto record = callbacks_.current_record(id);
    if (!record) return;
    auto bytes = estimate_record_bytes(id, *record);
    auto number = page_with_space(id, bytes);
    auto& page = pages_[number];
    if (page.machine_ids.insert(id).second) page.bytes += bytes;
    page.has_new_records = true;
    page_of_[id] = number;
    schedule_flush(0);
}

void MachineRegistry::remove(const std::string& id) {
    auto it = page_of_.find(id);
    if (it == page_of_.end()) return;
    unconfirmed_moves_.erase(id);
    auto& page = pages_[it->second];
    page.machine_ids.erase(id);
    // The page's size is estimated anew, from its records, when the page is written.
    page.bytes -= std::min(page.bytes, record_overhead_bytes + id.size());
    page.has_removed_machines = true;
    page_of_.erase(it);
}

// --- Writing --------------------------------------------------------------------------------------------

void MachineRegistry::schedule_flush(double delay_s) {
    if (is_flush_scheduled_) return;
    is_flush_scheduled_ = true;
    timers_.after(delay_s, guarded_([this] {
                      is_flush_scheduled_ = false;
                      flush();
                  }));
}

bool MachineRegistry::is_deletable(const Page& page) const {
    return page.is_evacuating && page.version > 0 && is_evacuated(page);
}

bool MachineRegistry::has_due_writes() const {
    if (!legacy_keys_.empty()) return true;
    bool is_cleanup_due =
        !last_cleanup_at_ || timers_.now() - *last_cleanup_at_ >
                                 settings_.heartbeat_interval_s * cleanup_interval_heartbeat_periods;
    return std::any_of(pages_.begin(), pages_.end(), [&](const auto& entry) {
        const Page& page = entry.second;
        return page.has_new_records || (is_cleanup_due && page.has_removed_machines) || is_deletable(page);
    });
}

void MachineRegistry::flush() {
    if (is_request_pending_) return;
    evacuate_pages();
    if (!has_due_writes()) return;
    if (last_write_at_) {
        double wait_s = *last_write_at_ +
                        settings_.heartbeat_interval_s * min_write_interval_heartbeat_periods - timers_.now();
        if (wait_s > 0) return schedule_flush(wait_s);
    }
    for (const auto& [number, page] : pages_)
        if (page.is_version_unknown) return read_version(number);
    write_due_pages();
}

// Reads the current version of a page's key. Called if the answer to a write was lost, or if the condition of
// a write failed, so that the version is unknown.
void MachineRegistry::read_version(std::size_t number) {
    is_request_pending_ = true;
    kv_.get(keys::machine_page(number), RequestPriority::write,
            guarded_([this, number](kv::GetResult result) {
                is_request_pending_ = false;
                if (!result.ok())
                    return schedule_flush(settings_.heartbeat_interval_s * retry_delay_heartbeat_periods);
                auto& page = pages_[number];
                page.version = result.entry ? result.entry->version : 0;
                page.is_version_unknown = false;
                flush();
            }));
}

// Returns the pages that are due, those with new records first, then evacuated pages and those from which
// machines were removed.
std::vector<std::size_t> MachineRegistry::pages_to_write() const {
    std::vector<std::size_t> numbers;
    for (const auto& [number, page] : pages_)
        if (!page.is_evacuating && page.has_new_records) numbers.push_back(number);
    for (const auto& [number, page] : pages_) {
        bool is_due =
            page.is_evacuating ? is_deletable(page) : !page.has_new_records && page.has_removed_machines;
        if (is_due) numbers.push_back(number);
    }
    return numbers;
}

void MachineRegistry::write_due_pages() {
    auto transaction = callbacks_.begin_transaction();
    if (!transaction) return;  // the next flush tries again
    Batch batch;
    batch.transaction = std::move(*transaction);
    batch.is_complete = true;
    for (auto number : pages_to_write()) {
        if (batch.pages.size() >= kv_.limits().txn_ops() || batch.bytes + max_page_bytes() > max_txn_bytes) {
            batch.is_complete = false;
            break;
        }
        add_page(batch, number);
    }
    // A legacy key may be deleted in the transaction that stores its record in a page, but not earlier. So
    // the deletions are added only if the batch has all pages that are due.
    if (batch.is_complete) add_deletions_of_legacy_keys(batch.transaction);
    last_write_at_ = timers_.now();
    if (batch.is_complete) last_cleanup_at_ = *last_write_at_;
    if (batch.transaction.changes.empty()) return;
    is_request_pending_ = true;
    auto priority = batch.is_urgent ? RequestPriority::write : RequestPriority::background;
    kv_.txn(std::move(batch.transaction), priority,
            guarded_([this, pages = std::move(batch.pages), machines = std::move(batch.machines)](
                         const TxnResult& result) { handle_write_result(pages, machines, result); }));
}

void MachineRegistry::add_page(Batch& batch, std::size_t number) {
    auto& page = pages_[number];
    // The machines of an evacuated page are in other pages or were removed, so the page is written as empty.
    if (std::exchange(page.is_evacuating, false)) page.machine_ids.clear();
    protocol::MachinePage records;
    page.bytes = 0;
    for (const auto& id : page.machine_ids)
        if (auto record = callbacks_.current_record(id)) {
            page.bytes += estimate_record_bytes(id, *record);
            batch.machines.push_back({id, *record});
            records.push_back({id, std::move(*record)});
        }
    batch.bytes += page.bytes;
    batch.is_urgent = batch.is_urgent || page.has_new_records;
    page.has_new_records = page.has_removed_machines = false;

    auto key = keys::machine_page(number);
    batch.transaction.conditions.push_back({key, page.version});
    if (!records.empty())
        batch.transaction.changes.push_back({key, protocol::stored(records), 0});
    else if (page.version > 0)
        batch.transaction.changes.push_back({key, std::nullopt, 0});
    batch.pages.push_back({number, records.empty()});
}

void MachineRegistry::add_deletions_of_legacy_keys(protocol::Txn& transaction) {
    auto max_changes = kv_.limits().txn_ops();
    for (auto it = legacy_keys_.begin();
         it != legacy_keys_.end() && transaction.changes.size() < max_changes;) {
        transaction.changes.push_back({*it, std::nullopt, 0});
        it = legacy_keys_.erase(it);
    }
}

void MachineRegistry::handle_write_result(const std::vector<PageWrite>& pages,
                                          const std::vector<StoredMachine>& machines,
                                          const TxnResult& result) {
    is_request_pending_ = false;
    if (result.status == TxnResult::Status::committed) {
        for (const auto& machine : machines) unconfirmed_moves_.erase(machine.id);
        for (const auto& write : pages)
            pages_[write.number].version = write.is_deletion ? 0 : result.revision;
        callbacks_.on_stored(machines);
        return flush();
    }
    for (const auto& write : pages) {
        auto& page = pages_[write.number];
        page.has_new_records = true;
        page.is_version_unknown = !result.not_executed();
    }
    bool is_rejected = result.status == TxnResult::Status::rejected;
    if (is_rejected) shrink_pages();
    schedule_flush(settings_.heartbeat_interval_s *
                   (is_rejected ? rejection_retry_delay_heartbeat_periods : retry_delay_heartbeat_periods));
}

}  // namespace coralhitch::machine_registry

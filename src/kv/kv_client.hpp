// The key-value store as the controllers use it, within this controller's share of the request budget.
#pragma once
#include <array>
#include <deque>
#include <map>
#include <memory>

#include "config/settings.hpp"
#include "event_loop/timers.hpp"
#include "event_loop/token_bucket.hpp"
#include "http/message.hpp"
#include "protocol/protocol.hpp"

namespace coralhitch::kv {

// Who goes first when the budget is short. Lease calls never wait; then come cancellations (user),
// acceptances, the leader's own writes, and what is only read.
enum class RequestPriority { lease, user, accept, write, read, background };
inline constexpr std::size_t ranks = 6;

// How long users wait for an answer (seconds): to a submission or cancellation, and to a question.
inline constexpr double submission_timeout_s = 5, read_timeout_s = 2;

// What became of the calls of one rank in this controller's own queue.
struct QueueCounts {
    double sent = 0, refused = 0;             // refused: never sent, nobody would have waited for the answer
    double waited_s = 0, longest_wait_s = 0;  // of those sent: in all, and the longest
};

struct GetResult {
    bool ok = false;  // false: not answered; nothing is known
    std::optional<protocol::Entry> entry;
};
struct ListResult {
    bool ok = false;
    std::vector<protocol::Entry> entries;
    std::uint64_t revision = 0;  // of the first page: changes after it are found by watching from here
};
struct WatchResult {
    enum class Status { ok, too_old, failed } status = Status::failed;
    protocol::Events events;
};
struct TxnResult {
    enum class Status {
        committed,
        conflict,  // a condition failed; nothing was changed
        refused,   // not executed
        rejected,  // never executed as it is: a value or the transaction is too large
        unknown    // may have been executed, or may still be: read, then decide
    } status = Status::unknown;
    std::uint64_t revision = 0;
    std::vector<std::string> failed;
    bool failed_on(const std::string& key) const;
    bool executed_never() const { return status == Status::refused || status == Status::rejected; }
};

// How large a transaction and a value may be: what the settings promise, and less once the key-value store
// has refused that. A refusal does not say what was too large, so the next transactions are split first; if
// one with hardly any changes is refused still, its largest value was too large.
class Limits {
  public:
    explicit Limits(const config::Settings& settings);
    std::size_t txn_ops() const { return txn_ops_; }
    std::size_t value_bytes() const { return value_bytes_; }
    void refused(const protocol::Txn& t);
    static constexpr std::size_t least_ops = 2, least_bytes = 256;

  private:
    std::size_t promised_ops_, txn_ops_, value_bytes_;
};
struct LeaseResult {
    enum class Status { ok, gone, failed } status = Status::failed;
    std::uint64_t id = 0;
    double sent = 0;  // steady time when the request went out
};

class KvClient {
  public:
    KvClient(event_loop::Timers& timers, http::Requester& http, const config::Settings& settings);

    void get(const std::string& key, RequestPriority rank, std::function<void(GetResult)> done);
    void list(const std::string& prefix, RequestPriority rank, std::function<void(ListResult)> done);
    void txn(protocol::Txn t, RequestPriority rank, std::function<void(TxnResult)> done);
    // Changes since a revision; waits for one, unless `wait_s` is 0. For an answer at once the caller has
    // `patience_s`, or as long as a user who asks.
    void watch(const std::string& prefix, std::uint64_t since, double wait_s,
               std::function<void(WatchResult)> done, std::optional<double> patience_s = {});
    void create_lease(double ttl_s, std::function<void(LeaseResult)> done);
    void renew_lease(std::uint64_t id, double timeout_s, std::function<void(LeaseResult)> done);
    void end_lease(std::uint64_t id, std::function<void(bool)> done);

    // The leader writes most: it gets half of the requests and three fifths of the changes, the others share
    // the rest.
    void set_leading(bool leading);
    // Whether less than half of the changes allowed at once are left: a change that would only fail on a
    // condition is then worth a read before.
    bool short_of_changes();
    const QueueCounts& queue_counts(RequestPriority rank) const {
        return counts_[static_cast<std::size_t>(rank)];
    }
    const Limits& limits() const { return limits_; }
    // Changes sent so far, by what they are for (the first part of the key), and how many calls were refused
    // with 400.
    const std::map<std::string, double>& changes() const { return changes_; }
    std::uint64_t rejections() const { return rejections_; }
    bool answering() const { return answering_; }
    double last_answer() const { return last_answer_; }

  private:
    struct Call {
        http::Request request;
        double timeout = 0, deadline = 0, writes = 0;
        http::Result result;
        double queued = 0;  // steady time
    };
    double patience(RequestPriority rank) const;
    bool hopeless(RequestPriority rank, const Call& call);
    void refuse(RequestPriority rank, http::Result result);
    void submit(RequestPriority rank, Call call);
    void send(Call call);
    void pump();
    void list_page(std::string prefix, RequestPriority rank, std::shared_ptr<ListResult> acc,
                   std::string after, std::function<void(ListResult)> done);
    double timeout() const;

    event_loop::Timers& timers_;
    http::Requester& http_;
    const config::Settings& settings_;
    event_loop::TokenBucket requests_, writes_;
    event_loop::TokenBucket looks_;  // what single reads for users' questions may take of the requests
    std::array<std::deque<Call>, ranks> queues_;
    std::array<QueueCounts, ranks> counts_;
    double changes_per_s_ = 0;
    Limits limits_;
    std::map<std::string, double> changes_;
    std::uint64_t rejections_ = 0;
    bool pump_armed_ = false;
    bool answering_ = false;
    double last_answer_ = -1;
};

}  // namespace coralhitch::kv

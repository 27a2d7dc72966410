// The key-value store's recent changes, and the requests that wait for changes.
#pragma once
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <string>
#include <vector>

#include "http/message.hpp"
#include "protocol/kv_api.hpp"

namespace coralhitch::scale {

// A request that waits for changes of keys with a prefix.
struct Watch {
    std::string prefix;       // keys to watch begin with this
    std::uint64_t since = 0;  // only events with a later version count
    double deadline = 0;      // time at which the watch is answered even without events
    http::Reply reply;
};

// Matches recent events with open watches.
class WatchList {
  public:
    using Answer = std::function<void(const http::Reply& reply, http::Response response)>;

    // `answer` sends an answer to a watch.
    explicit WatchList(Answer answer) : answer_(std::move(answer)) {}

    // Adds an event. Events must be added in the order of their versions. The oldest are discarded once there
    // are more than the protocol's limit.
    void append(protocol::Event event);
    // Returns true if events after this version may have been discarded.
    [[nodiscard]] bool has_discarded_since(std::uint64_t version) const;
    // Adds a watch, which answer_due() answers.
    void open(Watch watch) { watches_.push_back(std::move(watch)); }
    // Answers and removes the watches that have events or whose deadline has passed.
    void answer_due(double now, std::uint64_t revision);

  private:
    [[nodiscard]] std::vector<const protocol::Event*> events_for(const Watch& watch) const;

    Answer answer_;
    std::deque<protocol::Event> events_;
    std::list<Watch> watches_;
};

}  // namespace coralhitch::scale

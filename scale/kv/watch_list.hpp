// The key-value store's recent changes, and the requests that wait for some.
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

struct Watch {
    std::string prefix;  // of the keys
    std::uint64_t since = 0;
    double deadline = 0;
    http::Reply reply;
};

class WatchList {
  public:
    using Answer = std::function<void(const http::Reply& reply, http::Response response)>;

    // `answer` sends an answer to a watch.
    explicit WatchList(Answer answer) : answer_(std::move(answer)) {}

    // Events come in the order of their versions. Old ones are forgotten.
    void append(protocol::Event event);
    // Whether events after this version may have been forgotten.
    [[nodiscard]] bool has_forgotten_since(std::uint64_t version) const;
    void open(Watch watch) { watches_.push_back(std::move(watch)); }
    // Answers the watches that have events or whose time is over.
    void answer_due(double now, std::uint64_t revision);

  private:
    [[nodiscard]] std::vector<const protocol::Event*> events_for(const Watch& watch) const;

    Answer answer_;
    std::deque<protocol::Event> events_;
    std::list<Watch> watches_;
};

}  // namespace coralhitch::scale

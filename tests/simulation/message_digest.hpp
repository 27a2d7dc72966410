// A hash over all messages of a simulated run: two runs with equal digests sent the same bytes between the
// same hosts at the same simulated times. Equal digests before and after a refactoring show that it did not
// change the behaviour.
#pragma once
#include <xxhash.h>

#include <cstdint>
#include <memory>
#include <string_view>

namespace coralhitch::simulation {

// An incremental XXH3 hash over messages, in the order in which they are added.
class MessageDigest {
  public:
    MessageDigest() { XXH3_64bits_reset(state_.get()); }

    // Adds a request (`what` is its method and target) or a response (`what` is its status).
    void add(double time, std::string_view sender, std::string_view receiver, std::string_view what,
             std::string_view body) {
        XXH3_64bits_update(state_.get(), &time, sizeof time);
        for (auto field : {sender, receiver, what, body}) add_field(field);
    }
    std::uint64_t value() const { return XXH3_64bits_digest(state_.get()); }

  private:
    // Hashes the length too, so that moving bytes from one field to the next changes the digest.
    void add_field(std::string_view field) {
        std::uint64_t size = field.size();
        XXH3_64bits_update(state_.get(), &size, sizeof size);
        XXH3_64bits_update(state_.get(), field.data(), field.size());
    }

    struct FreeState {
        void operator()(XXH3_state_t* state) const { XXH3_freeState(state); }
    };
    std::unique_ptr<XXH3_state_t, FreeState> state_{XXH3_createState()};
};

}  // namespace coralhitch::simulation

// Integer types that cannot be mixed up: comparing a fencing token with a sequence number, or passing one for
// the other, does not compile.
#pragma once
#include <fmt/core.h>

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>

namespace coralhitch::protocol {

// A 64-bit unsigned integer with a type of its own for each `Tag`, which need not be defined. On the wire, in
// stored records and in logs it is written as a plain integer.
template <class Tag>
class StrongNumber {
  public:
    constexpr StrongNumber() = default;
    constexpr explicit StrongNumber(std::uint64_t value) : value_(value) {}

    // Returns zero, which stands for "never" or "not known" wherever these numbers are sent or stored.
    static constexpr StrongNumber none() { return {}; }
    [[nodiscard]] constexpr bool is_set() const { return value_ != 0; }

    // Returns the plain integer, for code that reads or writes bytes and text.
    [[nodiscard]] constexpr std::uint64_t value() const { return value_; }
    [[nodiscard]] constexpr StrongNumber next() const { return StrongNumber{value_ + 1}; }

    constexpr auto operator<=>(const StrongNumber&) const = default;  // NOLINT(modernize-use-nullptr)

    friend std::ostream& operator<<(std::ostream& out, const StrongNumber& number) {
        return out << number.value_;
    }

    // Called by msgpack, which looks for members of these names. They are templates so that this header does
    // not include msgpack.
    template <class Packer>
    void msgpack_pack(Packer& packer) const {
        packer.pack(value_);
    }
    template <class Source>
    void msgpack_unpack(Source source) {
        value_ = source;
    }

  private:
    std::uint64_t value_ = 0;
};

}  // namespace coralhitch::protocol

template <class Tag>
struct fmt::formatter<coralhitch::protocol::StrongNumber<Tag>> : fmt::formatter<std::uint64_t> {
    template <class Context>
    auto format(const coralhitch::protocol::StrongNumber<Tag>& number, Context& context) const {
        return fmt::formatter<std::uint64_t>::format(number.value(), context);
    }
};

template <class Tag>
struct std::hash<coralhitch::protocol::StrongNumber<Tag>> {
    std::size_t operator()(const coralhitch::protocol::StrongNumber<Tag>& number) const noexcept {
        return std::hash<std::uint64_t>{}(number.value());
    }
};

// The exception that every parser of this package throws.
#pragma once
#include <stdexcept>
#include <string>

namespace coralhitch::protocol {

// Error for a message or stored value that does not follow the protocol. what() names the field, if it is
// about one, and what is wrong.
struct Malformed : std::runtime_error {
    using std::runtime_error::runtime_error;
};

}  // namespace coralhitch::protocol

// The error of every parser in this package.
#pragma once
#include <stdexcept>
#include <string>

namespace coralhitch::protocol {

// A message or stored value that does not follow the protocol; what() names the field and what is wrong with
// it.
struct Malformed : std::runtime_error {
    using std::runtime_error::runtime_error;
};

}  // namespace coralhitch::protocol

#include "kv/results.hpp"

#include <algorithm>

namespace coralhitch::kv {

bool TxnResult::failed_on(const std::string& key) const {
    return std::find(failed.begin(), failed.end(), key) != failed.end();
}

}  // namespace coralhitch::kv

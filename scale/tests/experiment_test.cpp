#include "scale/config/experiment.hpp"

#include <gtest/gtest.h>

#include <set>

#include "scale/config/experiment_file.hpp"
#include "smallest_experiment.hpp"

namespace coralhitch::scale {
namespace {

TEST(Experiment, AddressesOfAllHostsDiffer) {
    auto e = parse_experiment(smallest_experiment, "f", {{"port_base", "20000"}});
    std::set<std::string> all;
    std::size_t n = 0;
    for (std::uint64_t k = 0; k < 20000; ++k, ++n) all.insert(e.worker_addr(k));
    for (std::uint32_t k = 0; k < 17; ++k, n += 2)
        all.insert(e.controller_addr(k)), all.insert(e.peer_addr(k));
    for (std::uint32_t k = 0; k < 32; ++k, ++n) all.insert(e.worker_control_addr(k));
    for (auto& a :
         {e.kv_store_addr(), e.cloud_addr(), e.load_control_addr(), e.infrastructure_control_addr()})
        all.insert(a), ++n;
    EXPECT_EQ(all.size(), n);
}

}  // namespace
}  // namespace coralhitch::scale

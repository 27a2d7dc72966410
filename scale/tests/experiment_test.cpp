#include "scale/config/experiment.hpp"

#include <gtest/gtest.h>

#include <set>

#include "scale/config/experiment_file.hpp"
#include "smallest_experiment.hpp"

namespace coralhitch::scale {
namespace {

TEST(Experiment, AddressesOfAllHostsDiffer) {
    auto experiment = parse_experiment(smallest_experiment, "f", {{"port_base", "20000"}});
    std::set<std::string> all;
    std::size_t count = 0;
    for (std::uint64_t number = 0; number < 20000; ++number, ++count)
        all.insert(experiment.worker_addr(number));
    for (std::uint32_t index = 0; index < 17; ++index, count += 2)
        all.insert(experiment.controller_addr(index)), all.insert(experiment.peer_addr(index));
    for (std::uint32_t process = 0; process < 32; ++process, ++count)
        all.insert(experiment.worker_control_addr(process));
    for (auto& address : {experiment.kv_store_addr(), experiment.cloud_addr(), experiment.load_control_addr(),
                          experiment.infrastructure_control_addr()})
        all.insert(address), ++count;
    EXPECT_EQ(all.size(), count);
}

}  // namespace
}  // namespace coralhitch::scale

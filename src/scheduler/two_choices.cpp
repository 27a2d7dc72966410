#include "scheduler/two_choices.hpp"

#include <algorithm>
#include <vector>

namespace coralhitch::scheduler {

std::optional<std::size_t> draw(std::size_t machines, const std::function<bool(std::size_t)>& is_suitable,
                                const std::function<double(std::size_t)>& load, const config::Operator& op,
                                std::mt19937_64& random, PlanCounts& counts) {
    if (machines == 0) return std::nullopt;
    std::uniform_int_distribution<std::size_t> pick(0, machines - 1);
    std::vector<std::size_t> found;
    for (std::uint32_t round = 0; round < op.draw_rounds && found.size() < op.draws; ++round) {
        if (round > 0) ++counts.redraws;
        for (std::uint32_t drawn = 0; drawn < op.draws && found.size() < op.draws; ++drawn) {
            auto machine = pick(random);
            ++counts.draws;
            bool is_new = std::find(found.begin(), found.end(), machine) == found.end();
            if (is_new && is_suitable(machine)) found.push_back(machine);
        }
    }
    if (found.empty()) {
        ++counts.fallbacks;
        for (std::size_t machine = 0; machine < machines; ++machine)
            if (is_suitable(machine)) return machine;
        return std::nullopt;
    }
    return *std::min_element(found.begin(), found.end(),
                             [&](auto machine, auto other) { return load(machine) < load(other); });
}

}  // namespace coralhitch::scheduler

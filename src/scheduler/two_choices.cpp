#include "scheduler/two_choices.hpp"

#include <algorithm>
#include <vector>

namespace coralhitch::scheduler {

std::optional<std::size_t> draw(std::size_t n, const std::function<bool(std::size_t)>& has_room,
                                const std::function<double(std::size_t)>& load, const config::Operator& op,
                                std::mt19937_64& random, Counts& counts) {
    if (n == 0) return std::nullopt;
    std::uniform_int_distribution<std::size_t> pick(0, n - 1);
    std::vector<std::size_t> found;
    for (std::uint32_t round = 0; round < op.draw_rounds && found.size() < op.draws; ++round) {
        if (round > 0) ++counts.redraws;
        for (std::uint32_t d = 0; d < op.draws && found.size() < op.draws; ++d) {
            auto m = pick(random);
            ++counts.draws;
            if (std::find(found.begin(), found.end(), m) == found.end() && has_room(m)) found.push_back(m);
        }
    }
    if (found.empty()) {
        ++counts.fallbacks;
        for (std::size_t m = 0; m < n; ++m)
            if (has_room(m)) return m;
        return std::nullopt;
    }
    return *std::min_element(found.begin(), found.end(), [&](auto a, auto b) { return load(a) < load(b); });
}

}  // namespace coralhitch::scheduler

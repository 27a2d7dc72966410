#include "election/leadership_history.hpp"

#include <algorithm>

namespace coralhitch::election {
namespace {
constexpr std::size_t max_leaderships = 16;
}  // namespace

bool LeadershipHistory::ends_with(protocol::LeaderVersion version) const {
    return !leaderships.empty() && leaderships.back().version == version;
}

void LeadershipHistory::append(ObservedLeadership leadership) {
    if (ends_with(leadership.version)) return;
    leaderships.push_back(leadership);
    if (leaderships.size() > max_leaderships) leaderships.erase(leaderships.begin());
    known_until_revision = leadership.version.value();  // the revision of its claim
}

void LeadershipHistory::append_after_gap(ObservedLeadership leadership) {
    if (!ends_with(leadership.version)) leaderships.clear();
    append(leadership);
}

void LeadershipHistory::extend_to(std::uint64_t revision) {
    known_until_revision = std::max(known_until_revision, revision);
}

}  // namespace coralhitch::election

#include "replication/checks.hpp"

#include <algorithm>
#include <array>

namespace coralhitch::replication {
namespace {

bool stored(const ReplicaEvidence& e) {
    return e.record && e.record->version < e.version;
}
// The leader sent no start that this process had not taken in before. Another process of this controller does
// not count: it is gone, with all that it knew.
const protocol::StandbyRecord::Member* named(const ReplicaEvidence& e) {
    for (auto& m : e.record->members)
        if (m.label == e.label && m.incarnation == e.incarnation) return &m;
    return nullptr;
}
bool member(const ReplicaEvidence& e) {
    return named(e) != nullptr;
}
// A leader whose own copy was proof lets the others go on from theirs, begun under the same or an earlier
// leadership. One that was wiped and begun anew since, by a leader that came to nothing, is not the one that
// was meant.
bool same_copy(const ReplicaEvidence& e) {
    return e.copy && e.copy->begun != 0 && e.copy->begun == named(e)->begun;
}
// A leader tells nothing before its record is stored, so a copy is never newer than the record, but for what
// a version before told.
bool not_newer(const ReplicaEvidence& e) {
    return e.copy->version <= e.record->version;
}
bool history_known(const ReplicaEvidence& e) {
    auto& l = e.chain.leaderships;
    return e.history &&
           std::any_of(l.begin(), l.end(), [&](auto& k) { return k.version == e.record->version; });
}
// Leaders in between that keep a record would have replaced this one before their first start. Any other may
// have started what it liked.
bool nobody_between(const ReplicaEvidence& e) {
    auto keeps = [&](auto& l) { return l.version <= e.record->version || l.keeps_record; };
    return std::all_of(e.chain.leaderships.begin(), e.chain.leaderships.end(), keeps) &&
           std::all_of(e.since.begin(), e.since.end(), keeps);
}

constexpr std::array<Check, 6> all{{
    {"no record is stored", stored},
    {"the record does not name this process", member},
    {"the copy is not the one that the record means", same_copy},
    {"the copy was told by a leader later than the record", not_newer},
    {"there may have been leaders that were not seen", history_known},
    {"a leader in between kept no record", nobody_between},
}};

}  // namespace

std::span<const Check> checks() {
    return all;
}
std::optional<std::string> judge(const ReplicaEvidence& e) {
    for (auto& c : all)
        if (!c.holds(e)) return c.name;
    return std::nullopt;
}

}  // namespace coralhitch::replication

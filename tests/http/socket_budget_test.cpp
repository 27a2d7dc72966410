// How sockets are shared out among kinds of peers. What servers and clients make of it: http_test.cpp.
#include "http/socket_budget.hpp"

#include <gtest/gtest.h>

namespace coralhitch::http {
namespace {
constexpr auto user = PeerKind::user, worker = PeerKind::worker, controller = PeerKind::controller,
               service = PeerKind::service, machine = PeerKind::machine;

// Of ten sockets: what is guaranteed to users, workers, controllers, services and machines, and what they may
// take at most.
constexpr SocketShares shares = {{{0.2, 0.5}, {0.2, 0.6}, {0.1, 0.1}, {0.1, 0.3}, {0.1, 0.4}}};

struct Case {
    const char* name;
    std::vector<std::pair<PeerKind, std::size_t>> taken;  // one kind after the other, as many as it can get
    PeerKind then;
    bool admitted;
};
TEST(SocketBudget, NobodyTakesWhatIsGuaranteedToOthers) {
    const Case floods[] = {
        {"workers leave users theirs", {{worker, 5}}, user, true},
        {"workers and machines leave users theirs", {{worker, 5}, {machine, 1}}, user, true},
        {"workers leave machines theirs", {{worker, 5}}, machine, true},
        {"machines leave services theirs", {{machine, 4}, {worker, 2}}, service, true},
        {"users leave workers theirs", {{user, 5}}, worker, true},
        {"controllers get no more than theirs", {{controller, 1}}, controller, false},
        {"all that is free is taken", {{worker, 5}, {user, 2}}, user, false},
        {"services get more while there is some", {{service, 3}}, service, false},
    };
    for (auto& f : floods) {
        SocketBudget b(10, shares);
        for (auto& [kind, n] : f.taken) {
            std::size_t got = 0;
            while (b.take(kind)) ++got;
            EXPECT_EQ(got, n) << f.name;
        }
        EXPECT_EQ(b.take(f.then), f.admitted) << f.name;
    }
}
TEST(SocketBudget, IdleConnectionsBeyondAGuaranteeAreClosedForOthers) {
    SocketBudget b(10, shares);
    std::vector<PeerKind> closed;
    auto r = b.add([&](PeerKind kind) {
        if (kind != machine && kind != worker) return false;
        b.give_back(kind);
        closed.push_back(kind);
        return true;
    });
    for (int k = 0; k < 4; ++k) ASSERT_TRUE(b.take(machine));
    for (int k = 0; k < 3; ++k) ASSERT_TRUE(b.take(worker));
    EXPECT_EQ(closed, std::vector{machine});  // only 3 of 10 are free to all
    for (int k = 0; k < 4; ++k) ASSERT_TRUE(b.take(user));
    EXPECT_EQ(closed, (std::vector{machine, machine, machine}));
    EXPECT_EQ(b.used(machine), 1u);
    b.remove(r);
    while (b.take(user)) {
    }
    EXPECT_EQ(b.used(worker) + b.used(user), 7u);  // one each is kept for the three others
}

}  // namespace
}  // namespace coralhitch::http

// Tests the division of sockets among kinds of peers. http_test.cpp tests how servers and clients use it.
#include "http/socket_budget.hpp"

#include <gtest/gtest.h>

namespace coralhitch::http {
namespace {
constexpr auto user = PeerKind::user, worker = PeerKind::worker, controller = PeerKind::controller,
               service = PeerKind::service, machine = PeerKind::machine;

// With ten sockets, the guarantees of users, workers, controllers, services and machines are 2, 2, 1, 1 and
// 1, and their limits are 5, 6, 1, 3 and 4.
constexpr SocketShares shares = {{{0.2, 0.5}, {0.2, 0.6}, {0.1, 0.1}, {0.1, 0.3}, {0.1, 0.4}}};

struct Case {
    const char* name;
    // The kinds that take sockets until they are refused, in this order, each with the expected number.
    std::vector<std::pair<PeerKind, std::size_t>> taken;
    PeerKind then;
    bool admitted;
};
TEST(SocketBudget, NoKindTakesSocketsGuaranteedToOthers) {
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
    auto r = b.add_reclaimer([&](PeerKind kind) {
        if (kind != machine && kind != worker) return false;
        b.give_back(kind);
        closed.push_back(kind);
        return true;
    });
    for (int k = 0; k < 4; ++k) ASSERT_TRUE(b.take(machine));
    for (int k = 0; k < 3; ++k) ASSERT_TRUE(b.take(worker));
    EXPECT_EQ(closed, std::vector{machine});  // only 3 of the 10 sockets are not guaranteed to a kind
    for (int k = 0; k < 4; ++k) ASSERT_TRUE(b.take(user));
    EXPECT_EQ(closed, (std::vector{machine, machine, machine}));
    EXPECT_EQ(b.used(machine), 1u);
    b.remove_reclaimer(r);
    while (b.take(user)) {
    }
    EXPECT_EQ(b.used(worker) + b.used(user), 7u);  // the three other kinds hold or are guaranteed one each
}

}  // namespace
}  // namespace coralhitch::http

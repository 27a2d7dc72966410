// New machines get work at once while writes lag, and the leader ends.
#include "scenarios/fault_combinations_support.hpp"

namespace coralhitch::simulation {
namespace {

constexpr double machine_up_s = 0.05, lease_s = 24;

bool writes(const json& txn, const std::string& prefix) {
    auto ours = [&](auto& c) { return c.value("put", "").starts_with(prefix); };
    return std::any_of(txn["then"].begin(), txn["then"].end(), ours);
}
// Whether the key-value store's page of machines names this one.
bool stored(const SimulatedCluster& w, const std::string& id) {
    try {
        return w.record("mach/page/0").find(id) != std::string::npos;
    } catch (const std::out_of_range&) {
        return false;  // no page yet
    }
}

// Called as soon as a machine rented since then has been told to run something of `j-1`.
void on_first_run(SimulatedCluster& w, std::size_t first_new, std::function<void(Worker&)> then) {
    auto seen = std::make_shared<bool>(false);
    for (double t = w.now(); t < w.now() + 40; t += 0.005)
        w.at(t, [&w, first_new, then, seen] {
            for (std::size_t k = first_new; k < w.workers.size() && !*seen; ++k)
                if (on_machine(*w.workers[k], "j-1") > 0) *seen = true, then(*w.workers[k]);
        });
}

// What becomes of the first write of the new machine.
enum class Write { slow, late, after_the_claim, answer_lost };
struct Boot {
    const char* name;
    Write write;
    bool warm;  // the next leader follows the one before
};
void PrintTo(const Boot& b, std::ostream* out) {
    *out << b.name;
}
const Boot boots[] = {
    {"slow writes", Write::slow, true},
    {"slow writes, nobody follows", Write::slow, false},
    {"late", Write::late, true},
    {"late, nobody follows", Write::late, false},
    {"carried out after the next claim", Write::after_the_claim, true},
    {"carried out after the next claim, nobody follows", Write::after_the_claim, false},
    {"answer lost", Write::answer_lost, true},
    {"answer lost, nobody follows", Write::answer_lost, false},
};

// A new machine is up at once. The leader ends right after the first `run` was sent there, and from then on
// nobody reaches the machine for most of a lease, nor can it be deleted. Whoever leads next knows of it from
// what is stored: it counts what runs there, although the old machines have room by then.
class FirstRun : public testing::TestWithParam<Boot> {};
INSTANTIATE_TEST_SUITE_P(Meeting, FirstRun, testing::ValuesIn(boots));
TEST_P(FirstRun, IsOnAMachineThatTheNextLeaderKnows) {
    spdlog::set_level(spdlog::level::off);
    auto c = GetParam();
    Options o;
    o.machines = 2;
    o.boot_s = machine_up_s;
    if (!c.warm) o.without_replication = {0, 1, 2};
    SimulatedCluster w(o);
    w.at(4, [&w] { w.submit("j-8", "service", 2, 0, {{"cards", 4.0}}); });
    w.run_until(25);
    ASSERT_EQ(on_machines(w, "j-8"), 2u);
    std::size_t first_new = w.workers.size(), met = 0;
    std::optional<double> late_at, run_at;
    std::string machine;
    bool was_stored = false, claimed = false;
    w.late_txn = [&](const json& txn) {
        if (writes(txn, "leader") && run_at) claimed = true;
        bool names_new = writes(txn, "mach/page/") && w.workers.size() > first_new &&
                         txn.dump().find(w.workers[first_new]->id) != std::string::npos;
        if (!names_new || c.write == Write::slow || met++ > 0) return 0.0;
        late_at = w.now();
        double after_claim_s = 14, late_s = 2;
        return c.write == Write::answer_lost ? 1e-6 : c.write == Write::late ? late_s : after_claim_s;
    };
    // A `run` comes as a command or with the answer to a report.
    on_first_run(w, first_new, [&](Worker& m) {
        run_at = w.now();
        machine = m.id;
        was_stored = stored(w, machine);
        w.cloud_down(60);
        w.cancel("j-8");  // gives room to the old machines
        w.cut("10.0.", m.addr, lease_s * 0.75, false);
        w.crash(lead(w), 0.2);
    });
    if (c.write == Write::slow) w.at(25.5, [&w] { w.fast_boots(30, 1.6); });
    w.at(26, [&w] { w.submit("j-1", "service", 1, 0, {{"cards", 4.0}, {"driftwood", false}}); });
    w.run_until(60);
    ASSERT_TRUE(run_at);
    EXPECT_TRUE(was_stored) << machine;
    EXPECT_TRUE(claimed);
    if (c.write != Write::slow) {
        ASSERT_TRUE(late_at);
        if (c.write == Write::after_the_claim) {
            EXPECT_LT(*run_at, *late_at + 14);
        }
    }
    w.run_until(150);
    EXPECT_EQ(on_machines(w, "j-1"), 1u);
    EXPECT_TRUE(w.jobs["j-8"].cancelled);
    expect_unbroken(w);
}

// A new machine reports while the write that names it stays without an answer, is never carried out before
// the leader ends, and is then too late. The cloud lists the machine and no page names it: nothing ran there,
// and the next leader uses it.
TEST(Meeting, AMachineThatOnlyTheCloudNamesIsTakenIn) {
    spdlog::set_level(spdlog::level::off);
    for (bool warm : {true, false}) {
        Options o;
        o.machines = 2;
        o.boot_s = machine_up_s;
        if (!warm) o.without_replication = {0, 1, 2};
        SimulatedCluster w(o);
        w.at(4, [&w] { w.submit("j-8", "service", 2, 0, {{"cards", 4.0}}); });
        w.run_until(25);
        std::size_t lost = 0, first_new = w.workers.size();
        bool ended = false, was_stored = true;
        w.late_txn = [&](const json& txn) {
            if (ended || !writes(txn, "mach/page/")) return 0.0;
            if (lost++ == 0)
                w.at(w.now() + 4, [&] {
                    ended = true;
                    was_stored = stored(w, w.workers.at(first_new)->id);
                    EXPECT_EQ(on_machines(w, "j-1"), 0u);
                    w.crash(lead(w), 0.2);
                });
            return 12.0;
        };
        bool early = false;
        on_first_run(w, first_new, [&](Worker& m) { early = !ended || !stored(w, m.id); });
        w.at(26, [&w] { w.submit("j-1", "batch", 1, 10, {{"cards", 4.0}, {"driftwood", false}}); });
        w.run_until(34);
        EXPECT_TRUE(ended);
        EXPECT_FALSE(was_stored);
        ASSERT_GT(w.workers.size(), first_new);
        w.run_until(80);
        EXPECT_GT(lost, 0u);
        EXPECT_FALSE(early);
        EXPECT_TRUE(w.jobs["j-1"].done);
        EXPECT_EQ(on_machines(w, "j-8"), 2u);
        expect_unbroken(w);
    }
}

// A page names a machine that the cloud does not list: it is gone, which only its lease or a deletion proves.
// Its place and its team's limit stay taken until then, and its task goes on elsewhere afterwards.
TEST(Meeting, AMachineThatOnlyAPageNamesIsProvenGone) {
    spdlog::set_level(spdlog::level::off);
    for (bool warm : {true, false}) {
        Options o;
        o.machines = 2;
        o.boot_s = machine_up_s;
        o.gpus_max = 4;
        if (!warm) o.without_replication = {0, 1, 2};
        SimulatedCluster w(o);
        w.at(4, [&w] { w.submit("j-8", "service", 2, 0, {{"cards", 4.0}}); });
        w.run_until(25);
        w.at(26, [&w] {
            w.submit("j-1", "service", 1, 0, {{"cards", 4.0}, {"crew", "tight"}, {"driftwood", false}});
        });
        w.run_until(36);
        ASSERT_EQ(on_machines(w, "j-1"), 1u);
        std::optional<std::size_t> held;
        for (std::size_t k = 0; k < w.workers.size(); ++k)
            if (on_machine(*w.workers[k], "j-1") > 0) held = k;
        ASSERT_TRUE(held);
        auto id = w.workers[*held]->id;
        EXPECT_TRUE(stored(w, id));
        w.crash(lead(w), 0.2);
        w.die(*held);
        // Room is there at once; the proof is not.
        w.cancel("j-8");
        w.cloud_down(14);
        w.run_until(49);
        EXPECT_EQ(on_machines(w, "j-1"), 0u) << warm;
        w.run_until(36 + lease_s + 20);
        EXPECT_EQ(on_machines(w, "j-1"), 1u) << warm;
        w.run_until(120);
        EXPECT_FALSE(stored(w, id));
        expect_unbroken(w);
    }
}

// The machine is up, reports and works before its rental is answered: the answer is lost, and asked for again
// under the same name, or the leader ends meanwhile. It is one machine for all, and its task stays there.
TEST(Meeting, UpBeforeTheRentalIsAnswered) {
    spdlog::set_level(spdlog::level::off);
    for (bool ends : {false, true}) {
        Options o;
        o.machines = 2;
        o.boot_s = machine_up_s;
        SimulatedCluster w(o);
        std::map<std::string, std::size_t> asked;  // how often, of each rental
        std::string lost;
        w.sent = [&](auto&, auto&, auto& r) {
            if (r.target != "/hosts" || r.method != "POST") return;
            auto name = json::parse(r.body)["charter"].template get<std::string>();
            ++asked[name];
            if (w.now() < 26 || !lost.empty()) return;
            lost = name;
            w.cut_one_way("10.2.0.2", "10.0.", 12);
        };
        w.at(4, [&w] { w.submit("j-8", "service", 2, 0, {{"cards", 4.0}}); });
        w.run_until(25);
        std::optional<double> run_at;
        Worker* on = nullptr;
        on_first_run(w, w.workers.size(), [&](Worker& m) {
            run_at = w.now();
            on = &m;
            if (ends) w.crash(lead(w), 0.2);
        });
        w.at(26, [&w] { w.submit("j-1", "service", 1, 0, {{"cards", 4.0}, {"driftwood", false}}); });
        w.run_until(37);
        ASSERT_TRUE(run_at);
        auto starts = w.starts;
        w.run_until(110);
        EXPECT_EQ(asked[lost] > 1, !ends);
        EXPECT_EQ(w.workers.size(), 2 + asked.size());  // each rental gave one
        EXPECT_EQ(on_machine(*on, "j-1"), 1u);
        EXPECT_EQ(w.starts, starts);
        EXPECT_EQ(on_machines(w, "j-8"), 2u);
        expect_unbroken(w);
    }
}

}  // namespace
}  // namespace coralhitch::simulation

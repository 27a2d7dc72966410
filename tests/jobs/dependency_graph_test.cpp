// Tests of DependencyGraph: its edges, and dependencies whose outcome is unknown.
#include "jobs/dependency_graph.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace coralhitch::jobs {
namespace {
using Ids = std::vector<std::string>;
using IdSet = std::set<std::string>;

TEST(DependencyGraph, KnowsDependenciesThatAreNotLiveAsUnresolved) {
    DependencyGraph graph;
    auto only_a_is_live = [](auto& id) { return id == "a"; };
    graph.add("b", Ids{"a", "x"}, only_a_is_live);
    EXPECT_EQ(graph.unresolved(), IdSet{"x"});
    graph.mark_unresolved("a");
    EXPECT_EQ(graph.unresolved(), (IdSet{"a", "x"}));
    graph.mark_unresolved("b");  // has no dependents, so its outcome is not needed
    EXPECT_EQ(graph.unresolved(), (IdSet{"a", "x"}));
    EXPECT_EQ(graph.resolve("x"), IdSet{"b"});
    EXPECT_EQ(graph.unresolved(), IdSet{"a"});
    EXPECT_FALSE(graph.has_dependents("x"));
}

TEST(DependencyGraph, ForgetsADependencyWithItsLastDependent) {
    DependencyGraph graph;
    auto none_is_live = [](auto&) { return false; };
    graph.add("b", Ids{"a"}, none_is_live);
    graph.add("c", Ids{"a"}, none_is_live);
    graph.remove("b", Ids{"a"});
    EXPECT_EQ(graph.direct_dependents("a"), IdSet{"c"});
    EXPECT_EQ(graph.unresolved(), IdSet{"a"});
    graph.remove("c", Ids{"a"});
    EXPECT_FALSE(graph.has_dependents("a"));
    EXPECT_TRUE(graph.unresolved().empty());
}

TEST(DependencyGraph, VisitsTransitiveDependentsAsFarAsTheVisitorSays) {
    DependencyGraph graph;
    auto all_live = [](auto&) { return true; };
    graph.add("b1", Ids{"a"}, all_live);
    graph.add("b2", Ids{"a"}, all_live);
    graph.add("c", Ids{"b1", "b2"}, all_live);
    graph.add("d", Ids{"c"}, all_live);
    IdSet visited;
    graph.visit_dependents("a", [&](auto& id) { return visited.insert(id).second && id != "c"; });
    EXPECT_EQ(visited, (IdSet{"b1", "b2", "c"}));
}

}  // namespace
}  // namespace coralhitch::jobs

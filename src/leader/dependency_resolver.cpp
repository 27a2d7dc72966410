#include "leader/dependency_resolver.hpp"

#include <spdlog/spdlog.h>

#include "kv/keys.hpp"
#include "protocol/malformed.hpp"
#include "protocol/model.hpp"
#include "protocol/records.hpp"

namespace coralhitch::leader {

DependencyResolver::DependencyResolver(const PartContext& context, kv::KvClient& kv, JobStore& store,
                                       std::function<void()> request_plan)
    : LeaderPart(context), kv_(kv), store_(store), request_plan_(std::move(request_plan)) {}

void DependencyResolver::retry() {
    tried_.clear();
    resolve();
}

// A dependency that has neither a live nor a final record is retried: the watch of live jobs is then behind.
void DependencyResolver::resolve() {
    constexpr std::size_t max_in_flight = 8;
    for (auto& id : state_.jobs.dependencies().unresolved()) {
        if (in_flight_.size() >= max_in_flight) return;
        if (tried_.contains(id) || !in_flight_.insert(id).second) continue;
        kv_.get(kv::keys::final(id), kv::RequestPriority::write,
                guarded_([this, id](const kv::GetResult& result) { handle_answer(id, result); }));
    }
}

void DependencyResolver::handle_answer(const std::string& id, const kv::GetResult& result) {
    in_flight_.erase(id);
    tried_.insert(id);  // if its end is not recorded below, the next tick reads it again
    if (!result.entry) return resolve();
    try {
        auto state = protocol::parse_final_record(result.entry->value).state;
        {
            std::lock_guard lock(state_.mutex);
            state_.jobs.apply_outcome(id, state, std::nullopt);
        }
        request_plan_();
        if (state == protocol::JobState::cancelled) store_.request_store();
    } catch (const protocol::Malformed& error) {
        spdlog::error("component=leader event=malformed_final_record job={} error=\"{}\"", id, error.what());
    }
    resolve();
}

}  // namespace coralhitch::leader

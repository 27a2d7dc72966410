#include "leader/stale_key_remover.hpp"

#include <optional>
#include <utility>
#include <vector>

namespace coralhitch::leader {

StaleKeyRemover::StaleKeyRemover(const PartContext& context, kv::KvClient& kv)
    : LeaderPart(context), kv_(kv) {}

void StaleKeyRemover::remove_some() {
    if (in_flight_ || keys_.empty() || !authority_.holds()) return;
    auto transaction = authority_.fenced_transaction();
    std::vector<std::string> removed;
    for (auto& key : keys_) {
        if (transaction.changes.size() >= kv_.limits().txn_ops()) break;
        transaction.changes.push_back({key, std::nullopt, 0});
        removed.push_back(key);
    }
    in_flight_ = true;
    kv_.txn(std::move(transaction), kv::RequestPriority::background,
            guarded_([this, removed = std::move(removed)](const kv::TxnResult& result) {
                in_flight_ = false;
                if (result.status != kv::TxnResult::Status::committed) return;
                for (auto& key : removed) keys_.erase(key);
            }));
}

}  // namespace coralhitch::leader

#include "controller/machine_type_catalog.hpp"

#include <spdlog/spdlog.h>

#include <utility>

#include "kv/keys.hpp"
#include "protocol/cloud_api.hpp"
#include "protocol/kv_api.hpp"
#include "protocol/malformed.hpp"
#include "protocol/records.hpp"

namespace coralhitch::controller {
namespace {
// Delay of the next request to the cloud after an answer, and after a failure.
constexpr double refresh_heartbeat_periods = 20;
constexpr double retry_heartbeat_periods = 1.0 / 2;
}  // namespace

void MachineTypeCatalog::refresh() {
    cloud_.list_machine_types([this](std::optional<std::vector<protocol::MachineType>> types) {
        handle_cloud_response(std::move(types));
    });
}

void MachineTypeCatalog::handle_cloud_response(std::optional<std::vector<protocol::MachineType>> types) {
    const bool answered = types && !types->empty();
    if (answered) {
        set(std::move(*types));
        store();
    } else if (types_.empty()) {
        load_stored();
    }
    const double delay_s =
        settings_.heartbeat_interval_s * (answered ? refresh_heartbeat_periods : retry_heartbeat_periods);
    timers_.after(delay_s, [this] { refresh(); });
}

void MachineTypeCatalog::load_stored() {
    kv_.get(kv::keys::types, kv::RequestPriority::read, [this](kv::GetResult found) {
        if (!found.entry || !types_.empty()) return;
        try {
            set(protocol::parse_types(found.entry->value));
        } catch (const protocol::Malformed& malformed) {
            spdlog::error("component=controller event=stored_machine_types_malformed error=\"{}\"",
                          malformed.what());
        }
    });
}

void MachineTypeCatalog::set(std::vector<protocol::MachineType> types) {
    if (types.empty()) return;
    types_ = std::move(types);
    if (leader_) leader_->update_machine_types();
}

void MachineTypeCatalog::store() {
    if (!leader_ || types_.empty()) return;
    auto value = protocol::stored_types(types_);
    if (value == stored_value_ || value.size() > kv_.limits().value_bytes()) return;
    protocol::Txn txn;
    txn.conditions = {{kv::keys::leader, election_.fencing_token().value()}};
    txn.changes = {{kv::keys::types, value, 0}};
    kv_.txn(std::move(txn), kv::RequestPriority::background, [this, value](const kv::TxnResult& result) {
        if (result.status == kv::TxnResult::Status::committed) stored_value_ = value;
    });
}

}  // namespace coralhitch::controller

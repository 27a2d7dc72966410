// Lists of the key-value store and the cloud: the longest messages that a controller reads, at each failover
// and while it looks for machines. A tree of values took a new leader longer than all it did with them.
#include "protocol/json_reader.hpp"
#include "protocol/protocol.hpp"

namespace coralhitch::protocol {
using namespace fast;
using simdjson::dom::parser;

namespace {
std::string value_of(const object& o) {
    return simdjson::minify(need(o, "value"));
}
bool more(const object& o) {
    element e;
    bool more = false;
    return find(o, "more", e) && e.get(more) == simdjson::SUCCESS && more;
}
}  // namespace

HostPage parse_hosts(std::string_view body) {
    parser p;
    auto o = root(p, body);
    HostPage page;
    for (auto e : list(o, "berths")) {
        auto row = as_object(e, "berths");
        Host h;
        h.id = text(row, "id");
        element addr;
        std::string_view a;
        if (find(row, "addr", addr) && addr.get(a) == simdjson::SUCCESS) h.addr = a;
        h.type = text(row, "hull");
        h.zone = text(row, "reef");
        h.spot = flag(row, "driftwood");
        h.state = named(host_state_names, text(row, "status"), "status");
        h.age_s = amount(row, "age_s");
        page.hosts.push_back(std::move(h));
    }
    page.more = more(o);
    return page;
}

EntryPage parse_entries(std::string_view body) {
    parser p;
    auto o = root(p, body);
    EntryPage page;
    for (auto e : list(o, "entries")) {
        auto row = as_object(e, "entries");
        page.entries.push_back({text(row, "path"), value_of(row), count(row, "stamp"), 0});
    }
    page.more = more(o);
    page.revision = count(o, "epoch");
    return page;
}

Events parse_events(std::string_view body) {
    parser p;
    auto o = root(p, body);
    Events out;
    out.revision = count(o, "epoch");
    for (auto e : list(o, "news")) {
        auto row = as_object(e, "news");
        Event v;
        element put;
        if (find(row, "put", put)) {
            v.key = text(row, "put");
            v.value = value_of(row);
        } else {
            v.key = text(row, "drop");
        }
        v.version = count(row, "stamp");
        out.events.push_back(std::move(v));
    }
    return out;
}

}  // namespace coralhitch::protocol

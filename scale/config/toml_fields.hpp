// Reads the fields of one TOML table and refuses those that nobody reads: a misspelt field would change the
// experiment in silence.
#pragma once
#include <toml++/toml.h>

#include <cmath>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace coralhitch::scale {

// All functions throw ExperimentError that names the field. A field that is missing keeps the value it had.
class TomlFields {
  public:
    // `path` names the table in errors; empty for the root. The table must outlive this.
    TomlFields(const toml::table& table, std::string path);

    void number(const char* key, double& out, double least, double most = 1e9);
    template <class Integer>
    void count(const char* key, Integer& out, std::int64_t least, std::int64_t most) {
        auto* node = take(key);
        if (node) out = static_cast<Integer>(integer(key, *node, least, most));
    }
    void text(const char* key, std::string& out);
    // Neither missing elements nor other types; not empty.
    template <class Element>
    void list(const char* key, std::vector<Element>& out) {
        auto* node = take(key);
        if (!node) return;
        if (!node->as_array() || node->as_array()->empty()) fail(key, "must be a list that is not empty");
        out.clear();
        for (auto& element : *node->as_array()) {
            auto value = element.value<Element>();
            if (!value) fail(key, "holds something of another type");
            out.push_back(*value);
        }
    }
    // A table within this one, read by `read(TomlFields&)`.
    template <class Read>
    void table(const char* key, Read read) {
        auto* node = take(key);
        if (!node) return;
        if (!node->as_table()) fail(key, "must be a table");
        TomlFields fields(*node->as_table(), key);
        read(fields);
        fields.check_all_read();
    }
    // A list of tables, each read by `read(TomlFields&)`.
    template <class Read>
    void tables(const char* key, Read read) {
        auto* node = take(key);
        if (!node) return;
        if (!node->as_array()) fail(key, "must be a list of tables");
        std::size_t index = 0;
        for (auto& element : *node->as_array()) {
            if (!element.as_table()) fail(key, "must be a list of tables");
            TomlFields fields(*element.as_table(), std::string(key) + "[" + std::to_string(index++) + "]");
            read(fields);
            fields.check_all_read();
        }
    }

    void require(const char* key) const;
    void check_all_read() const;
    [[noreturn]] void fail(const std::string& key, const std::string& problem) const;

  private:
    const toml::node* take(const char* key);
    std::int64_t integer(const char* key, const toml::node& node, std::int64_t least,
                         std::int64_t most) const;

    const toml::table& table_;
    std::string path_;
    std::set<std::string> read_;
};

}  // namespace coralhitch::scale

// Reads the fields of one TOML table and rejects fields that were not read: a misspelt field would otherwise
// change the experiment without notice.
#pragma once
#include <toml++/toml.h>

#include <cmath>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace coralhitch::scale {

// All functions throw an ExperimentError that names the field. If a field is missing, the output parameter
// keeps its value.
class TomlFields {
  public:
    // `path` names the table in errors; empty for the root. The table must outlive this.
    TomlFields(const toml::table& table, std::string path);

    // Reads a finite number in [least, most].
    void number(const char* key, double& out, double least, double most = 1e9);
    // Reads an integer in [least, most].
    template <class Integer>
    void count(const char* key, Integer& out, std::int64_t least, std::int64_t most) {
        auto* node = take(key);
        if (node) out = static_cast<Integer>(integer(key, *node, least, most));
    }
    // Reads a string.
    void text(const char* key, std::string& out);
    // Reads a list that is not empty, all of whose elements have the type `Element`.
    template <class Element>
    void list(const char* key, std::vector<Element>& out) {
        auto* node = take(key);
        if (!node) return;
        if (!node->as_array() || node->as_array()->empty()) fail(key, "must be a list that is not empty");
        out.clear();
        for (auto& element : *node->as_array()) {
            auto value = element.value<Element>();
            if (!value) fail(key, "has an element of another type");
            out.push_back(*value);
        }
    }
    // Reads a nested table with `read(TomlFields&)`.
    template <class Read>
    void table(const char* key, Read read) {
        auto* node = take(key);
        if (!node) return;
        if (!node->as_table()) fail(key, "must be a table");
        TomlFields fields(*node->as_table(), key);
        read(fields);
        fields.check_all_read();
    }
    // Reads a list of tables, each with `read(TomlFields&)`.
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

    // Throws if the field is missing.
    void require(const char* key) const;
    // Throws if the table has a field that was not read.
    void check_all_read() const;
    // Throws an error that names the field.
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

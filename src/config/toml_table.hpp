// One table of the platform's settings file, read field by field. Every complaint is a BadSettings that names
// the file, the field with the sections that it is in (`cluster.workers.lease_s`), and what it must be.
//
// Refers to the parsed file, which must outlive it. Internal to the package.
#pragma once
#include <toml++/toml.h>

#include <cstdint>
#include <string>
#include <vector>

namespace coralhitch::config {

class TomlTable {
  public:
    // `section` is the path to the table; empty for the whole file.
    TomlTable(const toml::table& table, std::string file, std::string section)
        : table_(table), file_(std::move(file)), section_(std::move(section)) {}

    [[nodiscard]] bool has(const char* field) const { return table_.get(field) != nullptr; }

    // A string that is not empty.
    [[nodiscard]] std::string text(const char* field) const;
    // A host and a port, like "10.0.0.1:8080".
    [[nodiscard]] std::string address(const char* field) const;
    // A number that is not below `least`.
    [[nodiscard]] double number(const char* field, double least) const;
    [[nodiscard]] double number_within(const char* field, double least, double most) const;
    // A number above 0.
    [[nodiscard]] double positive_number(const char* field) const;
    // A whole number of 32 bits that is not below `least`.
    [[nodiscard]] std::uint32_t count(const char* field, std::uint32_t least) const;
    [[nodiscard]] std::vector<std::string> texts(const char* field) const;

    [[nodiscard]] TomlTable subtable(const char* field) const;
    // The tables of a list; none if the field is missing.
    [[nodiscard]] std::vector<TomlTable> rows(const char* field) const;

    [[noreturn]] void fail(const char* field, const std::string& problem) const;

  private:
    [[nodiscard]] const toml::node& node(const char* field) const;
    [[nodiscard]] double finite_number(const char* field) const;
    [[nodiscard]] std::string path(const char* field) const;

    const toml::table& table_;
    std::string file_;
    std::string section_;
};

}  // namespace coralhitch::config

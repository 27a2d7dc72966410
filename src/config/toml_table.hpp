// Reads a table of the platform's settings file field by field. Unless said otherwise, a field that is
// missing or has a wrong value throws BadSettings, which names the file, the path of the field (such as
// `cluster.workers.lease_s`), the values it allows and the value found. Internal to this package.
#pragma once
#include <toml++/toml.h>

#include <cstdint>
#include <string>
#include <vector>

namespace coralhitch::config {

// A table of the parsed file, which must outlive this object.
class TomlTable {
  public:
    // `section` is the path to the table; empty for the whole file.
    TomlTable(const toml::table& table, std::string file, std::string section)
        : table_(table), file_(std::move(file)), section_(std::move(section)) {}

    [[nodiscard]] bool has(const char* field) const { return table_.get(field) != nullptr; }

    // Returns a string that is not empty.
    [[nodiscard]] std::string text(const char* field) const;
    // Returns a host and port, such as "10.0.0.1:8080".
    [[nodiscard]] std::string address(const char* field) const;
    // Returns a finite number that is at least `min`.
    [[nodiscard]] double number(const char* field, double min) const;
    // Returns a number from `min` to `max`.
    [[nodiscard]] double number_within(const char* field, double min, double max) const;
    // Returns a number above 0.
    [[nodiscard]] double positive_number(const char* field) const;
    // Returns a whole number from `min` to 2^32 - 1.
    [[nodiscard]] std::uint32_t count(const char* field, std::uint32_t min) const;
    [[nodiscard]] std::vector<std::string> texts(const char* field) const;

    [[nodiscard]] TomlTable subtable(const char* field) const;
    // Returns the tables of a list; none if the field is missing.
    [[nodiscard]] std::vector<TomlTable> rows(const char* field) const;

    // Throws BadSettings with the problem and the field's value.
    [[noreturn]] void fail_with_value(const char* field, const std::string& problem) const;

  private:
    [[noreturn]] void fail(const char* field, const std::string& problem) const;
    [[noreturn]] void fail_with_value(const char* field, const std::string& problem,
                                      const toml::node& found) const;
    [[nodiscard]] const toml::node& node(const char* field) const;
    [[nodiscard]] double finite_number(const char* field) const;
    [[nodiscard]] std::string path(const char* field) const;

    const toml::table& table_;
    std::string file_;
    std::string section_;
};

}  // namespace coralhitch::config

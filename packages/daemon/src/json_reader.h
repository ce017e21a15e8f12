#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chicorywick::daemon {

/// @brief Reads the members of a JSON object and collects all problems with their JSON paths.
class JsonReader
{
public:
    explicit JsonReader(const nlohmann::json &root);

    /// @brief Reads a string of 1 to maxLength bytes. It is required unless a fallback is given.
    std::string text(const std::string &key, std::size_t maxLength,
                     const std::optional<std::string> &fallback = {});

    /// @brief Reads a required string that must be one of the allowed values.
    std::string choice(const std::string &key, const std::vector<std::string> &allowed);

    /// @brief Reads an integer from low to high. It is required unless a fallback is given.
    std::int64_t number(const std::string &key, std::int64_t low, std::int64_t high,
                        std::optional<std::int64_t> fallback = {});

    /// @brief A reader for a required member object. If it is missing or not an object, adds a
    /// problem and returns a reader for an empty object.
    JsonReader object(const std::string &key);

    /// @brief Readers for the objects in an optional member array.
    std::vector<JsonReader> array(const std::string &key);

    bool has(const std::string &key) const { return value_.contains(key); }

    /// @brief Adds a problem with the member's path.
    void addProblem(const std::string &key, const std::string &found, const std::string &allowed);

    /// @brief Adds a problem for each member that was not read.
    void rejectUnknownKeys();

    const std::vector<std::string> &problems() const { return *problems_; }

private:
    JsonReader(nlohmann::json value, std::string path,
               std::shared_ptr<std::vector<std::string>> problems);

    const nlohmann::json *find(const std::string &key);

    nlohmann::json value_;
    std::string path_;
    std::shared_ptr<std::vector<std::string>> problems_;
    std::vector<std::string> readKeys_;
};

} // namespace chicorywick::daemon

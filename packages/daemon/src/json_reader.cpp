#include "json_reader.h"

#include <algorithm>

namespace chicorywick::daemon {

namespace {

std::string formatValue(const nlohmann::json &value)
{
    constexpr std::size_t kMaxValueLength = 60;
    std::string text = value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (text.size() > kMaxValueLength)
        text = text.substr(0, kMaxValueLength) + "...";
    return text;
}

std::string joinWords(const std::vector<std::string> &words)
{
    std::string text;
    for (const std::string &word : words)
        text += (text.empty() ? "" : ", ") + word;
    return text;
}

} // namespace

JsonReader::JsonReader(const nlohmann::json &root)
    : JsonReader(root, "", std::make_shared<std::vector<std::string>>())
{
    if (!root.is_object())
        problems_->push_back("/: found " + formatValue(root) + ", allowed: an object");
}

JsonReader::JsonReader(nlohmann::json value, std::string path,
                       std::shared_ptr<std::vector<std::string>> problems)
    : value_(std::move(value))
    , path_(std::move(path))
    , problems_(std::move(problems))
{
    if (!value_.is_object())
        value_ = nlohmann::json::object();
}

const nlohmann::json *JsonReader::find(const std::string &key)
{
    readKeys_.push_back(key);
    const auto found = value_.find(key);
    return found == value_.end() ? nullptr : &*found;
}

void JsonReader::addProblem(const std::string &key, const std::string &found,
                            const std::string &allowed)
{
    problems_->push_back(path_ + "/" + key + ": found " + found + ", allowed: " + allowed);
}

std::string JsonReader::text(const std::string &key, std::size_t maxLength,
                             const std::optional<std::string> &fallback)
{
    const nlohmann::json *value = find(key);
    const std::string allowed = "a string of 1 to " + std::to_string(maxLength) + " characters";
    if (value == nullptr) {
        if (!fallback)
            addProblem(key, "nothing", allowed);
        return fallback.value_or("");
    }
    if (!value->is_string() || value->get_ref<const std::string &>().empty()
        || value->get_ref<const std::string &>().size() > maxLength) {
        addProblem(key, formatValue(*value), allowed);
        return "";
    }
    return value->get<std::string>();
}

std::string JsonReader::choice(const std::string &key, const std::vector<std::string> &allowed)
{
    const nlohmann::json *value = find(key);
    const bool isAllowed = value != nullptr && value->is_string()
                           && std::find(allowed.begin(), allowed.end(), value->get<std::string>())
                                      != allowed.end();
    if (!isAllowed) {
        addProblem(key, value == nullptr ? "nothing" : formatValue(*value),
                   "one of " + joinWords(allowed));
        return "";
    }
    return value->get<std::string>();
}

std::int64_t JsonReader::number(const std::string &key, std::int64_t low, std::int64_t high,
                                std::optional<std::int64_t> fallback)
{
    const nlohmann::json *value = find(key);
    const std::string allowed =
            "a whole number from " + std::to_string(low) + " to " + std::to_string(high);
    if (value == nullptr) {
        if (!fallback)
            addProblem(key, "nothing", allowed);
        return fallback.value_or(low);
    }
    const bool isInRange = value->is_number_integer() && value->get<std::int64_t>() >= low
                           && value->get<std::int64_t>() <= high;
    if (!isInRange) {
        addProblem(key, formatValue(*value), allowed);
        return low;
    }
    return value->get<std::int64_t>();
}

JsonReader JsonReader::object(const std::string &key)
{
    const nlohmann::json *value = find(key);
    if (value == nullptr || !value->is_object()) {
        addProblem(key, value == nullptr ? "nothing" : formatValue(*value), "an object");
        return {nlohmann::json::object(), path_ + "/" + key, problems_};
    }
    return {*value, path_ + "/" + key, problems_};
}

std::vector<JsonReader> JsonReader::array(const std::string &key)
{
    std::vector<JsonReader> readers;
    const nlohmann::json *value = find(key);
    if (value == nullptr)
        return readers;
    if (!value->is_array()) {
        addProblem(key, formatValue(*value), "an array of objects");
        return readers;
    }
    for (std::size_t i = 0; i < value->size(); ++i) {
        const std::string path = path_ + "/" + key + "/" + std::to_string(i);
        if (!(*value)[i].is_object())
            problems_->push_back(path + ": found " + formatValue((*value)[i])
                                 + ", allowed: an object");
        readers.push_back(JsonReader((*value)[i], path, problems_));
    }
    return readers;
}

void JsonReader::rejectUnknownKeys()
{
    for (const auto &[key, value] : value_.items()) {
        if (std::find(readKeys_.begin(), readKeys_.end(), key) == readKeys_.end())
            addProblem(key, formatValue(value),
                       "no such setting; known here: " + joinWords(readKeys_));
    }
}

} // namespace chicorywick::daemon

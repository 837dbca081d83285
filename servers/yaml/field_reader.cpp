#include "servers/yaml/field_reader.h"

#include <charconv>
#include <cmath>
#include <limits>

namespace GeraniumLever {

namespace {

bool parseNumber(const std::string &text, std::uint64_t &value)
{
    const std::from_chars_result parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    return !text.empty() && parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
}

} // namespace

YamlResult parseYaml(const std::string &text)
{
    try {
        return YAML::Load(text);
    } catch (const YAML::Exception &exception) {
        const std::size_t line = exception.mark.is_null() ? 0 : static_cast<std::size_t>(exception.mark.line) + 1;
        return Fault { line, "not valid YAML: " + exception.msg };
    }
}

std::size_t lineOf(const YAML::Node &node)
{
    if (!node.IsDefined() || node.Mark().is_null()) {
        return 0;
    }
    return static_cast<std::size_t>(node.Mark().line) + 1;
}

FieldReader::FieldReader(YAML::Node map, std::string label, std::vector<Fault> &faults)
    : map_(std::move(map)), label_(std::move(label)), faults_(faults)
{
}

bool FieldReader::isMap() const
{
    return map_.IsDefined() && map_.IsMap();
}

bool FieldReader::has(const std::string &key) const
{
    const YAML::Node &map = map_;
    return isMap() && map[key].IsDefined();
}

YAML::Node FieldReader::child(const std::string &key)
{
    requestedKeys_.insert(key);
    const YAML::Node &map = map_;
    return isMap() ? map[key] : YAML::Node(YAML::NodeType::Undefined);
}

void FieldReader::require(const std::string &key)
{
    if (!has(key)) {
        fault(key, "is missing");
    }
}

void FieldReader::read(const std::string &key, std::string &target)
{
    const YAML::Node node = child(key);
    if (!node.IsDefined()) {
        return;
    }
    if (!node.IsScalar()) {
        fault(key, "must be a string");
        return;
    }
    target = node.Scalar();
}

void FieldReader::read(const std::string &key, bool &target)
{
    const YAML::Node node = child(key);
    if (!node.IsDefined()) {
        return;
    }
    const std::string text = node.IsScalar() ? node.Scalar() : std::string();
    if (text != "true" && text != "false") {
        fault(key, "must be true or false");
        return;
    }
    target = text == "true";
}

void FieldReader::read(const std::string &key, std::uint32_t &target)
{
    std::uint64_t value = target;
    readNumber(key, std::numeric_limits<std::uint32_t>::max(), value);
    target = static_cast<std::uint32_t>(value);
}

void FieldReader::read(const std::string &key, std::uint64_t &target)
{
    readNumber(key, std::numeric_limits<std::uint64_t>::max(), target);
}

void FieldReader::read(const std::string &key, double &target)
{
    const YAML::Node node = child(key);
    if (!node.IsDefined()) {
        return;
    }
    double value = 0.0;
    if (!node.IsScalar() || !YAML::convert<double>::decode(node, value) || !std::isfinite(value) || value < 0.0) {
        fault(key, "must be a number that is at least 0");
        return;
    }
    target = value;
}

void FieldReader::read(const std::string &key, Duration &target)
{
    constexpr std::uint64_t MaxDurationMs = 1000ULL * 60 * 60 * 24 * 365;
    std::uint64_t value = static_cast<std::uint64_t>(toMilliseconds(target));
    const std::size_t faultsBefore = faults_.size();
    readNumber(key, MaxDurationMs, value);
    if (has(key) && faults_.size() == faultsBefore) {
        target = std::chrono::milliseconds(value);
    }
}

void FieldReader::read(const std::string &key, std::vector<std::string> &target)
{
    const YAML::Node node = child(key);
    if (!node.IsDefined()) {
        return;
    }
    if (!node.IsSequence()) {
        fault(key, "must be a list of strings");
        return;
    }
    target.clear();
    for (const YAML::Node &element : node) {
        if (!element.IsScalar()) {
            fault(key, "must be a list of strings");
            return;
        }
        target.push_back(element.Scalar());
    }
}

void FieldReader::fault(const std::string &key, const std::string &message)
{
    const YAML::Node &map = map_;
    const std::size_t line = has(key) ? lineOf(map[key]) : lineOf(map_);
    faults_.push_back(Fault { line, label_ + ": " + key + " " + message });
}

void FieldReader::finish()
{
    if (!isMap()) {
        return;
    }
    std::set<std::string> seen;
    for (const std::pair<YAML::Node, YAML::Node> &entry : map_) {
        const std::string key = entry.first.IsScalar() ? entry.first.Scalar() : std::string("?");
        if (requestedKeys_.count(key) == 0) {
            faults_.push_back(Fault { lineOf(entry.first), label_ + ": unknown field " + key });
        } else if (!seen.insert(key).second) {
            faults_.push_back(Fault { lineOf(entry.first), label_ + ": " + key + " is given twice" });
        }
    }
}

void FieldReader::readNumber(const std::string &key, std::uint64_t maximum, std::uint64_t &target)
{
    const YAML::Node node = child(key);
    if (!node.IsDefined()) {
        return;
    }
    std::uint64_t value = 0;
    if (!node.IsScalar() || !parseNumber(node.Scalar(), value) || value > maximum) {
        fault(key, "must be a whole number from 0 to " + std::to_string(maximum));
        return;
    }
    target = value;
}

} // namespace GeraniumLever

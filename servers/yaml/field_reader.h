/** Reads the fields of one YAML mapping. */
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include <yaml-cpp/yaml.h>

#include "core/core.h"

namespace GeraniumLever {

/** The root node of a text, or the parse error. */
using YamlResult = std::variant<YAML::Node, Fault>;

/** Parses a text without throwing. */
YamlResult parseYaml(const std::string &text);

/** 1-based line of a node; 0 if it has none. */
std::size_t lineOf(const YAML::Node &node);

/** Reads fields by name and type. An absent field leaves the target unchanged; a field of the wrong type is added to
 * the faults. finish() adds a fault for each field that was never requested. */
class FieldReader
{
public:
    /** label: identifies the mapping in error messages, for example "upstream gpu-1". */
    FieldReader(YAML::Node map, std::string label, std::vector<Fault> &faults);

    /** True if the node is a mapping. */
    bool isMap() const;

    bool has(const std::string &key) const;

    /** The field's node; undefined if absent. The field then counts as requested. */
    YAML::Node child(const std::string &key);

    /** Adds a fault if the field is absent. */
    void require(const std::string &key);

    void read(const std::string &key, std::string &target);
    void read(const std::string &key, bool &target);
    void read(const std::string &key, std::uint32_t &target);
    void read(const std::string &key, std::uint64_t &target);
    /** Reads a non-negative number. */
    void read(const std::string &key, double &target);
    /** Reads whole milliseconds. */
    void read(const std::string &key, Duration &target);
    void read(const std::string &key, std::vector<std::string> &target);

    template<typename Tag>
    void read(const std::string &key, Name<Tag> &target)
    {
        std::string text = target.text();
        read(key, text);
        target = Name<Tag>(std::move(text));
    }

    template<typename Tag>
    void read(const std::string &key, std::vector<Name<Tag>> &target)
    {
        std::vector<std::string> texts;
        read(key, texts);
        for (std::string &text : texts) {
            target.emplace_back(std::move(text));
        }
    }

    /** Adds a fault at the line of the field, or of the mapping if the field is absent. */
    void fault(const std::string &key, const std::string &message);

    /** Adds a fault for each unknown or repeated field. */
    void finish();

private:
    void readNumber(const std::string &key, std::uint64_t maximum, std::uint64_t &target);

    YAML::Node map_;
    std::string label_;
    std::vector<Fault> &faults_;
    std::set<std::string> requestedKeys_;
};

} // namespace GeraniumLever

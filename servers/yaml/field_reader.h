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

/** The root node of a text, or why it is no YAML. */
using YamlResult = std::variant<YAML::Node, Fault>;

/** Parses a text without throwing. */
YamlResult parseYaml(const std::string &text);

/** 1-based line of a node; 0 if it has none. */
std::size_t lineOf(const YAML::Node &node);

/** Reads fields by name and type. A field that is absent leaves the target as it is; a field of the wrong type is noted
 *  as a fault. finish() notes every field that nobody asked for. */
class FieldReader
{
public:
    /** what: how messages name the mapping, for example "upstream gpu-1". */
    FieldReader(YAML::Node map, std::string what, std::vector<Fault> &faults);

    /** True if the node is a mapping at all. */
    bool isMap() const;

    bool has(const std::string &key) const;

    /** The field's node; undefined if absent. Counts as asked for. */
    YAML::Node child(const std::string &key);

    /** Notes a fault if the field is absent. */
    void require(const std::string &key);

    void read(const std::string &key, std::string &target);
    void read(const std::string &key, bool &target);
    void read(const std::string &key, std::uint32_t &target);
    void read(const std::string &key, std::uint64_t &target);
    /** A number that is not below zero. */
    void read(const std::string &key, double &target);
    /** Whole milliseconds. */
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

    /** Notes a fault at the field, or at the mapping if the field is absent. */
    void fault(const std::string &key, const std::string &message);

    /** Notes unknown and repeated fields. */
    void finish();

private:
    void readNumber(const std::string &key, std::uint64_t highest, std::uint64_t &target);

    YAML::Node map_;
    std::string what_;
    std::vector<Fault> &faults_;
    std::set<std::string> known_;
};

} // namespace GeraniumLever

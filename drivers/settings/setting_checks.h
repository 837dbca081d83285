/** Checked reading of single settings. */
#pragma once

#include "servers/yaml/yaml.h"

namespace GeraniumLever {

/** Each notes a fault if the field is there and is not what its name says; the required ones also if it is absent. */
void readAddress(FieldReader &reader, const std::string &key, std::string &target);
void readRequiredAddress(FieldReader &reader, const std::string &key, std::string &target);
void readPositive(FieldReader &reader, const std::string &key, std::size_t &target);
void readPositive(FieldReader &reader, const std::string &key, Duration &target);

template<typename Tag>
void readRequiredName(FieldReader &reader, const std::string &key, Name<Tag> &target)
{
    reader.require(key);
    reader.read(key, target);
    if (reader.has(key) && !isName(target.text())) {
        reader.fault(key, "must be 1 to 128 letters, digits and . _ - : /");
    }
}

/** The text of a file, or why it cannot be read. */
std::variant<std::string, Fault> readSettingsText(const std::string &path);

} // namespace GeraniumLever

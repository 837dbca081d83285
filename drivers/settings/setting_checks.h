/** Reading and validation of single settings. */
#pragma once

#include "servers/yaml/yaml.h"

namespace GeraniumLever {

/** Each reports a fault if the field is present but invalid; the required ones also if it is missing. */
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

/** Returns the text of a file, or a fault if it cannot be read. */
std::variant<std::string, Fault> readSettingsText(const std::string &path);

} // namespace GeraniumLever

#include "drivers/settings/setting_checks.h"

#include <fstream>
#include <sstream>

namespace GeraniumLever {

void readAddress(FieldReader &reader, const std::string &key, std::string &target)
{
    reader.read(key, target);
    if (reader.has(key) && !isSocketAddress(target)) {
        reader.fault(key, "must have the form a.b.c.d:port");
    }
}

void readRequiredAddress(FieldReader &reader, const std::string &key, std::string &target)
{
    reader.require(key);
    readAddress(reader, key, target);
}

void readPositive(FieldReader &reader, const std::string &key, std::size_t &target)
{
    std::uint64_t value = target;
    reader.read(key, value);
    target = static_cast<std::size_t>(value);
    if (reader.has(key) && value == 0) {
        reader.fault(key, "must be above 0");
    }
}

void readPositive(FieldReader &reader, const std::string &key, Duration &target)
{
    reader.read(key, target);
    if (reader.has(key) && target <= Duration::zero()) {
        reader.fault(key, "must be above 0");
    }
}

std::variant<std::string, Fault> readSettingsText(const std::string &path)
{
    std::ifstream file(path);
    std::stringstream content;
    content << file.rdbuf();
    if (!file.good()) {
        return Fault { 0, path + " cannot be read" };
    }
    return content.str();
}

} // namespace GeraniumLever

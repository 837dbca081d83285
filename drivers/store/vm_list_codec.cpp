#include "drivers/store/vm_list_codec.h"

#include <boost/json.hpp>

namespace GeraniumLever {

namespace json = boost::json;

namespace {

std::optional<std::string> textMember(const json::object &object, std::string_view name)
{
    const json::value *member = object.if_contains(name);
    if (member == nullptr || !member->is_string()) {
        return std::nullopt;
    }
    return std::string(member->get_string());
}

std::optional<VmEntry> decodeEntry(const json::value &value)
{
    const json::object *object = value.if_object();
    if (object == nullptr) {
        return std::nullopt;
    }
    const std::optional<std::string> name = textMember(*object, "name");
    const std::optional<std::string> address = textMember(*object, "address");
    const std::optional<std::string> dataCenter = textMember(*object, "data_center");
    const std::optional<std::string> kind = textMember(*object, "kind");
    const std::optional<std::string> state = textMember(*object, "state");
    if (!name || !address || !dataCenter || !kind || !state) {
        return std::nullopt;
    }
    return VmEntry { *name, *address, DataCenterName(*dataCenter), *kind == "node", *state == "leaving" };
}

} // namespace

std::optional<VmList> decodeVmList(std::string_view text)
{
    boost::system::error_code fault;
    const json::value document = json::parse(text, fault);
    const json::object *object = fault ? nullptr : document.if_object();
    const json::value *vms = object == nullptr ? nullptr : object->if_contains("vms");
    if (vms == nullptr || !vms->is_array()) {
        return std::nullopt;
    }
    VmList list;
    for (const json::value &value : vms->get_array()) {
        std::optional<VmEntry> entry = decodeEntry(value);
        if (!entry) {
            return std::nullopt;
        }
        list.entries.push_back(std::move(*entry));
    }
    return list;
}

} // namespace GeraniumLever

#include "main/geraniumctl/replies.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

namespace GeraniumLever {

namespace {

/** The root object; nullopt if the text is not a JSON object. */
std::optional<boost::json::object> parseObject(const std::string &body)
{
    boost::json::error_code error;
    const boost::json::value value = boost::json::parse(body, error);
    if (error || !value.is_object()) {
        return std::nullopt;
    }
    return value.get_object();
}

std::string textIn(const boost::json::object &object, const char *key)
{
    const boost::json::value *value = object.if_contains(key);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

std::uint64_t numberIn(const boost::json::object &object, const char *key)
{
    const boost::json::value *value = object.if_contains(key);
    boost::json::error_code error;
    const std::uint64_t number = value == nullptr ? 0 : value->to_number<std::uint64_t>(error);
    return error ? 0 : number;
}

bool flagIn(const boost::json::object &object, const char *key, bool defaultValue)
{
    const boost::json::value *value = object.if_contains(key);
    return value != nullptr && value->is_bool() ? value->get_bool() : defaultValue;
}

/** The objects in the array under `key`; empty if there is no such array. */
std::vector<boost::json::object> objectsIn(const boost::json::object &object, const char *key)
{
    std::vector<boost::json::object> objects;
    const boost::json::value *value = object.if_contains(key);
    if (value == nullptr || !value->is_array()) {
        return objects;
    }
    for (const boost::json::value &element : value->get_array()) {
        if (element.is_object()) {
            objects.push_back(element.get_object());
        }
    }
    return objects;
}

NodeReply nodeOf(const boost::json::object &object)
{
    return NodeReply { textIn(object, "node"),           textIn(object, "data_center"), textIn(object, "state"),
                       numberIn(object, "head"),         textIn(object, "digest"),      flagIn(object, "alive", true),
                       flagIn(object, "in_force", false) };
}

std::vector<NodeReply> nodesIn(const boost::json::object &object)
{
    std::vector<NodeReply> nodes;
    for (const boost::json::object &node : objectsIn(object, "nodes")) {
        nodes.push_back(nodeOf(node));
    }
    return nodes;
}

UpstreamReply upstreamOf(const boost::json::object &object)
{
    return UpstreamReply { textIn(object, "name"),
                           textIn(object, "pool"),
                           textIn(object, "data_center"),
                           flagIn(object, "leaving", false),
                           numberIn(object, "in_flight") };
}

} // namespace

std::optional<ErrorReply> readError(const std::string &body)
{
    const std::optional<boost::json::object> root = parseObject(body);
    const boost::json::value *error = root.has_value() ? root->if_contains("error") : nullptr;
    if (error == nullptr || !error->is_object()) {
        return std::nullopt;
    }
    const boost::json::object &object = error->get_object();
    return ErrorReply { static_cast<ResultCode>(numberIn(object, "code")),
                        textIn(object, "name"),
                        textIn(object, "message") };
}

std::optional<std::uint64_t> readAcceptedNumber(const std::string &body)
{
    const std::optional<boost::json::object> root = parseObject(body);
    if (!root.has_value() || numberIn(*root, "number") == 0) {
        return std::nullopt;
    }
    return numberIn(*root, "number");
}

std::optional<TicketReply> readTicket(const std::string &body)
{
    const std::optional<boost::json::object> root = parseObject(body);
    if (!root.has_value() || !root->contains("nodes")) {
        return std::nullopt;
    }
    return TicketReply {
        numberIn(*root, "number"), numberIn(*root, "previous"), textIn(*root, "text"), nodesIn(*root)
    };
}

std::optional<std::vector<NodeReply>> readNodes(const std::string &body)
{
    const std::optional<boost::json::object> root = parseObject(body);
    if (!root.has_value() || !root->contains("nodes")) {
        return std::nullopt;
    }
    return nodesIn(*root);
}

std::optional<StateReply> readState(const std::string &body)
{
    const std::optional<boost::json::object> root = parseObject(body);
    if (!root.has_value() || !root->contains("catalog")) {
        return std::nullopt;
    }
    StateReply state { nodeOf(*root),
                       textIn(*root, "epoch"),
                       flagIn(*root, "caught_up", false),
                       numberIn(*root, "in_flight"),
                       {},
                       textIn(*root, "catalog") };
    for (const boost::json::object &upstream : objectsIn(*root, "upstreams")) {
        state.upstreams.push_back(upstreamOf(upstream));
    }
    return state;
}

std::optional<RequestReply> readRequest(const std::string &body)
{
    const std::optional<boost::json::object> root = parseObject(body);
    if (!root.has_value() || !root->contains("running")) {
        return std::nullopt;
    }
    return RequestReply { textIn(*root, "outcome"), flagIn(*root, "running", false) };
}

std::optional<std::vector<std::string>> readDecisions(const std::string &body)
{
    const std::optional<boost::json::object> root = parseObject(body);
    const boost::json::value *list = root.has_value() ? root->if_contains("decisions") : nullptr;
    if (list == nullptr || !list->is_array()) {
        return std::nullopt;
    }
    std::vector<std::string> lines;
    for (const boost::json::value &line : list->get_array()) {
        if (line.is_string()) {
            lines.emplace_back(line.get_string());
        }
    }
    return lines;
}

} // namespace GeraniumLever

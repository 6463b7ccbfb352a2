#include "settings_reader.hpp"

#include <algorithm>

#include "../base/address.hpp"

namespace deckcart::settings {

using nlohmann::json;

void SettingsReader::refuse(std::string path, std::string reason) {
    refused.push_back({std::move(path), std::move(reason)});
}

const json &SettingsReader::section(const char *name) const {
    static const json none = json::object();
    const auto found = document.find(name);
    return found == document.end() ? none : *found;
}

std::optional<asio::ip::tcp::endpoint> SettingsReader::address(const json &from, const char *name,
                                                               const std::string &path) {
    const auto text = from.at(name).get<std::string>();
    auto parsed = parseAddress(text);
    if (!parsed)
        refuse(path, "'" + text + "' is not HOST:PORT with a numeric host");
    return parsed;
}

int SettingsReader::zone(const json &from, const std::string &path) {
    const auto field = from.find("zone");
    if (field == from.end())
        return 0;
    const auto name = field->get<std::string>();
    if (std::ranges::find(settings.zones, name) == settings.zones.end())
        refuse(path + "/zone", "is not one of /zones");
    return settings.zoneIndex(name);
}

void readField(const json &from, const char *name, Duration &into) {
    if (const auto field = from.find(name); field != from.end())
        into = std::chrono::milliseconds(field->get<std::int64_t>());
}

std::string elementPath(const char *list, std::size_t index) {
    return std::string(list) + "/" + std::to_string(index);
}

}  // namespace deckcart::settings

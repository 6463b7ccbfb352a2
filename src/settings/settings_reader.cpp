#include "settings_reader.hpp"

#include <algorithm>

#include "../base/address.hpp"

namespace deckcart::settings {

using nlohmann::json;

void SettingsReader::refuse(std::string path, std::string reason) {
    refused.push_back({std::move(path), std::move(reason)});
}

const json &SettingsReader::section(const char *name) const {
    static const json emptyObject = json::object();
    const auto found = document.find(name);
    return found == document.end() ? emptyObject : *found;
}

std::optional<asio::ip::tcp::endpoint>
SettingsReader::readAddress(const json &object, const char *name, const std::string &path) {
    const auto text = object.at(name).get<std::string>();
    auto parsed = parseAddress(text);
    if (!parsed)
        refuse(path, "'" + text +
                         "' is not a valid address: must be HOST:PORT, where HOST is an IPv4 "
                         "address, an IPv6 address in brackets or localhost");
    return parsed;
}

int SettingsReader::readZone(const json &object, const std::string &path) {
    const auto field = object.find("zone");
    if (field == object.end())
        return 0;
    const auto name = field->get<std::string>();
    if (std::ranges::find(settings.zones, name) == settings.zones.end())
        refuse(path + "/zone", "must be one of the names in /zones");
    return settings.zoneIndex(name);
}

void readField(const json &object, const char *name, Duration &target) {
    if (const auto field = object.find(name); field != object.end())
        target = std::chrono::milliseconds(field->get<std::int64_t>());
}

std::string elementPath(const char *arrayPath, std::size_t index) {
    return std::string(arrayPath) + "/" + std::to_string(index);
}

}  // namespace deckcart::settings

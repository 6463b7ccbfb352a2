// Reads the settings document section by section. A conflict between two fields is refused by a
// check of the section, with the path of the field that has to be changed.
#include "gateway_settings.hpp"

#include <algorithm>

#include "settings_reader.hpp"

namespace deckcart {

using nlohmann::json;

int tenantIndex(const std::vector<std::string> &tenants, std::string_view name) {
    return tenants.empty() ? 0 : int(std::ranges::find(tenants, name) - tenants.begin());
}

int GatewaySettings::zoneIndex(const std::string &name) const {
    const auto found = std::ranges::find(zones, name);
    return found == zones.end() ? 0 : int(found - zones.begin());
}

ParsedSettings parseSettings(const json &document) {
    ParsedSettings parsed;
    parsed.refused = checkSchema(settingsSchema(), document);
    if (!parsed.refused.empty())
        return parsed;
    settings::SettingsReader reader(document);
    for (const auto readSection :
         {settings::readGateway, settings::readLimits, settings::readUpstream, settings::readRoutes,
          settings::readHeaders, settings::readAllowed, settings::readRules, settings::readAccounts,
          settings::readRelease, settings::readControlPlane, settings::readLogs,
          settings::readSources})
        readSection(reader);
    parsed.refused = std::move(reader.refused);
    if (parsed.refused.empty())
        parsed.settings = std::move(reader.settings);
    return parsed;
}

bool samePolicySettings(const json &left, const json &right) {
    for (const char *path : {"/gateway", "/zones", "/routes", "/accounts", "/allowed", "/rules",
                             "/release", "/upstream/connectWithinMs"}) {
        const json::json_pointer pointer(path);
        if (left.value(pointer, json{}) != right.value(pointer, json{}))
            return false;
    }
    return true;
}

}  // namespace deckcart

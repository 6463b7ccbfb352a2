#include "endpoint_documents.hpp"

#include <cmath>

#include "../control_plane/documents.hpp"

namespace deckcart {
namespace {

using nlohmann::json;

/// An entry without the incarnation, which only a control plane provides.
json toJson(const EndpointEntry &entry, const std::vector<std::string> &zones, TimePoint now) {
    json document = toJson(toListedEndpoint(entry, zones, now));
    document.erase("incarnation");
    return document;
}

json toJson(const membership::Member &member, const std::vector<std::string> &zones,
            TimePoint now) {
    json document = toJson(member.entry, zones, now);
    if (member.priority != membership::kNoPriorityClass)
        document["priority"] = member.priority;
    document["inSet"] = member.inSet;
    document["reason"] = member.reason;
    document["sources"] = member.sources;
    document["state"] = nameOf(member.state);
    document["toldAgoMs"] = milliseconds(member.age);
    document["lifetimeLeftMs"] = milliseconds(member.lifetimeLeft);
    return document;
}

json toJson(const membership::SourceStatus &view, const membership::SourceRule &rule) {
    return {{"name", rule.name},
            {"kind", nameOf(rule.kind)},
            {"state", nameOf(view.state)},
            {"toldAgoMs", milliseconds(view.age)},
            {"lifetimeLeftMs", milliseconds(view.lifetimeLeft)},
            {"listed", view.listed},
            {"heldLosses", view.heldLosses},
            {"toldBy", view.reporter},
            {"fault", view.fault}};
}

json toJson(const membership::SavedSource &source, TimePoint now) {
    json listed = json::array();
    json stops = json::array();
    json withdrawn = json::array();
    for (const auto &[claim, since] : source.listed) {
        json document = toJson(claim.entry, {}, now);
        document["zoneNo"] = claim.entry.zone;
        document["as"] = claim.listedAs;
        document["priority"] = claim.priority;
        document["sinceMs"] = milliseconds(now - since);
        listed.push_back(std::move(document));
    }
    for (const auto &[id, stop] : source.stopNotices) {
        const auto &[state, since] = stop;
        stops.push_back({{"id", id},
                         {"gone", state == EndpointState::removed},
                         {"sinceMs", milliseconds(now - since)}});
    }
    for (const auto &[id, since] : source.withdrawn)
        withdrawn.push_back({{"id", id}, {"sinceMs", milliseconds(now - since)}});
    return {{"name", source.name},
            {"from", source.reporter},
            {"toldAgoMs", milliseconds(now - source.readAt)},
            {"lifetimeMs", milliseconds(source.lifetime)},
            {"listed", std::move(listed)},
            {"stops", std::move(stops)},
            {"withdrawn", std::move(withdrawn)}};
}

Duration durationAt(const json &document, const char *name) {
    return Duration{std::llround(document.at(name).get<double>() * 1000)};
}

/// Reads sources whose ages are relative to `written`, a time on the caller's clock.
struct SavedSourceReader {
    TimePoint written;

    [[nodiscard]] TimePoint timeAt(const json &document, const char *name) const {
        return written - durationAt(document, name);
    }

    [[nodiscard]] membership::Claim claim(const json &document) const {
        const ListedEndpoint endpoint = readListedEndpoint(document);
        membership::Claim claim;
        claim.entry = {endpoint.id,
                       document.at("zoneNo").get<int>(),
                       endpoint.cell,
                       endpoint.build,
                       endpoint.state,
                       endpoint.weight,
                       {}};
        if (endpoint.age)
            claim.entry.startedAt = written - *endpoint.age;
        claim.listedAs = document.at("as").get<std::string>();
        claim.priority = document.at("priority").get<int>();
        return claim;
    }

    [[nodiscard]] membership::SavedSource source(const json &document) const {
        membership::SavedSource source;
        source.name = document.at("name").get<std::string>();
        source.reporter = document.at("from").get<std::string>();
        source.readAt = timeAt(document, "toldAgoMs");
        source.lifetime = durationAt(document, "lifetimeMs");
        for (const auto &listed : document.at("listed"))
            source.listed.emplace_back(claim(listed), timeAt(listed, "sinceMs"));
        for (const auto &stop : document.at("stops"))
            source.stopNotices[stop.at("id").get<std::string>()] = {
                stop.at("gone").get<bool>() ? EndpointState::removed : EndpointState::draining,
                timeAt(stop, "sinceMs")};
        for (const auto &withdrawn : document.at("withdrawn"))
            source.withdrawn[withdrawn.at("id").get<std::string>()] = timeAt(withdrawn, "sinceMs");
        return source;
    }
};

}  // namespace

json toJson(const membership::MergeResult &view, const std::vector<membership::SourceRule> &sources,
            const std::vector<std::string> &zones, TimePoint now) {
    json instances = json::array();
    for (const auto &member : view.members)
        instances.push_back(toJson(member, zones, now));
    json sourceDocuments = json::array();
    for (std::size_t index = 0; index < view.sources.size(); ++index)
        sourceDocuments.push_back(toJson(view.sources[index], sources[index]));
    return {{"instances", std::move(instances)}, {"sources", std::move(sourceDocuments)}};
}

json toJson(const std::vector<membership::SavedSource> &saved, TimePoint now) {
    json documents = json::array();
    for (const auto &source : saved)
        documents.push_back(toJson(source, now));
    return documents;
}

std::vector<membership::SavedSource> readSavedSources(const json &document, TimePoint now,
                                                      Duration passed) {
    const SavedSourceReader reader{now - passed};
    std::vector<membership::SavedSource> sources;
    for (const auto &source : document)
        sources.push_back(reader.source(source));
    return sources;
}

}  // namespace deckcart

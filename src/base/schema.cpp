#include "schema.hpp"

#include <algorithm>
#include <stdexcept>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace deckcart {
namespace {

using Adapter = valijson::adapters::NlohmannJsonAdapter;
using Error = valijson::ValidationResults::Error;

/// The error's context is "<root>", then "[name]" or "[3]".
std::string pointerTo(const Error &error) {
    std::string path;
    for (const auto &step : error.context) {
        if (step.empty() || step.front() != '[')
            continue;
        path += "/" + step.substr(1, step.size() - 2);
    }
    return path;
}

/// The validator reports a fault deep down again for each level above it, in these words: the
/// deepest says it best.
bool isRepeated(const Refusal &refusal, const std::vector<Refusal> &refused) {
    return refusal.reason.starts_with("Failed to validate") &&
           std::ranges::any_of(refused, [&](const Refusal &other) {
               return other.path.size() > refusal.path.size() &&
                      other.path.starts_with(refusal.path + "/");
           });
}

}  // namespace

std::vector<Refusal> checkSchema(const nlohmann::json &schema, const nlohmann::json &document) {
    valijson::Schema parsed;
    valijson::SchemaParser parser;
    try {
        parser.populateSchema(Adapter(schema), parsed);
    } catch (const std::exception &fault) {
        throw std::logic_error(std::string("schema: ") + fault.what());
    }
    valijson::Validator validator;
    valijson::ValidationResults results;
    if (validator.validate(parsed, Adapter(document), &results))
        return {};
    std::vector<Refusal> refused;
    Error error;
    while (results.popError(error))
        refused.push_back({pointerTo(error), error.description});
    std::vector<Refusal> once;
    for (const auto &refusal : refused)
        if (!isRepeated(refusal, refused))
            once.push_back(refusal);
    return once;
}

nlohmann::json toJson(const std::vector<Refusal> &refused) {
    auto list = nlohmann::json::array();
    for (const auto &refusal : refused)
        list.push_back({{"path", refusal.path}, {"reason", refusal.reason}});
    return list;
}

}  // namespace deckcart

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

/// The JSON pointer to the place of an error. valijson gives the place as a list of steps:
/// "<root>", then "[name]" for a field or "[3]" for an array element.
std::string pointerTo(const Error &error) {
    std::string path;
    for (const auto &step : error.context) {
        if (step.empty() || step.front() != '[')
            continue;
        path += "/" + step.substr(1, step.size() - 2);
    }
    return path;
}

/// Whether the refusal only repeats that of a nested field. valijson reports an error in a nested
/// field again for each enclosing level, with this text; the innermost report is the most specific.
bool isRepeated(const ValidationError &refusal, const std::vector<ValidationError> &refused) {
    return refusal.reason.starts_with("Failed to validate") &&
           std::ranges::any_of(refused, [&](const ValidationError &other) {
               return other.path.size() > refusal.path.size() &&
                      other.path.starts_with(refusal.path + "/");
           });
}

}  // namespace

std::vector<ValidationError> checkSchema(const nlohmann::json &schema,
                                         const nlohmann::json &document) {
    valijson::Schema parsedSchema;
    valijson::SchemaParser parser;
    try {
        parser.populateSchema(Adapter(schema), parsedSchema);
    } catch (const std::exception &schemaError) {
        throw std::logic_error(std::string("invalid schema: ") + schemaError.what());
    }
    valijson::Validator validator;
    valijson::ValidationResults results;
    if (validator.validate(parsedSchema, Adapter(document), &results))
        return {};
    std::vector<ValidationError> refused;
    Error error;
    while (results.popError(error))
        refused.push_back({pointerTo(error), error.description});
    std::vector<ValidationError> distinct;
    for (const auto &refusal : refused)
        if (!isRepeated(refusal, refused))
            distinct.push_back(refusal);
    return distinct;
}

nlohmann::json toJson(const std::vector<ValidationError> &refused) {
    auto list = nlohmann::json::array();
    for (const auto &refusal : refused)
        list.push_back({{"path", refusal.path}, {"reason", refusal.reason}});
    return list;
}

}  // namespace deckcart

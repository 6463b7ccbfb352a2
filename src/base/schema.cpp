#include "schema.hpp"

#include <algorithm>
#include <stdexcept>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace deckcart {

std::vector<Refusal> checkSchema(const nlohmann::json &schema, const nlohmann::json &document) {
    using Adapter = valijson::adapters::NlohmannJsonAdapter;
    valijson::Schema parsed;
    valijson::SchemaParser parser;
    try {
        parser.populateSchema(Adapter(schema), parsed);
    } catch (const std::exception &fault) {
        throw std::logic_error(std::string("schema: ") + fault.what());
    }
    valijson::Validator validator;
    valijson::ValidationResults results;
    std::vector<Refusal> refused;
    if (validator.validate(parsed, Adapter(document), &results))
        return refused;
    valijson::ValidationResults::Error error;
    while (results.popError(error)) {
        std::string path;
        for (const auto &step : error.context) {  // "<root>", then "[name]" or "[3]"
            if (step.empty() || step.front() != '[')
                continue;
            path += "/" + step.substr(1, step.size() - 2);
        }
        refused.push_back({path, error.description});
    }
    // A fault deep down is told again by each level above it, in these words: the deepest says it
    // best.
    const auto repeats = [&](const Refusal &one) {
        return one.reason.starts_with("Failed to validate") &&
               std::ranges::any_of(refused, [&](const Refusal &other) {
                   return other.path.size() > one.path.size() &&
                          other.path.starts_with(one.path + "/");
               });
    };
    std::vector<Refusal> told;
    for (const auto &one : refused)
        if (!repeats(one))
            told.push_back(one);
    return told;
}

nlohmann::json toJson(const std::vector<Refusal> &refused) {
    auto list = nlohmann::json::array();
    for (const auto &one : refused)
        list.push_back({{"path", one.path}, {"reason", one.reason}});
    return list;
}

}  // namespace deckcart

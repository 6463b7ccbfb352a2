// Validation of JSON documents against a JSON schema (draft 7) with valijson. Used by all readers
// of documents that operators write.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace deckcart {

/// One violation in a document.
struct ValidationError {
    std::string path;    ///< JSON pointer to the invalid field; empty: the whole document
    std::string reason;  ///< what is wrong, for operators
};

/// Returns the violations; empty if the document matches. Throws std::logic_error if the schema
/// itself is invalid, since schemas are part of the program.
[[nodiscard]] std::vector<ValidationError> checkSchema(const nlohmann::json &schema,
                                                       const nlohmann::json &document);
/// An array of {"path", "reason"} objects.
[[nodiscard]] nlohmann::json toJson(const std::vector<ValidationError> &refused);

}  // namespace deckcart

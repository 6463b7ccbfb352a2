// JSON documents checked by JSON Schema (draft 7) with valijson; what is wrong comes with its
// place. Used by all readers of documents that operators write.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace deckcart {

/// One thing that is wrong with a document.
struct Refusal {
    std::string path;    ///< JSON pointer into the document; empty: the whole
    std::string reason;  ///< for operators
};

/// Empty if the document fits. The schema itself is the program's own: a faulty one throws
/// std::logic_error.
[[nodiscard]] std::vector<Refusal> checkSchema(const nlohmann::json &schema,
                                               const nlohmann::json &document);
/// A list of {"path", "reason"}.
[[nodiscard]] nlohmann::json toJson(const std::vector<Refusal> &refused);

}  // namespace deckcart

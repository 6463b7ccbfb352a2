// JSON documents checked by JSON Schema (draft 7) with the registry's validator; what is wrong
// comes with its place.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace deckcart {

struct Refusal {
    std::string path;  // JSON pointer into the document; empty: the whole
    std::string reason;
};

// Empty if the document fits. The schema itself is the program's own: a faulty one throws
// std::logic_error.
std::vector<Refusal> checkSchema(const nlohmann::json &schema, const nlohmann::json &document);
nlohmann::json toJson(const std::vector<Refusal> &refused);

}  // namespace deckcart

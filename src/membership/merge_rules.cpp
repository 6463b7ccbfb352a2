#include "merge_rules.hpp"

namespace deckcart::membership {

const char *nameOf(SourceKind kind) {
    switch (kind) {
    case SourceKind::controlPlane:
        return "desk";
    case SourceKind::nodes:
        return "nodes";
    case SourceKind::srv:
        return "srv";
    }
    return "srv";
}

}  // namespace deckcart::membership

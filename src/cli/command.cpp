#include "command.hpp"

#include "../base/address.hpp"

namespace deckcart::cli {

CLI::Validator addressValidator() {
    return {[](const std::string &text) {
                return parseAddress(text) ? std::string{} : "'" + text + "' is not HOST:PORT";
            },
            "HOST:PORT"};
}

const std::vector<std::string> &shellFaultNames() {
    static const std::vector<std::string> names{"sends-after-drain", "answers-twice",
                                                "repeats-non-retriable"};
    return names;
}

}  // namespace deckcart::cli

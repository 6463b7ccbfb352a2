#include "request_ids.hpp"

namespace deckcart::platform {

bool OpenNames::open(const std::string &name, Duration now) {
    forget(now);
    return names.insert(name).second;
}
void OpenNames::ended(const std::string &name, Duration now) {
    over.push_back({now, name});
    forget(now);
}
void OpenNames::forget(Duration now) {
    for (; !over.empty() && now - over.front().first > kept; over.pop_front())
        names.erase(over.front().second);
}

}  // namespace deckcart::platform

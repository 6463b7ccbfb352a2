#include "response_history.hpp"

#include <utility>

namespace deckcart {

void ResponseHistory::add(const std::string &requestId, Source source, std::size_t capacity) {
    if (capacity > 0 && entries.try_emplace(requestId, Entry{std::move(source)}).second)
        insertionOrder.push_back(requestId);
    if (insertionOrder.size() > capacity) {
        entries.erase(insertionOrder.front());
        insertionOrder.pop_front();
    }
}

ResponseHistory::Report ResponseHistory::reportIncorrect(const std::string &requestId) {
    const auto found = entries.find(requestId);
    if (found == entries.end())
        return {};
    Entry &entry = found->second;
    if (std::exchange(entry.reported, true))
        return {true, std::nullopt};
    return {true, entry.source};
}

}  // namespace deckcart

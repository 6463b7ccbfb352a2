// The responses that were passed on lately, by the client's request id: a client may report one of
// them as incorrect. Pure.
#pragma once

#include <deckcart/policy.hpp>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace deckcart {

class ResponseHistory {
  public:
    /// Where a response came from.
    struct Source {
        EndpointId endpoint;
        TimePoint sentAt{};  ///< When its attempt was sent.
    };
    struct Report {
        bool known = false;
        /// Set by the first report of a response only: one response is incorrect once.
        std::optional<Source> source;
    };

    /// Keeps the latest `capacity` responses; 0 keeps none. The first response of a request id
    /// stays.
    void add(const std::string &requestId, Source source, std::size_t capacity);
    [[nodiscard]] Report reportIncorrect(const std::string &requestId);

  private:
    struct Entry {
        Source source;
        bool reported = false;
    };
    std::unordered_map<std::string, Entry> entries;
    std::deque<std::string> oldestFirst;
};

}  // namespace deckcart

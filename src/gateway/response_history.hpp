// The most recent responses passed on to clients, by the client's request id, for clients that
// report a response as incorrect.
#pragma once

#include <deckcart/policy.hpp>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace deckcart {

class ResponseHistory {
  public:
    /// The origin of a response.
    struct Source {
        EndpointId endpoint;
        TimePoint sentAt{};  ///< When the attempt was sent.
    };
    struct Report {
        bool known = false;
        /// Set for the first report of a response only: repeated reports are not counted again.
        std::optional<Source> source;
    };

    /// Adds a response; keeps at most `capacity` entries, and none if it is 0. An id that is
    /// already present keeps its first response.
    void add(const std::string &requestId, Source source, std::size_t capacity);
    [[nodiscard]] Report reportIncorrect(const std::string &requestId);

  private:
    struct Entry {
        Source source;
        bool reported = false;
    };
    std::unordered_map<std::string, Entry> entries;
    std::deque<std::string> insertionOrder;
};

}  // namespace deckcart

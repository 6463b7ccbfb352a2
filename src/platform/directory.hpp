// Where instances are: the address that discovery gives beside each id. The module knows ids alone.
#pragma once

#include "documents.hpp"

namespace deckcart::platform {

class Directory {
  public:
    // One stay of an instance at an address: connections of another one are of no use.
    struct Place {
        asio::ip::tcp::endpoint address;
        BuildNumber build = 0;
        std::int64_t startedAtMs = 0;
        bool operator==(const Place &) const = default;
    };
    void note(const Members &told);
    const Place *find(const EndpointId &id) const;

  private:
    std::map<EndpointId, Place> places;
};

}  // namespace deckcart::platform

// The platform's documents as values: the configuration, discovery's lists, the control service's
// news, counts and answers. Pure; bad ones throw std::invalid_argument that names the place.
#pragma once

#include <asio/ip/tcp.hpp>
#include <deckcart/policy.hpp>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>

#include "../simulator/settings_codec.hpp"

namespace deckcart::platform {

// An instance as discovery lists it.
struct Member {
    EndpointEntry entry;  // but for startedAt, which is on the reader's clock
    std::optional<asio::ip::tcp::endpoint> address;  // always there but for one that is gone
    std::int64_t startedAtMs = 0;                    // Unix time; 0: long ago
};
struct Members {
    std::int64_t generation = 0;
    bool complete = false;
    std::vector<Member> members;
};
Members readMembers(const nlohmann::json &from, const std::vector<std::string> &zones);

RolloutUpdate readNews(const nlohmann::json &from);
// A form, as in the event stream: name=value&... Throws where a name is missing or a value can't be
// read.
using Form = std::map<std::string, std::string>;
Form readForm(std::string_view text);
RolloutUpdate readNews(const Form &from);
UsageReport readCounts(const Form &from, const std::vector<std::string> &routes);

// What a call of a vote came back with: status and body. A body that can't be read is
// Outcome::timeout: the vote may have counted.
RolloutUpdate readVoteAnswer(int status, const std::string &body);
std::string voteForm(const Vote &vote);

// Lines of an event stream to whole events.
class EventLines {
  public:
    // The event that this line completes, if any: its name and data.
    std::optional<std::pair<std::string, std::string>> line(std::string_view text);

  private:
    std::string name, data;
};

struct Start {
    std::string name;
    asio::ip::tcp::endpoint listen, discovery, control;
    std::uint64_t seed = 0;
    double cores = 1;
    std::size_t memoryMb = 0, sockets = 0;
    Members known;
    std::optional<RolloutUpdate> news;
    simulator::DeploymentSettings settings;
};
Start readStart(const std::string &text);

}  // namespace deckcart::platform

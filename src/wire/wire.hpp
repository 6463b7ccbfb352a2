// The wire: JSON lines to the module's types and back. No decisions here.
#pragma once

#include <deckcart/policy.hpp>
#include <iosfwd>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace deckcart::wire {

// A line that is not a batch; the text names the field.
struct BadBatch : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct Happened {
    InstanceId who = 0;
    std::vector<Event> events;
};
struct Batch {
    Span now{};
    std::vector<Happened> instances;  // in the order of each one's first event
};

class Reader {
  public:
    Batch read(const std::string &line);

  private:
    std::map<std::int64_t, std::vector<ServerEntry>> lists;  // by number; a new one supersedes the old
};

nlohmann::json write(InstanceId who, const Action &action);

// Reads batches until the end of input, one reply a line; returns the exit status.
int serve(std::istream &in, std::ostream &out, std::ostream &err);

}  // namespace deckcart::wire

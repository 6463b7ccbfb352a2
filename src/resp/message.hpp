// RESP2 messages out of bytes, at any cut, within stated limits: commands as arrays of bulk
// strings, replies as simple strings, errors, integers, bulk strings and arrays of bulk strings.
// Source: the public RESP2 specification. What a command means is its owner's business.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace deckcart::resp {

struct Limits {
    std::size_t items = 16;          // of an array, at least one
    std::size_t bulkBytes = 65536;   // of one bulk string
    std::size_t totalBytes = 72000;  // of all of an array's together
    std::size_t lineBytes = 512;     // of a line, its end left out
};

struct Value {
    enum class Kind { simple, error, integer, bulk, null, array };
    Kind kind = Kind::null;
    std::string text;                               // simple, error, integer, bulk
    std::vector<std::optional<std::string>> items;  // array: bulk strings, empty for null
};

// One message after another. A fault is final: what follows can't be in step.
class Parser {
  public:
    enum class What { command, reply };
    Parser(What kind, Limits most) : what(kind), limits(most) {}

    // Reads up to the end of the present message; returns how many bytes that took.
    std::size_t feed(std::string_view bytes);
    bool begun() const { return state != State::type || inArray || sawCr; }
    bool done() const { return state == State::done; }
    bool faulty() const { return !wrong.empty(); }
    const std::string &fault() const { return wrong; }  // words for the peer; empty: none
    Value take();                                       // the message; the next one may begin
    std::size_t held() const { return bytesHeld; }      // bytes of the present message

  private:
    enum class State { type, line, bulk, bulkEnd, done };
    void completeLine();
    void add(std::optional<std::string> item);
    void fail(const char *words) { wrong = words; }
    // Digits alone, or -1 where null is allowed.
    std::optional<std::int64_t> length(bool mayBeNull) const;

    What what;
    Limits limits;
    State state = State::type;
    std::string line, wrong, bulk;
    std::size_t bulkLeft = 0, itemsLeft = 0, bytesHeld = 0, endSeen = 0;
    bool inArray = false, sawCr = false;
    Value value;
};

std::string bulk(std::string_view text);
std::string
error(std::string_view words);  // with the leading - and the line's end; ends in words are cut
std::string command(const std::vector<std::string> &args);

}  // namespace deckcart::resp

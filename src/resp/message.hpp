// RESP2 messages out of bytes, at any cut, within stated limits, for the connections of both sides:
// commands as arrays of bulk strings, replies as simple strings, errors, integers, bulk strings and
// arrays of bulk strings. Source: the public RESP2 specification.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace deckcart::resp {

/// Bounds of one message.
struct Limits {
    std::size_t items = 16;          ///< of an array, at least one
    std::size_t bulkBytes = 65536;   ///< of one bulk string
    std::size_t totalBytes = 72000;  ///< of all of an array's together
    std::size_t lineBytes = 512;     ///< of a line, its end left out
};

/// One whole message.
struct Value {
    enum class Kind { simple, error, integer, bulk, null, array };
    Kind kind = Kind::null;
    std::string text;                               ///< simple, error, integer, bulk
    std::vector<std::optional<std::string>> items;  ///< array: bulk strings, empty for null
};

/// Reads one message after another. A fault is final: what follows can't be in step.
class Parser {
  public:
    enum class What { command, reply };
    Parser(What messageKind, Limits messageLimits) : kind(messageKind), limits(messageLimits) {}

    /// Reads up to the end of the present message; returns how many bytes that took.
    std::size_t feed(std::string_view bytes);
    bool begun() const { return state != State::type || inArray || crSeen; }
    bool done() const { return state == State::done; }
    bool faulty() const { return !faultText.empty(); }
    /// What is wrong, as the peer is told; empty: nothing.
    const std::string &fault() const { return faultText; }
    /// The whole message; the next one may begin.
    Value take();
    /// Bytes of the present message's bulk strings.
    std::size_t held() const { return heldBytes; }

  private:
    enum class State { type, line, bulk, bulkEnd, done };

    std::size_t readBulk(std::string_view bytes);
    void readBulkEndByte(char byte);
    void readLineByte(char byte);
    void completeLine();
    void completeScalar(char type);
    void beginArray(std::int64_t stated);
    void beginBulk(std::int64_t stated);
    void beginBulkEnd();
    void add(std::optional<std::string> item);
    void fail(const char *message) { faultText = message; }
    std::string_view expectedTypes() const;
    /// Digits alone, or kNullLength where null is allowed.
    std::optional<std::int64_t> length(bool mayBeNull) const;

    What kind;
    Limits limits;
    State state = State::type;
    std::string line;
    std::string faultText;
    std::string bulk;
    std::size_t bulkLeft = 0;
    std::size_t itemsLeft = 0;
    std::size_t heldBytes = 0;
    std::size_t lineEndBytesSeen = 0;
    bool inArray = false;
    bool crSeen = false;
    Value value;
};

std::string bulk(std::string_view text);
/// With the leading - and the line's end; a line's end within the text cuts it.
std::string error(std::string_view text);
std::string command(const std::vector<std::string> &args);

}  // namespace deckcart::resp

// Incremental parser and serialization of RESP2 messages, for server and client connections.
// Commands are arrays of bulk strings; replies are simple strings, errors, integers, bulk strings
// or arrays of bulk strings. Source: the public RESP2 specification.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace deckcart::resp {

/// Limits of one message.
struct Limits {
    std::size_t items = 16;          ///< elements of an array (minimum 1)
    std::size_t bulkBytes = 65536;   ///< length of one bulk string
    std::size_t totalBytes = 72000;  ///< length of all bulk strings of an array together
    std::size_t lineBytes = 512;     ///< length of a line without CR LF
};

/// One complete message.
struct Value {
    enum class Kind { simple, error, integer, bulk, null, array };
    Kind kind = Kind::null;
    std::string text;  ///< of a simple string, error, integer or bulk string
    std::vector<std::optional<std::string>> items;  ///< of an array; nullopt: null bulk string
};

/// Parses one message after another. After a fault the parser can't be used further, since message
/// boundaries are unknown.
class Parser {
  public:
    enum class What { command, reply };
    Parser(What messageKind, Limits messageLimits) : kind(messageKind), limits(messageLimits) {}

    /// Reads up to the end of the current message or up to a fault and returns the number of bytes
    /// consumed.
    std::size_t feed(std::string_view bytes);
    /// True once a byte of the current message was read.
    bool started() const { return state != State::type || inArray || crSeen; }
    /// True if a complete message can be fetched by take().
    bool done() const { return state == State::done; }
    bool faulty() const { return !faultText.empty(); }
    /// Error text for the peer; empty if there is no fault.
    const std::string &fault() const { return faultText; }
    /// Returns the complete message and prepares for the next one.
    Value take();
    /// Number of bytes read of the current message's bulk strings.
    std::size_t bufferedBytes() const { return bufferedByteCount; }

  private:
    enum class State { type, line, bulk, bulkEnd, done };

    std::size_t readBulk(std::string_view bytes);
    void readBulkEndByte(char byte);
    void readLineByte(char byte);
    void completeLine();
    void completeScalar(char type);
    void beginArray(std::int64_t declaredLength);
    void beginBulk(std::int64_t declaredLength);
    void beginBulkEnd();
    void add(std::optional<std::string> item);
    void fail(const char *message) { faultText = message; }
    std::string_view expectedTypes() const;
    /// The length in `line`: digits only, or kNullLength where null is allowed; nullopt if invalid.
    std::optional<std::int64_t> parseLength(bool allowNull) const;

    What kind;
    Limits limits;
    State state = State::type;
    std::string line;
    std::string faultText;
    std::string bulk;
    std::size_t bulkBytesLeft = 0;
    std::size_t itemsLeft = 0;
    std::size_t bufferedByteCount = 0;
    std::size_t lineEndBytesSeen = 0;
    bool inArray = false;
    bool crSeen = false;
    Value value;
};

/// Serializes a bulk string.
std::string bulk(std::string_view text);
/// Serializes an error. The text is cut at the first CR or LF.
std::string error(std::string_view text);
/// Serializes a command as an array of bulk strings.
std::string command(const std::vector<std::string> &args);

}  // namespace deckcart::resp

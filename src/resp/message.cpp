#include "message.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace deckcart::resp {

namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr char kSimpleType = '+';
constexpr char kErrorType = '-';
constexpr char kIntegerType = ':';
constexpr char kArrayType = '*';
constexpr unsigned char kFirstPrintable = 0x20;
// Enough for the type byte and the digits of any 64-bit number.
constexpr std::size_t kMaxNumberLineBytes = 24;
constexpr std::int64_t kNullLength = -1;

bool isInteger(std::string_view text) {
    if (text.starts_with('-'))
        text.remove_prefix(1);
    return !text.empty() && text.find_first_not_of("0123456789") == std::string_view::npos;
}

}  // namespace

std::size_t Parser::feed(std::string_view bytes) {
    std::size_t consumed = 0;
    while (consumed < bytes.size() && !done() && !faulty()) {
        if (state == State::bulk)
            consumed += readBulk(bytes.substr(consumed));
        else if (state == State::bulkEnd)
            readBulkEndByte(bytes[consumed++]);
        else
            readLineByte(bytes[consumed++]);
    }
    return consumed;
}

std::size_t Parser::readBulk(std::string_view bytes) {
    const auto part = std::min(bulkBytesLeft, bytes.size());
    bulk.append(bytes.substr(0, part));
    bulkBytesLeft -= part;
    bufferedByteCount += part;
    if (bulkBytesLeft == 0)
        beginBulkEnd();
    return part;
}

void Parser::beginBulkEnd() {
    state = State::bulkEnd;
    lineEndBytesSeen = 0;
}

void Parser::readBulkEndByte(char byte) {
    if (byte != kLineEnd[lineEndBytesSeen])
        fail("a value does not end where its length says");
    else if (++lineEndBytesSeen == kLineEnd.size())
        add(std::exchange(bulk, {}));
}

void Parser::readLineByte(char byte) {
    if (crSeen) {
        if (byte != '\n')
            return fail("a line is not ended by CR LF");
        crSeen = false;
        return completeLine();
    }
    if (byte == '\r') {
        crSeen = true;
        return;
    }
    if (line.empty()) {
        state = State::line;
        if (expectedTypes().find(byte) == std::string_view::npos)
            return fail(inArray ? "expected a bulk string" : "expected an array of bulk strings");
    }
    const bool isText = line.empty() || line[0] == kSimpleType || line[0] == kErrorType;
    if (static_cast<unsigned char>(byte) < kFirstPrintable && !(isText && byte == '\t'))
        return fail("a line holds a control character");
    if (line.size() > (isText ? limits.lineBytes : kMaxNumberLineBytes))
        return fail("a line is too long");
    line.push_back(byte);
}

std::string_view Parser::expectedTypes() const {
    if (inArray)
        return "$";
    return kind == What::command ? "*" : "+-:$*";
}

std::optional<std::int64_t> Parser::parseLength(bool allowNull) const {
    const std::string_view digits = std::string_view(line).substr(1);
    if (digits == "-1" && allowNull)
        return kNullLength;
    std::int64_t number = 0;
    const char *const end = digits.data() + digits.size();
    const auto [stop, fault] = std::from_chars(digits.data(), end, number);
    const bool isValid = !digits.empty() && digits[0] != '-' && stop == end;
    if (fault != std::errc{} || !isValid)
        return std::nullopt;
    return number;
}

void Parser::completeLine() {
    if (line.empty())
        return fail("an empty line");
    const char type = line[0];
    if (type == kSimpleType || type == kErrorType || type == kIntegerType)
        return completeScalar(type);
    const auto declaredLength = parseLength(kind == What::reply);
    if (!declaredLength)
        return fail("a length that is none");
    line.clear();
    if (type == kArrayType)
        beginArray(*declaredLength);
    else
        beginBulk(*declaredLength);
}

void Parser::completeScalar(char type) {
    value.text = line.substr(1);
    if (type == kSimpleType) {
        value.kind = Value::Kind::simple;
    } else if (type == kErrorType) {
        value.kind = Value::Kind::error;
    } else {
        value.kind = Value::Kind::integer;
        if (!isInteger(value.text))
            return fail("an integer that is none");
    }
    state = State::done;
}

void Parser::beginArray(std::int64_t declaredLength) {
    if (declaredLength == kNullLength) {
        state = State::done;
        return;
    }
    if (declaredLength == 0 || std::size_t(declaredLength) > limits.items)
        return fail("an array of too few or too many");
    inArray = true;
    itemsLeft = std::size_t(declaredLength);
    value.kind = Value::Kind::array;
    state = State::type;
}

void Parser::beginBulk(std::int64_t declaredLength) {
    if (declaredLength == kNullLength)
        return add(std::nullopt);
    const auto size = std::size_t(declaredLength);
    if (size > limits.bulkBytes || bufferedByteCount + size > limits.totalBytes)
        return fail("a value is too long");
    bulkBytesLeft = size;
    if (bulkBytesLeft > 0)
        state = State::bulk;
    else
        beginBulkEnd();
}

void Parser::add(std::optional<std::string> item) {
    if (inArray) {
        value.items.push_back(std::move(item));
        --itemsLeft;
        state = itemsLeft == 0 ? State::done : State::type;
        return;
    }
    value.kind = item ? Value::Kind::bulk : Value::Kind::null;
    if (item)
        value.text = std::move(*item);
    state = State::done;
}

Value Parser::take() {
    Value result = std::move(value);
    value = {};
    line.clear();
    bulk.clear();
    state = State::type;
    inArray = false;
    crSeen = false;
    bufferedByteCount = 0;
    return result;
}

std::string bulk(std::string_view text) {
    std::string encoded = "$" + std::to_string(text.size()) + "\r\n";
    encoded.append(text).append(kLineEnd);
    return encoded;
}

std::string error(std::string_view text) {
    return "-" + std::string(text.substr(0, text.find_first_of("\r\n"))) + "\r\n";
}

std::string command(const std::vector<std::string> &args) {
    std::string encoded = "*" + std::to_string(args.size()) + "\r\n";
    for (const auto &arg : args)
        encoded += bulk(arg);
    return encoded;
}

}  // namespace deckcart::resp

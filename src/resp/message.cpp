#include "message.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace deckcart::resp {

std::size_t Parser::feed(std::string_view bytes) {
    std::size_t used = 0;
    while (used < bytes.size() && !done() && !faulty()) {
        if (state == State::bulk) {
            const auto n = std::min(bulkLeft, bytes.size() - used);
            bulk.append(bytes.substr(used, n));
            used += n, bulkLeft -= n, bytesHeld += n;
            if (bulkLeft == 0)
                state = State::bulkEnd, endSeen = 0;
            continue;
        }
        const char c = bytes[used++];
        if (state == State::bulkEnd) {
            if (c != "\r\n"[endSeen])
                fail("a value does not end where its length says");
            else if (++endSeen == 2)
                add(std::exchange(bulk, {}));
            continue;
        }
        if (sawCr) {
            if (c != '\n')
                fail("a line is not ended by CR LF");
            else
                sawCr = false, completeLine();
            continue;
        }
        if (c == '\r') {
            sawCr = true;
            continue;
        }
        if (line.empty()) {
            state = State::line;
            const std::string_view types = what == What::command ? (inArray ? "$" : "*")
                                           : inArray             ? "$"
                                                                 : "+-:$*";
            if (types.find(c) == std::string_view::npos) {
                fail(inArray ? "expected a bulk string" : "expected an array of bulk strings");
                continue;
            }
        }
        const bool words = line.empty() || line[0] == '+' || line[0] == '-';
        if (static_cast<unsigned char>(c) < 0x20 && !(words && c == '\t'))
            fail("a line holds a control character");
        else if (line.size() > (words ? limits.lineBytes : 24))
            fail("a line is too long");
        else
            line.push_back(c);
    }
    return used;
}

std::optional<std::int64_t> Parser::length(bool mayBeNull) const {
    const std::string_view digits = std::string_view(line).substr(1);
    if (digits == "-1" && mayBeNull)
        return -1;
    std::int64_t n = 0;
    const auto [end, bad] = std::from_chars(digits.data(), digits.data() + digits.size(), n);
    const bool plain = !digits.empty() && digits[0] != '-' && end == digits.data() + digits.size();
    if (bad != std::errc{} || !plain)
        return std::nullopt;
    return n;
}

void Parser::completeLine() {
    if (line.empty())
        return fail("an empty line");
    const char type = line[0];
    const bool reply = what == What::reply;
    if (type == '+' || type == '-' || type == ':') {
        value.kind = type == '+'   ? Value::Kind::simple
                     : type == '-' ? Value::Kind::error
                                   : Value::Kind::integer;
        value.text = line.substr(1);
        const auto digits = std::string_view(value.text).substr(value.text.starts_with('-'));
        if (type == ':' &&
            (digits.empty() || digits.find_first_not_of("0123456789") != std::string_view::npos))
            return fail("an integer that is none");
        state = State::done;
        return;
    }
    const auto n = length(reply);
    if (!n)
        return fail("a length that is none");
    line.clear();
    if (type == '*') {
        if (*n < 0)
            return void(state = State::done);  // a null array
        if (*n == 0 || std::size_t(*n) > limits.items)
            return fail("an array of too few or too many");
        inArray = true, itemsLeft = std::size_t(*n), value.kind = Value::Kind::array;
        state = State::type;
        return;
    }
    if (*n < 0)
        return add(std::nullopt);
    if (std::size_t(*n) > limits.bulkBytes || bytesHeld + std::size_t(*n) > limits.totalBytes)
        return fail("a value is too long");
    bulkLeft = std::size_t(*n), endSeen = 0;
    state = bulkLeft > 0 ? State::bulk : State::bulkEnd;
}

void Parser::add(std::optional<std::string> item) {
    if (inArray) {
        value.items.push_back(std::move(item));
        state = --itemsLeft == 0 ? State::done : State::type;
        return;
    }
    value.kind = item ? Value::Kind::bulk : Value::Kind::null;
    if (item)
        value.text = std::move(*item);
    state = State::done;
}

Value Parser::take() {
    Value out = std::move(value);
    value = {}, line.clear(), bulk.clear();
    state = State::type, inArray = sawCr = false, bytesHeld = 0;
    return out;
}

std::string bulk(std::string_view text) {
    std::string out = "$" + std::to_string(text.size()) + "\r\n";
    out.append(text).append("\r\n");
    return out;
}
std::string error(std::string_view words) {
    return "-" + std::string(words.substr(0, words.find_first_of("\r\n"))) + "\r\n";
}
std::string command(const std::vector<std::string> &args) {
    std::string out = "*" + std::to_string(args.size()) + "\r\n";
    for (const auto &arg : args)
        out += bulk(arg);
    return out;
}

}  // namespace deckcart::resp

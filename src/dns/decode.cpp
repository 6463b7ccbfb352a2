// Decodes DNS messages (RFC 1035, 4.1).
#include <algorithm>
#include <cstring>

#include "ldns_pointers.hpp"
#include "message.hpp"

namespace deckcart::dns {
namespace {

// Offsets of the header's fields (RFC 1035, 4.1.1).
constexpr std::size_t kHeaderBytes = 12;
constexpr std::size_t kQuestionCountOffset = 4;
constexpr std::size_t kAnswerCountOffset = 6;
constexpr std::size_t kAuthorityCountOffset = 8;
constexpr std::size_t kAdditionalCountOffset = 10;

// Reads an integer in network byte order.
template <class Number>
Number readBigEndian(const std::uint8_t *bytes) {
    Number value = 0;
    for (std::size_t k = 0; k < sizeof(Number); ++k)
        value = Number((value << 8) | bytes[k]);
    return value;
}

std::size_t readCount(const std::uint8_t *header, std::size_t offset) {
    return readBigEndian<std::uint16_t>(header + offset);
}

// Reads a name label by label. Empty if a label contains a character that host and service names
// don't have.
std::string readName(const ldns_rdf *field) {
    const auto *bytes = ldns_rdf_data(field);
    const std::size_t size = ldns_rdf_size(field);
    std::string name;
    std::ptrdiff_t labels = 0;
    for (std::size_t k = 0; k < size && bytes[k] != 0; ++labels) {
        const std::size_t label = bytes[k];
        if (label > kMaxLabelBytes || k + 1 + label > size)
            return {};
        name.append(reinterpret_cast<const char *>(bytes + k + 1), label);
        name += '.';
        k += 1 + label;
    }
    if (name.empty())
        return ".";
    // Rejects a label that contains a dot: as text it would be a different name.
    if (std::ranges::count(name, '.') != labels)
        return {};
    return canonicalName(name);
}

// Access to the data fields of a record; a field that is missing or has another size is null.
class RecordFields {
  public:
    explicit RecordFields(const ldns_rr *rr) : record(rr), count(ldns_rr_rd_count(rr)) {}
    const ldns_rdf *field(std::size_t index) const {
        return index < count ? ldns_rr_rdf(record, index) : nullptr;
    }
    const std::uint8_t *bytes(std::size_t index, std::size_t size) const {
        const auto *found = field(index);
        return found && ldns_rdf_size(found) == size ? ldns_rdf_data(found) : nullptr;
    }

  private:
    const ldns_rr *record;
    std::size_t count;
};

template <class Address>
std::optional<RecordData> readAddress(const RecordFields &fields) {
    typename Address::bytes_type raw;
    const auto *bytes = fields.bytes(0, raw.size());
    if (!bytes)
        return std::nullopt;
    std::memcpy(raw.data(), bytes, raw.size());
    return asio::ip::address(Address(raw));
}

std::optional<RecordData> readAlias(const RecordFields &fields) {
    if (!fields.field(0))
        return std::nullopt;
    Cname alias{readName(fields.field(0))};
    if (alias.target.empty())
        return std::nullopt;
    return alias;
}

std::optional<RecordData> readSoa(const RecordFields &fields) {
    constexpr std::size_t kMinimumIndex = 6;  // the last field (RFC 1035, 3.3.13)
    const auto *minimum = fields.bytes(kMinimumIndex, sizeof(std::uint32_t));
    if (!minimum)
        return std::nullopt;
    return Soa{readBigEndian<std::uint32_t>(minimum)};
}

std::optional<RecordData> readSrv(const RecordFields &fields) {
    const auto *priority = fields.bytes(0, sizeof(std::uint16_t));
    const auto *weight = fields.bytes(1, sizeof(std::uint16_t));
    const auto *port = fields.bytes(2, sizeof(std::uint16_t));
    const auto *target = fields.field(3);
    if (!priority || !weight || !port || !target)
        return std::nullopt;
    Srv srv{readBigEndian<std::uint16_t>(priority), readBigEndian<std::uint16_t>(weight),
            readBigEndian<std::uint16_t>(port), readName(target)};
    if (srv.target.empty())
        return std::nullopt;
    return srv;
}

// Empty for unsupported types and for malformed data.
std::optional<RecordData> readData(const ldns_rr *record) {
    const RecordFields fields(record);
    switch (ldns_rr_get_type(record)) {
    case LDNS_RR_TYPE_A:
        return readAddress<asio::ip::address_v4>(fields);
    case LDNS_RR_TYPE_AAAA:
        return readAddress<asio::ip::address_v6>(fields);
    case LDNS_RR_TYPE_CNAME:
        return readAlias(fields);
    case LDNS_RR_TYPE_SOA:
        return readSoa(fields);
    case LDNS_RR_TYPE_SRV:
        return readSrv(fields);
    default:
        return std::nullopt;
    }
}

// Reads the record at `offset` and advances the offset past it; null if ldns can't read it.
RecordPointer readRecord(const std::uint8_t *bytes, std::size_t size, std::size_t &offset,
                         ldns_pkt_section section, ldns_status &status) {
    ldns_rr *raw = nullptr;
    status = ldns_wire2rr(&raw, bytes, size, &offset, section);
    return RecordPointer(status == LDNS_STATUS_OK ? raw : nullptr);
}

// Reads the records one by one: the message parser of ldns drops a record if a message has two of a
// kind that is allowed once.
ldns_status readSection(const std::uint8_t *bytes, std::size_t size, std::size_t &offset,
                        std::size_t count, std::vector<Record> &records) {
    for (std::size_t k = 0; k < count; ++k) {
        ldns_status status = LDNS_STATUS_OK;
        const auto record = readRecord(bytes, size, offset, LDNS_SECTION_ANSWER, status);
        if (!record)
            return status;
        if (ldns_rr_get_class(record.get()) != LDNS_RR_CLASS_IN)
            continue;
        auto data = readData(record.get());
        std::string owner = readName(ldns_rr_owner(record.get()));
        if (!data || owner.empty())
            continue;
        const std::uint32_t seconds = ldns_rr_ttl(record.get());
        const bool highestBitSet = (seconds >> 31) != 0;
        records.push_back({std::move(owner), highestBitSet ? 0 : seconds, std::move(*data)});
    }
    return LDNS_STATUS_OK;
}

Message readHeader(const std::uint8_t *bytes) {
    Message message;
    message.id = readBigEndian<std::uint16_t>(bytes);
    message.reply = (bytes[2] & 0x80) != 0;
    message.authoritative = (bytes[2] & 0x04) != 0;
    message.truncated = (bytes[2] & 0x02) != 0;
    message.recursionDesired = (bytes[2] & 0x01) != 0;
    message.code = bytes[3] & 0x0f;
    return message;
}

// Returns why the question can't be read; empty on success.
std::string readQuestion(const std::uint8_t *bytes, std::size_t size, std::size_t &offset,
                         std::optional<Question> &question) {
    ldns_status status = LDNS_STATUS_OK;
    const auto record = readRecord(bytes, size, offset, LDNS_SECTION_QUESTION, status);
    if (!record)
        return ldns_get_errorstr_by_id(status);
    std::string name = readName(ldns_rr_owner(record.get()));
    if (name.empty() || ldns_rr_get_class(record.get()) != LDNS_RR_CLASS_IN)
        return "the question has an unsupported name or class";
    question = Question{std::move(name), static_cast<RecordType>(ldns_rr_get_type(record.get()))};
    return {};
}

}  // namespace

Decoded decode(const std::uint8_t *bytes, std::size_t size) {
    if (size < kHeaderBytes)
        return {{}, "the message is shorter than its header"};
    // Checks the counts before ldns reads the message: it allocates memory according to them, and a
    // hostile message can claim any number.
    const std::size_t counts[] = {readCount(bytes, kAnswerCountOffset),
                                  readCount(bytes, kAuthorityCountOffset),
                                  readCount(bytes, kAdditionalCountOffset)};
    if (counts[0] + counts[1] + counts[2] > kMaxRecords)
        return {{}, "the message has too many records"};
    if ((bytes[2] >> 3 & 0x0f) != LDNS_PACKET_QUERY)
        return {{}, "the message is not a query or a reply to one"};
    Message message = readHeader(bytes);
    std::size_t offset = kHeaderBytes;
    const std::size_t questions = readCount(bytes, kQuestionCountOffset);
    if (questions > 1)
        return {{}, "the message has more than one question"};
    if (questions == 1) {
        std::string fault = readQuestion(bytes, size, offset, message.question);
        if (!fault.empty())
            return {{}, std::move(fault)};
    }
    std::vector<Record> *sections[] = {&message.answers, &message.authority, &message.additional};
    for (std::size_t k = 0; k < std::size(sections); ++k) {
        const auto status = readSection(bytes, size, offset, counts[k], *sections[k]);
        if (status == LDNS_STATUS_OK)
            continue;
        if (!message.truncated)
            return {{}, ldns_get_errorstr_by_id(status)};
        // A truncated message may end inside a record. Its header and question are still valid and
        // tell the caller to repeat the question over TCP.
        for (auto *section : sections)
            section->clear();
        break;
    }
    return {std::move(message), {}};
}

}  // namespace deckcart::dns

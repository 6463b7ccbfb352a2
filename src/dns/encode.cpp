// Encodes DNS messages (RFC 1035, 4.1).
#include <cstdlib>
#include <stdexcept>

#include "ldns_pointers.hpp"
#include "message.hpp"

namespace deckcart::dns {
namespace {

struct BytesDeleter {
    void operator()(std::uint8_t *bytes) const { std::free(bytes); }
};
using BytesPointer = std::unique_ptr<std::uint8_t, BytesDeleter>;

ldns_rdf *nameField(const std::string &name) {
    ldns_rdf *field = ldns_dname_new_frm_str(name.c_str());
    if (!field)
        throw std::invalid_argument("not a valid DNS name: " + name);
    return field;
}

// Writes an integer in network byte order.
template <class Number>
ldns_rdf *numberField(ldns_rdf_type type, Number value) {
    std::uint8_t raw[sizeof(Number)];
    for (std::size_t k = 0; k < sizeof(Number); ++k)
        raw[k] = std::uint8_t(value >> (8 * (sizeof(Number) - 1 - k)));
    return ldns_rdf_new_frm_data(type, sizeof(Number), raw);
}

void writeData(ldns_rr *record, const Srv &srv) {
    ldns_rr_set_type(record, LDNS_RR_TYPE_SRV);
    for (const std::uint16_t value : {srv.priority, srv.weight, srv.port})
        ldns_rr_push_rdf(record, numberField(LDNS_RDF_TYPE_INT16, value));
    ldns_rr_push_rdf(record, nameField(srv.target));
}

void writeData(ldns_rr *record, const Cname &alias) {
    ldns_rr_set_type(record, LDNS_RR_TYPE_CNAME);
    ldns_rr_push_rdf(record, nameField(alias.target));
}

void writeData(ldns_rr *record, const Soa &soa) {
    // MNAME, RNAME, SERIAL, then REFRESH, RETRY and EXPIRE; none of them is used.
    constexpr std::uint32_t kSerial = 1;
    constexpr std::uint32_t kUnusedPeriod = 3600;
    ldns_rr_set_type(record, LDNS_RR_TYPE_SOA);
    ldns_rr_push_rdf(record, nameField("."));
    ldns_rr_push_rdf(record, nameField("."));
    ldns_rr_push_rdf(record, numberField(LDNS_RDF_TYPE_INT32, kSerial));
    for (int k = 0; k < 3; ++k)
        ldns_rr_push_rdf(record, numberField(LDNS_RDF_TYPE_PERIOD, kUnusedPeriod));
    ldns_rr_push_rdf(record, numberField(LDNS_RDF_TYPE_PERIOD, soa.negativeTtlSeconds));
}

template <class Address>
void writeAddress(ldns_rr *record, ldns_rr_type type, ldns_rdf_type fieldType,
                  const Address &address) {
    const auto raw = address.to_bytes();
    ldns_rr_set_type(record, type);
    ldns_rr_push_rdf(record, ldns_rdf_new_frm_data(fieldType, raw.size(), raw.data()));
}

void writeData(ldns_rr *record, const asio::ip::address &address) {
    if (address.is_v4())
        writeAddress(record, LDNS_RR_TYPE_A, LDNS_RDF_TYPE_A, address.to_v4());
    else
        writeAddress(record, LDNS_RR_TYPE_AAAA, LDNS_RDF_TYPE_AAAA, address.to_v6());
}

RecordPointer writeRecord(const Record &record) {
    RecordPointer written(ldns_rr_new());
    ldns_rr_set_owner(written.get(), nameField(record.owner));
    ldns_rr_set_ttl(written.get(), record.ttlSeconds);
    ldns_rr_set_class(written.get(), LDNS_RR_CLASS_IN);
    std::visit([&](const auto &data) { writeData(written.get(), data); }, record.data);
    return written;
}

RecordPointer writeQuestion(const Question &question) {
    RecordPointer written(ldns_rr_new());
    ldns_rr_set_question(written.get(), true);
    ldns_rr_set_owner(written.get(), nameField(question.name));
    ldns_rr_set_type(written.get(), static_cast<ldns_rr_type>(question.type));
    ldns_rr_set_class(written.get(), LDNS_RR_CLASS_IN);
    return written;
}

// Transfers ownership of the encoded records to the packet.
void writeSection(ldns_pkt *packet, ldns_pkt_section section, const std::vector<Record> &records) {
    for (const auto &record : records)
        ldns_pkt_push_rr(packet, section, writeRecord(record).release());
}

}  // namespace

std::vector<std::uint8_t> encode(const Message &message, bool edns) {
    const PacketPointer owned(ldns_pkt_new());
    ldns_pkt *packet = owned.get();
    ldns_pkt_set_id(packet, message.id);
    ldns_pkt_set_qr(packet, message.reply);
    ldns_pkt_set_tc(packet, message.truncated);
    ldns_pkt_set_aa(packet, message.authoritative);
    ldns_pkt_set_rd(packet, message.recursionDesired);
    ldns_pkt_set_rcode(packet, message.code);
    if (edns)
        ldns_pkt_set_edns_udp_size(packet, kMaxUdpMessageBytes);
    if (message.question)
        ldns_pkt_push_rr(packet, LDNS_SECTION_QUESTION, writeQuestion(*message.question).release());
    writeSection(packet, LDNS_SECTION_ANSWER, message.answers);
    writeSection(packet, LDNS_SECTION_AUTHORITY, message.authority);
    writeSection(packet, LDNS_SECTION_ADDITIONAL, message.additional);
    std::uint8_t *wire = nullptr;
    std::size_t size = 0;
    const auto status = ldns_pkt2wire(&wire, packet, &size);
    const BytesPointer ownedWire(wire);
    if (status != LDNS_STATUS_OK)
        throw std::invalid_argument(ldns_get_errorstr_by_id(status));
    return {wire, wire + size};
}

}  // namespace deckcart::dns

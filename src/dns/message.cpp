#include "message.hpp"

#include <ldns/ldns.h>

#include <algorithm>
#include <cstring>
#include <memory>
#include <stdexcept>

namespace deckcart::dns {
namespace {

struct PacketFree {
    void operator()(ldns_pkt *p) const { ldns_pkt_free(p); }
};
using Packet = std::unique_ptr<ldns_pkt, PacketFree>;

template <class T>
T number(const std::uint8_t *from) {
    T value = 0;
    for (std::size_t k = 0; k < sizeof(T); ++k)
        value = T((value << 8) | from[k]);
    return value;
}

// From the bytes of a name, label by label; empty where a label holds what no host or service name
// has.
std::string nameIn(const ldns_rdf *field) {
    const auto *at = ldns_rdf_data(field);
    const std::size_t size = ldns_rdf_size(field);
    std::string name;
    for (std::size_t k = 0; k < size && at[k] != 0;) {
        const std::size_t label = at[k];
        if (label > 63 || k + 1 + label > size)
            return {};
        name.append(reinterpret_cast<const char *>(at + k + 1), label);
        name += '.';
        k += 1 + label;
    }
    if (name.empty())
        return ".";
    const auto dots = std::ranges::count(name, '.');
    const std::string canonical = canonicalName(name);
    // A dot inside a label would read as another name.
    std::ptrdiff_t labels = 0;
    for (std::size_t k = 0; k < size && at[k] != 0; k += 1u + at[k])
        ++labels;
    return dots == labels ? canonical : std::string{};
}

std::optional<RecordData> dataIn(const ldns_rr *rr) {
    const std::size_t fields = ldns_rr_rd_count(rr);
    const auto field = [&](std::size_t k) -> const ldns_rdf * {
        return k < fields ? ldns_rr_rdf(rr, k) : nullptr;
    };
    const auto bytes = [&](std::size_t k, std::size_t size) -> const std::uint8_t * {
        const auto *f = field(k);
        return f && ldns_rdf_size(f) == size ? ldns_rdf_data(f) : nullptr;
    };
    switch (ldns_rr_get_type(rr)) {
    case LDNS_RR_TYPE_A:
        if (const auto *at = bytes(0, 4)) {
            asio::ip::address_v4::bytes_type raw;
            std::memcpy(raw.data(), at, raw.size());
            return asio::ip::address(asio::ip::address_v4(raw));
        }
        break;
    case LDNS_RR_TYPE_AAAA:
        if (const auto *at = bytes(0, 16)) {
            asio::ip::address_v6::bytes_type raw;
            std::memcpy(raw.data(), at, raw.size());
            return asio::ip::address(asio::ip::address_v6(raw));
        }
        break;
    case LDNS_RR_TYPE_CNAME:
        if (field(0)) {
            Alias alias{nameIn(field(0))};
            if (!alias.target.empty())
                return alias;
        }
        break;
    case LDNS_RR_TYPE_SOA:
        if (const auto *at = bytes(6, 4))
            return ZoneStart{number<std::uint32_t>(at)};
        break;
    case LDNS_RR_TYPE_SRV: {
        const auto *priority = bytes(0, 2), *weight = bytes(1, 2), *port = bytes(2, 2);
        if (!priority || !weight || !port || !field(3))
            break;
        Srv srv{number<std::uint16_t>(priority), number<std::uint16_t>(weight),
                number<std::uint16_t>(port), nameIn(field(3))};
        if (!srv.target.empty())
            return srv;
        break;
    }
    default:
        break;
    }
    return std::nullopt;
}

struct RecordFree {
    void operator()(ldns_rr *rr) const { ldns_rr_free(rr); }
};

// Records one by one: the library's reader of whole messages loses a record where two stand that
// may stand once.
ldns_status readSection(const std::uint8_t *bytes, std::size_t size, std::size_t &at,
                        std::size_t count, std::vector<Record> &out) {
    for (std::size_t k = 0; k < count; ++k) {
        ldns_rr *raw = nullptr;
        const auto status = ldns_wire2rr(&raw, bytes, size, &at, LDNS_SECTION_ANSWER);
        const std::unique_ptr<ldns_rr, RecordFree> rr(status == LDNS_STATUS_OK ? raw : nullptr);
        if (status != LDNS_STATUS_OK)
            return status;
        if (ldns_rr_get_class(rr.get()) != LDNS_RR_CLASS_IN)
            continue;
        auto data = dataIn(rr.get());
        std::string owner = nameIn(ldns_rr_owner(rr.get()));
        if (!data || owner.empty())
            continue;
        const std::uint32_t seconds = ldns_rr_ttl(rr.get());
        out.push_back({std::move(owner), seconds >> 31 ? 0 : seconds, std::move(*data)});
    }
    return LDNS_STATUS_OK;
}

ldns_rdf *nameField(const std::string &name) {
    ldns_rdf *out = ldns_dname_new_frm_str(name.c_str());
    if (!out)
        throw std::invalid_argument("no DNS name: " + name);
    return out;
}

ldns_rdf *numberField(ldns_rdf_type type, std::uint32_t value, std::size_t bytes) {
    std::uint8_t raw[4];
    for (std::size_t k = 0; k < bytes; ++k)
        raw[k] = std::uint8_t(value >> (8 * (bytes - 1 - k)));
    return ldns_rdf_new_frm_data(type, bytes, raw);
}

ldns_rr *recordOf(const Record &r) {
    ldns_rr *rr = ldns_rr_new();
    ldns_rr_set_owner(rr, nameField(r.owner));
    ldns_rr_set_ttl(rr, r.seconds);
    ldns_rr_set_class(rr, LDNS_RR_CLASS_IN);
    if (const auto *srv = std::get_if<Srv>(&r.data)) {
        ldns_rr_set_type(rr, LDNS_RR_TYPE_SRV);
        for (const auto value : {srv->priority, srv->weight, srv->port})
            ldns_rr_push_rdf(rr, numberField(LDNS_RDF_TYPE_INT16, value, 2));
        ldns_rr_push_rdf(rr, nameField(srv->target));
    } else if (const auto *alias = std::get_if<Alias>(&r.data)) {
        ldns_rr_set_type(rr, LDNS_RR_TYPE_CNAME);
        ldns_rr_push_rdf(rr, nameField(alias->target));
    } else if (const auto *zone = std::get_if<ZoneStart>(&r.data)) {
        ldns_rr_set_type(rr, LDNS_RR_TYPE_SOA);
        ldns_rr_push_rdf(rr, nameField("."));
        ldns_rr_push_rdf(rr, nameField("."));
        ldns_rr_push_rdf(rr, numberField(LDNS_RDF_TYPE_INT32, 1, 4));
        for (int k = 0; k < 3; ++k)
            ldns_rr_push_rdf(rr, numberField(LDNS_RDF_TYPE_PERIOD, 3600, 4));
        ldns_rr_push_rdf(rr, numberField(LDNS_RDF_TYPE_PERIOD, zone->negativeSeconds, 4));
    } else {
        const auto &address = std::get<asio::ip::address>(r.data);
        if (address.is_v4()) {
            const auto raw = address.to_v4().to_bytes();
            ldns_rr_set_type(rr, LDNS_RR_TYPE_A);
            ldns_rr_push_rdf(rr, ldns_rdf_new_frm_data(LDNS_RDF_TYPE_A, raw.size(), raw.data()));
        } else {
            const auto raw = address.to_v6().to_bytes();
            ldns_rr_set_type(rr, LDNS_RR_TYPE_AAAA);
            ldns_rr_push_rdf(rr, ldns_rdf_new_frm_data(LDNS_RDF_TYPE_AAAA, raw.size(), raw.data()));
        }
    }
    return rr;
}

}  // namespace

const char *nameOf(Type type) {
    switch (type) {
    case Type::a:
        return "A";
    case Type::cname:
        return "CNAME";
    case Type::soa:
        return "SOA";
    case Type::aaaa:
        return "AAAA";
    case Type::srv:
        return "SRV";
    }
    return "?";
}

std::string canonicalName(std::string_view name) {
    if (name == ".")
        return ".";
    std::string out;
    std::size_t label = 0;
    for (const char c : name) {
        const auto lower = c >= 'A' && c <= 'Z' ? char(c - 'A' + 'a') : c;
        if (lower == '.') {
            if (label == 0)
                return {};
            label = 0;
        } else if ((lower >= 'a' && lower <= 'z') || (lower >= '0' && lower <= '9') ||
                   lower == '-' || lower == '_') {
            if (++label > 63)
                return {};
        } else
            return {};
        out += lower;
    }
    if (out.empty())
        return {};
    if (out.back() != '.')
        out += '.';
    return out.size() <= 254 ? out : std::string{};
}

bool within(const std::string &name, const std::string &zone) {
    if (zone == ".")
        return true;
    if (!name.ends_with(zone))
        return false;
    return name.size() == zone.size() || name[name.size() - zone.size() - 1] == '.';
}

std::vector<std::uint8_t> encode(const Message &m, bool edns) {
    const Packet packet(ldns_pkt_new());
    ldns_pkt *p = packet.get();
    ldns_pkt_set_id(p, m.id);
    ldns_pkt_set_qr(p, m.reply), ldns_pkt_set_tc(p, m.truncated),
        ldns_pkt_set_aa(p, m.authoritative);
    ldns_pkt_set_rd(p, m.recursionDesired), ldns_pkt_set_rcode(p, m.code);
    if (edns)
        ldns_pkt_set_edns_udp_size(p, kUdpBytes);
    if (m.question) {
        ldns_rr *rr = ldns_rr_new();
        ldns_rr_set_question(rr, true);
        ldns_rr_set_owner(rr, nameField(m.question->name));
        ldns_rr_set_type(rr, static_cast<ldns_rr_type>(m.question->type));
        ldns_rr_set_class(rr, LDNS_RR_CLASS_IN);
        ldns_pkt_push_rr(p, LDNS_SECTION_QUESTION, rr);
    }
    for (const auto &r : m.answers)
        ldns_pkt_push_rr(p, LDNS_SECTION_ANSWER, recordOf(r));
    for (const auto &r : m.authority)
        ldns_pkt_push_rr(p, LDNS_SECTION_AUTHORITY, recordOf(r));
    for (const auto &r : m.additional)
        ldns_pkt_push_rr(p, LDNS_SECTION_ADDITIONAL, recordOf(r));
    std::uint8_t *wire = nullptr;
    std::size_t size = 0;
    const auto status = ldns_pkt2wire(&wire, p, &size);
    const std::unique_ptr<std::uint8_t, decltype(&std::free)> held(wire, &std::free);
    if (status != LDNS_STATUS_OK)
        throw std::invalid_argument(ldns_get_errorstr_by_id(status));
    return {wire, wire + size};
}

Decoded decode(const std::uint8_t *bytes, std::size_t size) {
    if (size < 12)
        return {{}, "shorter than a header"};
    // Counts are read before the library does: they are what a hostile message makes it reserve.
    std::size_t records = 0;
    for (const std::size_t at : {6u, 8u, 10u})
        records += std::size_t(bytes[at]) << 8 | bytes[at + 1];
    if (records > kMostRecords)
        return {{}, "more records than are taken"};
    if ((bytes[2] >> 3 & 0x0f) != LDNS_PACKET_QUERY)
        return {{}, "no query or reply to one"};
    const auto count = [&](std::size_t k) { return std::size_t(number<std::uint16_t>(bytes + k)); };
    Message m;
    m.id = number<std::uint16_t>(bytes);
    m.reply = bytes[2] & 0x80, m.authoritative = bytes[2] & 0x04, m.truncated = bytes[2] & 0x02;
    m.recursionDesired = bytes[2] & 0x01, m.code = bytes[3] & 0x0f;
    std::size_t at = 12;
    if (count(4) > 1)
        return {{}, "more than one question"};
    if (count(4) == 1) {
        ldns_rr *raw = nullptr;
        const auto status = ldns_wire2rr(&raw, bytes, size, &at, LDNS_SECTION_QUESTION);
        const std::unique_ptr<ldns_rr, RecordFree> rr(status == LDNS_STATUS_OK ? raw : nullptr);
        if (status != LDNS_STATUS_OK)
            return {{}, ldns_get_errorstr_by_id(status)};
        std::string name = nameIn(ldns_rr_owner(rr.get()));
        if (name.empty() || ldns_rr_get_class(rr.get()) != LDNS_RR_CLASS_IN)
            return {{}, "a question that is not ours"};
        m.question = Question{std::move(name), static_cast<Type>(ldns_rr_get_type(rr.get()))};
    }
    std::vector<Record> *sections[] = {&m.answers, &m.authority, &m.additional};
    for (std::size_t k = 0; k < 3; ++k) {
        const auto status = readSection(bytes, size, at, count(6 + 2 * k), *sections[k]);
        if (status == LDNS_STATUS_OK)
            continue;
        if (!m.truncated)
            return {{}, ldns_get_errorstr_by_id(status)};
        // Cut in the middle of a record: the header and the question still say that it is to be had
        // over TCP.
        for (auto *section : sections)
            section->clear();
        break;
    }
    return {std::move(m), {}};
}

}  // namespace deckcart::dns

#include "name_server.hpp"

#include <algorithm>
#include <random>

namespace deckcart::fakes {
namespace {

using asio::ip::tcp;
using asio::ip::udp;
using nlohmann::json;

dns::RecordType typeOf(const dns::Record &r) {
    if (std::holds_alternative<dns::Srv>(r.data))
        return dns::RecordType::srv;
    if (std::holds_alternative<dns::Cname>(r.data))
        return dns::RecordType::cname;
    if (std::holds_alternative<dns::Soa>(r.data))
        return dns::RecordType::soa;
    return std::get<asio::ip::address>(r.data).is_v4() ? dns::RecordType::a : dns::RecordType::aaaa;
}

dns::Record recordIn(const json &from) {
    const auto name = [&](const char *field) {
        auto canonical = dns::canonicalName(from.at(field).get<std::string>());
        if (canonical.empty())
            throw std::invalid_argument(std::string(field) + " is no DNS name");
        return canonical;
    };
    dns::Record r{name("name"), from.value("seconds", 30u), {}};
    const auto type = from.at("type").get<std::string>();
    if (type == "SRV")
        r.data = dns::Srv{from.value<std::uint16_t>("priority", 0),
                          from.value<std::uint16_t>("weight", 0),
                          from.at("port").get<std::uint16_t>(), name("target")};
    else if (type == "CNAME")
        r.data = dns::Cname{name("target")};
    else if (type == "SOA")
        r.data = dns::Soa{from.value("negativeSeconds", 5u)};
    else {
        asio::error_code fault;
        const auto address = asio::ip::make_address(from.at("address").get<std::string>(), fault);
        if (fault || address.is_v4() != (type == "A"))
            throw std::invalid_argument("address is not of the type");
        r.data = address;
    }
    return r;
}

}  // namespace

const json &nameScriptSchema() {
    static const json schema = json::parse(R"json({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "What stand-in name servers answer and how they misbehave; times in whole milliseconds",
  "type": "object", "additionalProperties": false, "required": ["steps"],
  "properties": {
    "servers": {"type": "integer", "minimum": 1, "maximum": 8},
    "steps": {"type": "array", "minItems": 1, "maxItems": 1000, "items": {
      "type": "object", "additionalProperties": false, "required": ["atMs"], "properties": {
        "atMs": {"type": "integer", "minimum": 0},
        "servers": {"type": "array", "items": {"type": "integer", "minimum": 0, "maximum": 7}},
        "records": {"type": "array", "maxItems": 4096, "items": {
          "type": "object", "additionalProperties": false, "required": ["name", "type"], "properties": {
            "name": {"type": "string"}, "type": {"enum": ["SRV", "A", "AAAA", "CNAME", "SOA"]},
            "seconds": {"type": "integer", "minimum": 0, "maximum": 4294967295},
            "priority": {"type": "integer", "minimum": 0, "maximum": 65535},
            "weight": {"type": "integer", "minimum": 0, "maximum": 65535},
            "port": {"type": "integer", "minimum": 0, "maximum": 65535},
            "target": {"type": "string"}, "address": {"type": "string"},
            "negativeSeconds": {"type": "integer", "minimum": 0, "maximum": 4294967295}}}},
        "silent": {"type": "boolean"}, "lost": {"type": "number", "minimum": 0, "maximum": 1},
        "delayMs": {"type": "integer", "minimum": 0}, "twice": {"type": "boolean"},
        "reordered": {"type": "boolean"}, "wrongId": {"type": "boolean"},
        "wrongQuestion": {"type": "boolean"}, "fromElsewhere": {"type": "boolean"},
        "code": {"type": "integer", "minimum": 0, "maximum": 15}, "empty": {"type": "boolean"},
        "truncated": {"type": "boolean"}, "cutInside": {"type": "boolean"}, "loops": {"type": "boolean"},
        "lies": {"type": "boolean"}, "tcpCutAt": {"type": "integer", "minimum": 0},
        "noTcp": {"type": "boolean"}, "noAdditional": {"type": "boolean"},
        "seconds": {"type": "integer", "minimum": 0, "maximum": 4294967295},
        "shrinksForMs": {"type": "integer", "minimum": 1}}}}
  }
})json");
    return schema;
}

NameScriptRead readNameScript(const json &document) {
    NameScriptRead read;
    read.refused = checkSchema(nameScriptSchema(), document);
    if (!read.refused.empty())
        return read;
    NameScript script;
    script.servers = document.value("servers", 1);
    Duration last{};
    const auto &steps = document.at("steps");
    for (std::size_t k = 0; k < steps.size(); ++k) {
        const json &from = steps[k];
        const std::string at = "/steps/" + std::to_string(k);
        const auto ms = [&](const char *name) {
            return std::chrono::milliseconds(from.value(name, 0));
        };
        NameStep step;
        step.at = ms("atMs");
        if (step.at < last)
            read.refused.push_back({at + "/atMs", "is before the step ahead of it"});
        last = step.at;
        step.servers = from.value("servers", std::vector<int>{});
        for (const int s : step.servers)
            if (s >= script.servers)
                read.refused.push_back({at + "/servers", "names a server that is not there"});
        if (from.contains("records")) {
            step.records.emplace();
            for (std::size_t r = 0; r < from["records"].size(); ++r)
                try {
                    step.records->push_back(recordIn(from["records"][r]));
                } catch (const std::exception &fault) {
                    read.refused.push_back({at + "/records/" + std::to_string(r), fault.what()});
                }
        }
        auto &f = step.faults;
        f.silent = from.value("silent", false), f.lost = from.value("lost", 0.0),
        f.delay = ms("delayMs");
        f.twice = from.value("twice", false), f.reordered = from.value("reordered", false);
        f.wrongId = from.value("wrongId", false),
        f.wrongQuestion = from.value("wrongQuestion", false);
        f.fromElsewhere = from.value("fromElsewhere", false), f.code = from.value("code", -1);
        f.empty = from.value("empty", false), f.truncated = from.value("truncated", false);
        f.cutInside = from.value("cutInside", false), f.loops = from.value("loops", false);
        f.lies = from.value("lies", false), f.tcpCutAt = from.value("tcpCutAt", -1);
        f.noTcp = from.value("noTcp", false), f.noAdditional = from.value("noAdditional", false);
        if (from.contains("seconds"))
            f.seconds = from["seconds"].get<std::uint32_t>();
        f.shrinksFor = ms("shrinksForMs");
        script.steps.push_back(std::move(step));
    }
    if (read.refused.empty())
        read.script = std::move(script);
    return read;
}

// ---- one server ----

NameServer::NameServer(asio::io_context &io, const udp::endpoint &listen, std::uint32_t seed)
    : context(io), datagrams(io), elsewhere(io, udp::endpoint(listen.address(), 0)), acceptor(io),
      chance(seed) {
    // Both take the same port: one that is free for streams may be taken for datagrams, then
    // another is tried.
    constexpr int kAttempts = 50;
    for (int k = 1;; ++k)
        try {
            acceptor = tcp::acceptor(io, tcp::endpoint(listen.address(), listen.port()));
            datagrams =
                udp::socket(io, udp::endpoint(listen.address(), acceptor.local_endpoint().port()));
            break;
        } catch (const std::system_error &) {
            if (listen.port() != 0 || k == kAttempts)
                throw;
        }
    receive();
    accept();
}

NameServer::~NameServer() {
    *alive = false;
}

std::vector<std::uint8_t> NameServer::reply(const dns::Message &question, bool overTcp) const {
    dns::Message m;
    m.id = question.id, m.reply = true, m.authoritative = true, m.question = question.question;
    m.recursionDesired = question.recursionDesired;
    const auto lifetime = [&](dns::Record r) {
        if (faults.seconds)
            r.ttlSeconds = *faults.seconds;
        if (faults.shrinksFor > Duration{0}) {
            const Duration left = faults.shrinksFor - (clock.now() - setAt) % faults.shrinksFor;
            r.ttlSeconds =
                std::uint32_t(std::chrono::duration_cast<std::chrono::seconds>(left).count());
        }
        return r;
    };
    if (faults.code >= 0)
        m.code = std::uint8_t(faults.code);
    else if (!faults.empty && question.question) {
        std::string at = question.question->name;
        bool moved = true;
        for (int hops = 0; moved && hops < 32; ++hops) {
            moved = false;
            for (const auto &r : records)
                if (r.owner == at && typeOf(r) == question.question->type)
                    m.answers.push_back(lifetime(r));
            if (!m.answers.empty() && typeOf(m.answers.back()) != dns::RecordType::cname)
                break;
            for (const auto &r : records)
                if (r.owner == at && typeOf(r) == dns::RecordType::cname) {
                    m.answers.push_back(lifetime(r));
                    at = std::get<dns::Cname>(r.data).target, moved = true;
                    break;
                }
        }
        if (!faults.noAdditional)
            for (const auto &r : records)
                if (std::holds_alternative<asio::ip::address>(r.data) &&
                    std::ranges::any_of(m.answers, [&](const auto &a) {
                        const auto *srv = std::get_if<dns::Srv>(&a.data);
                        return srv && srv->target == r.owner;
                    }))
                    m.additional.push_back(lifetime(r));
        if (m.answers.empty() &&
            std::ranges::none_of(records, [&](const auto &r) { return r.owner == at; }))
            m.code = std::uint8_t(dns::ResponseCode::nxDomain);
    }
    if (m.answers.empty())
        for (const auto &r : records)
            if (typeOf(r) == dns::RecordType::soa)
                m.authority.push_back(lifetime(r));
    auto bytes = dns::encode(m);
    const auto cut = [&] {
        m.truncated = true, m.answers.clear(), m.authority.clear(), m.additional.clear();
        bytes = dns::encode(m);
    };
    if (!overTcp && faults.cutInside)
        bytes[2] |= 0x02, bytes.resize(bytes.size() * 2 / 3);
    else if (!overTcp && (faults.truncated || bytes.size() > dns::kMaxUdpMessageBytes))
        cut();
    if (faults.loops && bytes.size() > 14)
        bytes[12] = 0xc0, bytes[13] = 12;
    if (faults.lies)
        bytes[7] = std::uint8_t(bytes[7] + 40);
    return bytes;
}

void NameServer::receive() {
    datagrams.async_receive_from(
        asio::buffer(in), from, [this, here = alive](asio::error_code fault, std::size_t n) {
            if (!*here || fault == asio::error::operation_aborted)
                return;
            const auto got = dns::decode(in.data(), fault ? 0 : n);
            if (got.message && !got.message->reply && got.message->question) {
                ++questions;
                if (onAsked)
                    onAsked(*got.message->question);
                const bool drop =
                    faults.silent ||
                    (faults.lost > 0 &&
                     double(chance()) < faults.lost * double(std::minstd_rand::max()));
                if (!drop) {
                    auto bytes = reply(*got.message, false);
                    tell(bytes);
                    sendLater(std::move(bytes), from);
                }
            }
            receive();
        });
}

void NameServer::tell(const std::vector<std::uint8_t> &bytes) const {
    if (!onTold)
        return;
    const auto got = dns::decode(bytes.data(), bytes.size());
    if (got.message && !got.message->truncated &&
        got.message->code != std::uint8_t(dns::ResponseCode::servFail))
        onTold(*got.message);
}

void NameServer::sendLater(std::vector<std::uint8_t> bytes, const udp::endpoint &to) {
    if (faults.wrongId) {
        auto other = bytes;
        other[1] = std::uint8_t(other[1] + 1);
        send(other, to);
    }
    if (faults.wrongQuestion) {
        auto other = bytes;
        other[13] = 'x';
        send(other, to);
    }
    if (faults.fromElsewhere) {
        asio::error_code ignored;
        elsewhere.send_to(asio::buffer(bytes), to, 0, ignored);
    }
    if (faults.reordered && !heldBack) {
        heldBack.emplace(std::move(bytes), to);
        return;
    }
    if (faults.delay > Duration{0}) {
        auto timer = std::make_shared<asio::steady_timer>(context, faults.delay);
        timer->async_wait(
            [this, timer, bytes = std::move(bytes), to, here = alive](asio::error_code fault) {
                if (!fault && *here)
                    send(bytes, to);
            });
        return;
    }
    send(bytes, to);
    if (faults.twice)
        send(bytes, to);
    if (heldBack) {
        const auto late = std::exchange(heldBack, std::nullopt);
        send(late->first, late->second);
    }
}

void NameServer::send(const std::vector<std::uint8_t> &bytes, const udp::endpoint &to) {
    asio::error_code ignored;  // a datagram may be lost
    datagrams.send_to(asio::buffer(bytes), to, 0, ignored);
}

struct NameServer::Stream {
    explicit Stream(tcp::socket s) : socket(std::move(s)) {}
    tcp::socket socket;
    std::array<std::uint8_t, 2> length{};
    std::vector<std::uint8_t> bytes;
};

void NameServer::accept() {
    acceptor.async_accept([this, here = alive](asio::error_code fault, tcp::socket socket) {
        if (!*here || fault == asio::error::operation_aborted)
            return;
        if (!fault && !faults.noTcp)
            read(std::make_shared<Stream>(std::move(socket)));
        accept();
    });
}

void NameServer::read(const std::shared_ptr<Stream> &stream) {
    asio::async_read(
        stream->socket, asio::buffer(stream->length),
        [=, this, here = alive](asio::error_code fault, std::size_t) {
            if (fault || !*here)
                return;
            stream->bytes.resize(std::size_t(stream->length[0]) << 8 | stream->length[1]);
            asio::async_read(
                stream->socket, asio::buffer(stream->bytes),
                [=, this](asio::error_code cut, std::size_t) {
                    if (cut || !*here)
                        return;
                    const auto got = dns::decode(stream->bytes.data(), stream->bytes.size());
                    if (!got.message || !got.message->question || faults.silent)
                        return;
                    ++questions, ++streams;
                    if (onAsked)
                        onAsked(*got.message->question);
                    auto bytes = reply(*got.message, true);
                    tell(bytes);
                    const auto size = bytes.size();
                    bytes.insert(bytes.begin(), {std::uint8_t(size >> 8), std::uint8_t(size)});
                    const bool ends = faults.tcpCutAt >= 0;
                    if (ends)
                        bytes.resize(std::min(bytes.size(), std::size_t(faults.tcpCutAt)));
                    stream->bytes = std::move(bytes);
                    asio::async_write(stream->socket, asio::buffer(stream->bytes),
                                      [=, this](asio::error_code failed, std::size_t) {
                                          if (!failed && *here && !ends)
                                              read(stream);
                                      });
                });
        });
}

// ---- a script's ----

NameServers::NameServers(asio::io_context &io, NameScript with, std::uint32_t seed)
    : script(std::move(with)), timer(io) {
    for (int k = 0; k < script.servers; ++k)
        servers.push_back(std::make_unique<NameServer>(
            io, udp::endpoint(asio::ip::address_v4::loopback(), 0), seed + std::uint32_t(k) + 1));
}
std::vector<udp::endpoint> NameServers::addresses() const {
    std::vector<udp::endpoint> out;
    for (const auto &s : servers)
        out.push_back(s->address());
    return out;
}
void NameServers::start() {
    startedAt = clock.now();
    step();
}
void NameServers::step() {
    for (; next < script.steps.size(); ++next) {
        const auto &s = script.steps[next];
        const Duration in = startedAt + s.at - clock.now();
        if (in > Duration{0}) {
            timer.expires_after(in);
            timer.async_wait([this](asio::error_code fault) {
                if (!fault)
                    step();
            });
            return;
        }
        for (std::size_t k = 0; k < servers.size(); ++k) {
            if (!s.servers.empty() && std::ranges::find(s.servers, int(k)) == s.servers.end())
                continue;
            if (s.records)
                servers[k]->serve(*s.records);
            servers[k]->misbehave(s.faults);
        }
    }
}

}  // namespace deckcart::fakes

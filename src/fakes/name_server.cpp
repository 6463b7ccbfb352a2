#include "name_server.hpp"

#include <algorithm>
#include <random>

namespace deckcart::fakes {
namespace {

using asio::ip::tcp;
using asio::ip::udp;
using nlohmann::json;

dns::RecordType typeOf(const dns::Record &record) {
    if (std::holds_alternative<dns::Srv>(record.data))
        return dns::RecordType::srv;
    if (std::holds_alternative<dns::Cname>(record.data))
        return dns::RecordType::cname;
    if (std::holds_alternative<dns::Soa>(record.data))
        return dns::RecordType::soa;
    return std::get<asio::ip::address>(record.data).is_v4() ? dns::RecordType::a
                                                            : dns::RecordType::aaaa;
}

dns::Record parseRecord(const json &object) {
    const auto name = [&](const char *field) {
        auto canonical = dns::canonicalName(object.at(field).get<std::string>());
        if (canonical.empty())
            throw std::invalid_argument(std::string(field) + " is not a DNS name");
        return canonical;
    };
    dns::Record record{name("name"), object.value("seconds", 30u), {}};
    const auto type = object.at("type").get<std::string>();
    if (type == "SRV")
        record.data = dns::Srv{object.value<std::uint16_t>("priority", 0),
                               object.value<std::uint16_t>("weight", 0),
                               object.at("port").get<std::uint16_t>(), name("target")};
    else if (type == "CNAME")
        record.data = dns::Cname{name("target")};
    else if (type == "SOA")
        record.data = dns::Soa{object.value("negativeSeconds", 5u)};
    else {
        asio::error_code fault;
        const auto address = asio::ip::make_address(object.at("address").get<std::string>(), fault);
        if (fault || address.is_v4() != (type == "A"))
            throw std::invalid_argument("address does not match the record type");
        record.data = address;
    }
    return record;
}

}  // namespace

const json &nameScriptSchema() {
    static const json schema = json::parse(R"json({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "Records and faults of fake name servers over time; times in whole milliseconds",
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
    NameScriptRead result;
    result.refused = checkSchema(nameScriptSchema(), document);
    if (!result.refused.empty())
        return result;
    NameScript script;
    script.servers = document.value("servers", 1);
    Duration previousAt{};
    const auto &steps = document.at("steps");
    for (std::size_t index = 0; index < steps.size(); ++index) {
        const json &object = steps[index];
        const std::string path = "/steps/" + std::to_string(index);
        const auto ms = [&](const char *name) {
            return std::chrono::milliseconds(object.value(name, 0));
        };
        NameStep step;
        step.at = ms("atMs");
        if (step.at < previousAt)
            result.refused.push_back({path + "/atMs", "is earlier than that of the previous step"});
        previousAt = step.at;
        step.servers = object.value("servers", std::vector<int>{});
        for (const int server : step.servers)
            if (server >= script.servers)
                result.refused.push_back({path + "/servers", "names a server that does not exist"});
        if (object.contains("records")) {
            step.records.emplace();
            for (std::size_t recordIndex = 0; recordIndex < object["records"].size(); ++recordIndex)
                try {
                    step.records->push_back(parseRecord(object["records"][recordIndex]));
                } catch (const std::exception &fault) {
                    result.refused.push_back(
                        {path + "/records/" + std::to_string(recordIndex), fault.what()});
                }
        }
        auto &faults = step.faults;
        faults.silent = object.value("silent", false), faults.lost = object.value("lost", 0.0),
        faults.delay = ms("delayMs");
        faults.twice = object.value("twice", false),
        faults.reordered = object.value("reordered", false);
        faults.wrongId = object.value("wrongId", false),
        faults.wrongQuestion = object.value("wrongQuestion", false);
        faults.fromElsewhere = object.value("fromElsewhere", false),
        faults.code = object.value("code", -1);
        faults.empty = object.value("empty", false),
        faults.truncated = object.value("truncated", false);
        faults.cutInside = object.value("cutInside", false),
        faults.loops = object.value("loops", false);
        faults.lies = object.value("lies", false), faults.tcpCutAt = object.value("tcpCutAt", -1);
        faults.noTcp = object.value("noTcp", false),
        faults.noAdditional = object.value("noAdditional", false);
        if (object.contains("seconds"))
            faults.lifetimeSeconds = object["seconds"].get<std::uint32_t>();
        faults.lifetimeCountdown = ms("shrinksForMs");
        script.steps.push_back(std::move(step));
    }
    if (result.refused.empty())
        result.script = std::move(script);
    return result;
}

// ---- one server ----

NameServer::NameServer(asio::io_context &io, const udp::endpoint &listen, std::uint32_t seed)
    : context(io), udpSocket(io), otherPortSocket(io, udp::endpoint(listen.address(), 0)),
      acceptor(io), rng(seed) {
    // TCP and UDP use the same port. A free TCP port may be in use for UDP; then another one is
    // tried.
    constexpr int kAttempts = 50;
    for (int attempt = 1;; ++attempt)
        try {
            acceptor = tcp::acceptor(io, tcp::endpoint(listen.address(), listen.port()));
            udpSocket =
                udp::socket(io, udp::endpoint(listen.address(), acceptor.local_endpoint().port()));
            break;
        } catch (const std::system_error &) {
            if (listen.port() != 0 || attempt == kAttempts)
                throw;
        }
    receive();
    accept();
}

NameServer::~NameServer() {
    *alive = false;
}

std::vector<std::uint8_t> NameServer::reply(const dns::Message &question, bool overTcp) const {
    dns::Message response;
    response.id = question.id, response.reply = true, response.authoritative = true,
    response.question = question.question;
    response.recursionDesired = question.recursionDesired;
    const auto withLifetime = [&](dns::Record record) {
        if (faults.lifetimeSeconds)
            record.ttlSeconds = *faults.lifetimeSeconds;
        if (faults.lifetimeCountdown > Duration{0}) {
            const Duration remaining =
                faults.lifetimeCountdown - (clock.now() - recordsSetAt) % faults.lifetimeCountdown;
            record.ttlSeconds =
                std::uint32_t(std::chrono::duration_cast<std::chrono::seconds>(remaining).count());
        }
        return record;
    };
    if (faults.code >= 0)
        response.code = std::uint8_t(faults.code);
    else if (!faults.empty && question.question) {
        std::string owner = question.question->name;
        bool followedAlias = true;
        for (int hops = 0; followedAlias && hops < 32; ++hops) {
            followedAlias = false;
            for (const auto &record : records)
                if (record.owner == owner && typeOf(record) == question.question->type)
                    response.answers.push_back(withLifetime(record));
            if (!response.answers.empty() &&
                typeOf(response.answers.back()) != dns::RecordType::cname)
                break;
            for (const auto &record : records)
                if (record.owner == owner && typeOf(record) == dns::RecordType::cname) {
                    response.answers.push_back(withLifetime(record));
                    owner = std::get<dns::Cname>(record.data).target, followedAlias = true;
                    break;
                }
        }
        if (!faults.noAdditional)
            for (const auto &record : records)
                if (std::holds_alternative<asio::ip::address>(record.data) &&
                    std::ranges::any_of(response.answers, [&](const auto &answer) {
                        const auto *srv = std::get_if<dns::Srv>(&answer.data);
                        return srv && srv->target == record.owner;
                    }))
                    response.additional.push_back(withLifetime(record));
        if (response.answers.empty() && std::ranges::none_of(records, [&](const auto &record) {
                return record.owner == owner;
            }))
            response.code = std::uint8_t(dns::ResponseCode::nxDomain);
    }
    if (response.answers.empty())
        for (const auto &record : records)
            if (typeOf(record) == dns::RecordType::soa)
                response.authority.push_back(withLifetime(record));
    auto bytes = dns::encode(response);
    const auto truncate = [&] {
        response.truncated = true, response.answers.clear(), response.authority.clear(),
        response.additional.clear();
        bytes = dns::encode(response);
    };
    if (!overTcp && faults.cutInside)
        bytes[2] |= 0x02, bytes.resize(bytes.size() * 2 / 3);
    else if (!overTcp && (faults.truncated || bytes.size() > dns::kMaxUdpMessageBytes))
        truncate();
    if (faults.loops && bytes.size() > 14)
        bytes[12] = 0xc0, bytes[13] = 12;
    if (faults.lies)
        bytes[7] = std::uint8_t(bytes[7] + 40);
    return bytes;
}

void NameServer::receive() {
    udpSocket.async_receive_from(
        asio::buffer(receiveBuffer), sender,
        [this, serverAlive = alive](asio::error_code fault, std::size_t size) {
            if (!*serverAlive || fault == asio::error::operation_aborted)
                return;
            const auto decoded = dns::decode(receiveBuffer.data(), fault ? 0 : size);
            if (decoded.message && !decoded.message->reply && decoded.message->question) {
                ++queries;
                if (onAsked)
                    onAsked(*decoded.message->question);
                const bool drop = faults.silent ||
                                  (faults.lost > 0 &&
                                   double(rng()) < faults.lost * double(std::minstd_rand::max()));
                if (!drop) {
                    auto bytes = reply(*decoded.message, false);
                    notifyReply(bytes);
                    sendWithFaults(std::move(bytes), sender);
                }
            }
            receive();
        });
}

void NameServer::notifyReply(const std::vector<std::uint8_t> &bytes) const {
    if (!onReply)
        return;
    const auto decoded = dns::decode(bytes.data(), bytes.size());
    if (decoded.message && !decoded.message->truncated &&
        decoded.message->code != std::uint8_t(dns::ResponseCode::servFail))
        onReply(*decoded.message);
}

void NameServer::sendWithFaults(std::vector<std::uint8_t> bytes, const udp::endpoint &to) {
    if (faults.wrongId) {
        auto forged = bytes;
        forged[1] = std::uint8_t(forged[1] + 1);
        send(forged, to);
    }
    if (faults.wrongQuestion) {
        auto forged = bytes;
        forged[13] = 'x';
        send(forged, to);
    }
    if (faults.fromElsewhere) {
        asio::error_code ignored;
        otherPortSocket.send_to(asio::buffer(bytes), to, 0, ignored);
    }
    if (faults.reordered && !heldBack) {
        heldBack.emplace(std::move(bytes), to);
        return;
    }
    if (faults.delay > Duration{0}) {
        auto timer = std::make_shared<asio::steady_timer>(context, faults.delay);
        timer->async_wait([this, timer, bytes = std::move(bytes), to,
                           serverAlive = alive](asio::error_code fault) {
            if (!fault && *serverAlive)
                send(bytes, to);
        });
        return;
    }
    send(bytes, to);
    if (faults.twice)
        send(bytes, to);
    if (heldBack) {
        const auto delayed = std::exchange(heldBack, std::nullopt);
        send(delayed->first, delayed->second);
    }
}

void NameServer::send(const std::vector<std::uint8_t> &bytes, const udp::endpoint &to) {
    asio::error_code ignored;  // a datagram may be lost
    udpSocket.send_to(asio::buffer(bytes), to, 0, ignored);
}

struct NameServer::TcpConnection {
    explicit TcpConnection(tcp::socket accepted) : socket(std::move(accepted)) {}
    tcp::socket socket;
    std::array<std::uint8_t, 2> length{};
    std::vector<std::uint8_t> bytes;
};

void NameServer::accept() {
    acceptor.async_accept(
        [this, serverAlive = alive](asio::error_code acceptError, tcp::socket socket) {
            if (!*serverAlive || acceptError == asio::error::operation_aborted)
                return;
            if (!acceptError && !faults.noTcp)
                read(std::make_shared<TcpConnection>(std::move(socket)));
            accept();
        });
}

void NameServer::read(const std::shared_ptr<TcpConnection> &connection) {
    asio::async_read(
        connection->socket, asio::buffer(connection->length),
        [=, this, serverAlive = alive](asio::error_code lengthError, std::size_t) {
            if (lengthError || !*serverAlive)
                return;
            connection->bytes.resize(std::size_t(connection->length[0]) << 8 |
                                     connection->length[1]);
            asio::async_read(
                connection->socket, asio::buffer(connection->bytes),
                [=, this](asio::error_code readError, std::size_t) {
                    if (readError || !*serverAlive)
                        return;
                    const auto decoded =
                        dns::decode(connection->bytes.data(), connection->bytes.size());
                    if (!decoded.message || !decoded.message->question || faults.silent)
                        return;
                    ++queries, ++tcpQueries;
                    if (onAsked)
                        onAsked(*decoded.message->question);
                    auto bytes = reply(*decoded.message, true);
                    notifyReply(bytes);
                    const auto size = bytes.size();
                    bytes.insert(bytes.begin(), {std::uint8_t(size >> 8), std::uint8_t(size)});
                    const bool cutsReply = faults.tcpCutAt >= 0;
                    if (cutsReply)
                        bytes.resize(std::min(bytes.size(), std::size_t(faults.tcpCutAt)));
                    connection->bytes = std::move(bytes);
                    asio::async_write(connection->socket, asio::buffer(connection->bytes),
                                      [=, this](asio::error_code writeError, std::size_t) {
                                          if (!writeError && *serverAlive && !cutsReply)
                                              read(connection);
                                      });
                });
        });
}

// ---- servers that follow a script ----

NameServers::NameServers(asio::io_context &io, NameScript given, std::uint32_t seed)
    : script(std::move(given)), timer(io) {
    for (int index = 0; index < script.servers; ++index)
        servers.push_back(
            std::make_unique<NameServer>(io, udp::endpoint(asio::ip::address_v4::loopback(), 0),
                                         seed + std::uint32_t(index) + 1));
}
std::vector<udp::endpoint> NameServers::addresses() const {
    std::vector<udp::endpoint> endpoints;
    for (const auto &server : servers)
        endpoints.push_back(server->address());
    return endpoints;
}
void NameServers::start() {
    startedAt = clock.now();
    runDueSteps();
}
void NameServers::runDueSteps() {
    for (; next < script.steps.size(); ++next) {
        const auto &due = script.steps[next];
        const Duration wait = startedAt + due.at - clock.now();
        if (wait > Duration{0}) {
            timer.expires_after(wait);
            timer.async_wait([this](asio::error_code fault) {
                if (!fault)
                    runDueSteps();
            });
            return;
        }
        for (std::size_t index = 0; index < servers.size(); ++index) {
            if (!due.servers.empty() &&
                std::ranges::find(due.servers, int(index)) == due.servers.end())
                continue;
            if (due.records)
                servers[index]->serve(*due.records);
            servers[index]->misbehave(due.faults);
        }
    }
}

}  // namespace deckcart::fakes

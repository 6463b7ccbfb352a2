// A gateway's own HTTP API under /v1: settings, their schema, status, members, reports of wrong
// answers. For operators, described in docs/operate/gateway.md; problems are RFC 9457 documents.
#pragma once

#include <asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include "../base/log.hpp"
#include "../http/server.hpp"
#include "gateway.hpp"
#include "state_store.hpp"

namespace deckcart {

/// Serves one gateway, on its thread. The gateway and the store outlive it.
class GatewayApi {
  public:
    /// @param settings  the document that is in force; empty: none yet
    /// Throws std::system_error if it can't listen.
    GatewayApi(asio::io_context &context, const asio::ip::tcp::endpoint &address, Gateway &gateway,
               const StateStore &store, Log log, nlohmann::json settings);
    GatewayApi(const GatewayApi &) = delete;
    GatewayApi &operator=(const GatewayApi &) = delete;

    [[nodiscard]] asio::ip::tcp::endpoint address() const { return listener.address(); }

  private:
    struct Resource;
    static const Resource *resourceAt(const std::string &path);

    void serve(http::Exchange &exchange);
    void putSettings(http::Exchange &exchange);
    void getSettings(http::Exchange &exchange);
    void getSchema(http::Exchange &exchange);
    void getStatus(http::Exchange &exchange);
    void getMembers(http::Exchange &exchange);
    void postIncorrectResponse(http::Exchange &exchange);

    Gateway &gateway;
    const StateStore &store;
    Log log;
    nlohmann::json document;
    http::Listener listener;  // last: it calls into all of the above
};

/// The counts of GET /v1/status, which the log has too at the end.
[[nodiscard]] nlohmann::json statusOf(const Gateway &gateway);

}  // namespace deckcart

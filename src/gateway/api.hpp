// The gateway's own HTTP API under /v1 for operators: settings, their schema, status, endpoints,
// and reports of incorrect responses. Described in docs/operate/gateway.md; errors are RFC 9457
// problem documents.
#pragma once

#include <asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include "../base/log.hpp"
#include "../http/server.hpp"
#include "gateway.hpp"
#include "state_store.hpp"

namespace deckcart {

/// Serves one gateway, on its thread. The gateway and the store must outlive this object.
class GatewayApi {
  public:
    /// @param settings  the settings document in force; empty if there is none yet
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
    nlohmann::json settingsDocument;
    http::Listener listener;  // last, since it calls into all members above
};

/// The status document of GET /v1/status, which is also logged when the process ends.
[[nodiscard]] nlohmann::json statusJson(const Gateway &gateway);

}  // namespace deckcart

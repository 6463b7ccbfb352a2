#include "http_transport.hpp"

#include <utility>

#include "../control_plane/http_control_plane_client.hpp"
#include "http_downstream.hpp"
#include "http_upstream.hpp"

namespace deckcart {

std::unique_ptr<Downstream> HttpTransport::downstream(const GatewaySettings &settings,
                                                      DownstreamHandler handler) const {
    return std::make_unique<HttpDownstream>(context, listen, settings, std::move(handler));
}

std::unique_ptr<UpstreamPool> HttpTransport::upstreams(const GatewaySettings &settings) const {
    return std::make_unique<HttpUpstreamPool>(context, settings);
}

std::unique_ptr<ControlPlaneClient>
HttpTransport::controlPlane(const GatewaySettings &settings, ControlPlaneObserver observer) const {
    return std::make_unique<HttpControlPlaneClient>(context, settings, std::move(observer.now),
                                                    std::move(observer.onEvent));
}

}  // namespace deckcart

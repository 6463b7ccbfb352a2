// The header fields that the gateway itself writes into HTTP responses to clients.
#pragma once

namespace deckcart {

/// How the request ended: completed, shed or errored.
constexpr const char *kEndHeader = "Deckcart-End";
/// The build of the endpoint that the response came from.
constexpr const char *kBuildHeader = "Deckcart-Build";
/// Retry-After in milliseconds.
constexpr const char *kRetryHeader = "Deckcart-Retry-Ms";

}  // namespace deckcart

// Header fields that the gateway adds to HTTP responses to clients.
#pragma once

namespace deckcart {

/// How the request ended: completed, shed or errored.
constexpr const char *kEndHeader = "Deckcart-End";
/// The build of the endpoint that sent the response.
constexpr const char *kBuildHeader = "Deckcart-Build";
/// Like Retry-After, in milliseconds.
constexpr const char *kRetryHeader = "Deckcart-Retry-Ms";

}  // namespace deckcart

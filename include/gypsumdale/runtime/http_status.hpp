#pragma once

namespace gypsumdale {

/// HTTP status codes that this project sends or distinguishes.
inline constexpr int statusOk = 200;
inline constexpr int statusCreated = 201;
inline constexpr int statusNoContent = 204;
inline constexpr int statusUnauthorized = 401;
inline constexpr int statusForbidden = 403;
inline constexpr int statusNotFound = 404;
inline constexpr int statusConflict = 409;
inline constexpr int statusGone = 410;
inline constexpr int statusPreconditionFailed = 412;
inline constexpr int statusTooManyRequests = 429;
inline constexpr int statusInternalError = 500;
inline constexpr int statusBadGateway = 502;
inline constexpr int statusUnavailable = 503;
inline constexpr int statusGatewayTimeout = 504;

} // namespace gypsumdale

#pragma once

namespace gypsumdale {

inline constexpr int statusUnauthorized = 401;
inline constexpr int statusNotFound = 404;
inline constexpr int statusTooMany = 429;
inline constexpr int statusBadGateway = 502;
inline constexpr int statusUnavailable = 503;
inline constexpr int statusGatewayTimeout = 504;

} // namespace gypsumdale

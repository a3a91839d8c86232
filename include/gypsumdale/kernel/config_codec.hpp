#pragma once

#include <gypsumdale/fleet/config_message.hpp>

#include <peer_types.h>

namespace gypsumdale::wire {

/// Conversions between the configuration's messages and their wire format. Complexity: linear in
/// the number of objects.
ConfigDigest toWire(const gypsumdale::ConfigDigest &digest);
gypsumdale::ConfigDigest fromWire(const ConfigDigest &digest);
ConfigDigestFrom toWire(const gypsumdale::ConfigDigestFrom &digest);
gypsumdale::ConfigDigestFrom fromWire(const ConfigDigestFrom &digest);
ConfigAsk toWire(const gypsumdale::ConfigAsk &ask);
gypsumdale::ConfigAsk fromWire(const ConfigAsk &ask);
ConfigUpdate toWire(const gypsumdale::ConfigUpdate &update);
/// Omits objects of a kind that this version of the program doesn't know.
gypsumdale::ConfigUpdate fromWire(const ConfigUpdate &update);

} // namespace gypsumdale::wire

#pragma once

#include <gypsumdale/fleet/config_message.hpp>

#include <peer_types.h>

namespace gypsumdale::wire {

/// Between the configuration's messages and their form on the wire. Linear in their objects.
ConfigDigest toWire(const gypsumdale::ConfigDigest &digest);
gypsumdale::ConfigDigest fromWire(const ConfigDigest &digest);
ConfigDigestFrom toWire(const gypsumdale::ConfigDigestFrom &digest);
gypsumdale::ConfigDigestFrom fromWire(const ConfigDigestFrom &digest);
ConfigAsk toWire(const gypsumdale::ConfigAsk &ask);
gypsumdale::ConfigAsk fromWire(const ConfigAsk &ask);
ConfigUpdate toWire(const gypsumdale::ConfigUpdate &update);
/// Objects of a kind that this version of the program does not know are left out.
gypsumdale::ConfigUpdate fromWire(const ConfigUpdate &update);

} // namespace gypsumdale::wire

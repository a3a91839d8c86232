#include <gypsumdale/kernel/config_codec.hpp>

#include <cstdint> // int8_t, int64_t, uint64_t

namespace gypsumdale::wire {

namespace {

/// Thrift has no unsigned integers, so the value is sent with the same bits.
std::int64_t toBits(std::uint64_t value)
{
    return static_cast<std::int64_t>(value);
}

std::uint64_t fromBits(std::int64_t value)
{
    return static_cast<std::uint64_t>(value);
}

ConfigObject toWire(const gypsumdale::ConfigObject &object)
{
    ConfigObject result;
    result.kind = static_cast<std::int8_t>(object.m_key.m_kind);
    result.name = object.m_key.m_name;
    result.version = toBits(object.m_version);
    result.body = object.m_body;
    result.deleted = object.m_deleted;
    return result;
}

bool isKnownKind(const ConfigObject &object)
{
    return object.kind >= 0 && object.kind <= static_cast<std::int8_t>(SettingsKind::Member);
}

gypsumdale::ConfigObject fromWire(const ConfigObject &object)
{
    gypsumdale::ConfigObject result;
    result.m_key = {static_cast<SettingsKind>(object.kind), object.name};
    result.m_version = fromBits(object.version);
    result.m_body = object.body;
    result.m_deleted = object.deleted;
    return result;
}

} // namespace

ConfigDigest toWire(const gypsumdale::ConfigDigest &digest)
{
    ConfigDigest result;
    result.highestVersion = toBits(digest.m_highest);
    result.hash = toBits(digest.m_hash);
    result.count = toBits(digest.m_count);
    result.confirmedAsOfMillis = digest.m_confirmedAsOf;
    result.floor = toBits(digest.m_floor);
    result.completeTo = toBits(digest.m_completeTo);
    result.ready = digest.m_ready;
    return result;
}

gypsumdale::ConfigDigest fromWire(const ConfigDigest &digest)
{
    gypsumdale::ConfigDigest result;
    result.m_highest = fromBits(digest.highestVersion);
    result.m_hash = fromBits(digest.hash);
    result.m_count = fromBits(digest.count);
    result.m_confirmedAsOf = digest.confirmedAsOfMillis;
    result.m_floor = fromBits(digest.floor);
    result.m_completeTo = fromBits(digest.completeTo);
    result.m_ready = digest.ready;
    return result;
}

ConfigDigestFrom toWire(const gypsumdale::ConfigDigestFrom &digest)
{
    ConfigDigestFrom result;
    result.node = digest.m_node.text();
    result.dataCentre = digest.m_dataCentre.text();
    result.incarnation = digest.m_incarnation;
    result.digest = toWire(digest.m_digest);
    return result;
}

gypsumdale::ConfigDigestFrom fromWire(const ConfigDigestFrom &digest)
{
    gypsumdale::ConfigDigestFrom result;
    result.m_node = NodeId(digest.node);
    result.m_dataCentre = DataCentreId(digest.dataCentre);
    result.m_incarnation = digest.incarnation;
    result.m_digest = fromWire(digest.digest);
    return result;
}

ConfigAsk toWire(const gypsumdale::ConfigAsk &ask)
{
    ConfigAsk result;
    result.node = ask.m_node.text();
    result.dataCentre = ask.m_dataCentre.text();
    result.incarnation = ask.m_incarnation;
    result.fromVersion = toBits(ask.m_from);
    return result;
}

gypsumdale::ConfigAsk fromWire(const ConfigAsk &ask)
{
    gypsumdale::ConfigAsk result;
    result.m_node = NodeId(ask.node);
    result.m_dataCentre = DataCentreId(ask.dataCentre);
    result.m_incarnation = ask.incarnation;
    result.m_from = fromBits(ask.fromVersion);
    return result;
}

ConfigUpdate toWire(const gypsumdale::ConfigUpdate &update)
{
    ConfigUpdate result;
    result.sender = toWire(update.m_sender);
    result.fromVersion = toBits(update.m_changes.m_from);
    result.upToVersion = toBits(update.m_changes.m_upTo);
    for (const gypsumdale::ConfigObject &object : update.m_changes.m_objects)
        result.objects.push_back(toWire(object));
    result.answerTo = update.m_answerTo.text();
    result.answerToIncarnation = update.m_answerToIncarnation;
    return result;
}

gypsumdale::ConfigUpdate fromWire(const ConfigUpdate &update)
{
    gypsumdale::ConfigUpdate result;
    result.m_sender = fromWire(update.sender);
    result.m_changes.m_from = fromBits(update.fromVersion);
    result.m_changes.m_upTo = fromBits(update.upToVersion);
    for (const ConfigObject &object : update.objects) {
        if (isKnownKind(object))
            result.m_changes.m_objects.push_back(fromWire(object));
    }
    result.m_answerTo = NodeId(update.answerTo);
    result.m_answerToIncarnation = update.answerToIncarnation;
    return result;
}

} // namespace gypsumdale::wire

// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

#include "Node/unusablerecords.h"

#include "Base/log.h"

#include <algorithm>

namespace Yokepond::Node {

namespace {

using Configuration::RecordFault;
using Configuration::RecordKind;

/// Longer keys and reasons are cut; both contain text of other writers.
constexpr std::size_t maxTextLength = 200;
/// Number of lines that are logged at a time; a line more tells how many there would have been.
constexpr std::size_t maxLinesPerUpdate = 20;
/// A skipped row is logged again if there was none like it for this long. It has no key to tell it from another one.
constexpr Base::Duration forgottenAfter = std::chrono::minutes(10);

UnusableRecords::Reasons bounded(const UnusableRecords::Reasons &reasons)
{
    UnusableRecords::Reasons cut;
    std::ranges::for_each(
        reasons, [&](const auto &entry) { cut[entry.first.substr(0, maxTextLength)] = entry.second.substr(0, maxTextLength); });
    return cut;
}

void logRecord(RecordKind kind, const std::string &key, const std::string &reason, std::uint64_t revision)
{
    nlohmann::json fields = {
        {"kind", Base::nameOf(Configuration::recordKindNames, kind)}, {"key", key}, {"reason", reason}, {"revision", revision}};
    if (kind == RecordKind::Endpoint) {
        fields["endpoint"] = key;
    }
    // The configuration before stays in force.
    const auto event = kind == RecordKind::Configuration ? Base::LogEvent::ConfigurationIgnored : Base::LogEvent::RecordRejected;
    Base::log(Base::LogLevel::Warning, event, std::move(fields));
}

} // namespace

void UnusableRecords::countRow(RecordKind kind, RecordFault fault)
{
    ++m_rows[{kind, fault}];
}

void UnusableRecords::skipRow(Base::Instant now, RecordKind kind, RecordFault fault)
{
    countRow(kind, fault);
    const auto [last, isFirst] = m_lastSkipped.try_emplace({kind, fault}, now);
    if (isFirst || now - last->second >= forgottenAfter) {
        Base::log(Base::LogLevel::Warning, Base::LogEvent::RecordRejected,
                  {{"kind", Base::nameOf(Configuration::recordKindNames, kind)},
                   {"reason", Base::nameOf(Configuration::recordFaultNames, fault)}});
    }
    last->second = now;
}

void UnusableRecords::update(RecordKind kind, const Reasons &reasons, std::uint64_t revision)
{
    Reasons present = bounded(reasons);
    Reasons &known = m_reasons[kind];
    std::size_t changes = 0;
    for (const auto &[key, reason] : present) {
        const auto before = known.find(key);
        const bool isKnown = before != known.end() && before->second == reason;
        changes += isKnown ? 0 : 1;
        if (!isKnown && changes <= maxLinesPerUpdate) {
            logRecord(kind, key, reason, revision);
        }
    }
    if (changes > maxLinesPerUpdate) {
        Base::log(Base::LogLevel::Warning, Base::LogEvent::RecordRejected,
                  {{"kind", Base::nameOf(Configuration::recordKindNames, kind)},
                   {"more", changes - maxLinesPerUpdate},
                   {"revision", revision}});
    }
    known = std::move(present);
}

std::size_t UnusableRecords::count(RecordKind kind) const
{
    const auto reasons = m_reasons.find(kind);
    return reasons == m_reasons.end() ? 0 : reasons->second.size();
}

const std::map<UnusableRecords::Fault, std::uint64_t> &UnusableRecords::rows() const
{
    return m_rows;
}

} // namespace Yokepond::Node

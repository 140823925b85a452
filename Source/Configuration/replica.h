// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// A host's copy of the configuration. Its revision never decreases.

#pragma once

#include "Configuration/catalogue.h"
#include "Configuration/objects.h"

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace Yokepond::Configuration {

/// Data from the table or a peer that brings a replica up to date.
struct Update
{
    std::string snapshot; ///< JSON of Objects; may be empty
    std::vector<std::string> log; ///< changes as JSON, in the order of their revisions
};

/// The configuration, with the latest changes for hosts that lag behind.
class Replica
{
public:
    Replica();

    std::uint64_t revision() const;
    const Objects &objects() const;
    std::shared_ptr<const Catalogue> catalogue() const;

    /// Applies @p change if its revision is the next one, and ignores it if it is older. Returns false if revisions are missing
    /// in between.
    bool apply(const Change &change);

    /// Replaces the configuration by @p snapshot if it is newer. Returns whether it was.
    bool install(Objects snapshot);

    /// Applies the parts of @p update that are newer. Ignores a malformed snapshot, and all changes from the first that is
    /// malformed or leaves a gap. Returns whether the revision increased.
    bool update(const Update &update);

    /// Returns what a host at revision @p since needs to reach this revision: the changes if they are still kept, otherwise a
    /// snapshot.
    Update updateSince(std::uint64_t since) const;

    /// Returns the changes that are still kept, oldest first.
    const std::deque<Change> &recentChanges() const;

private:
    void rebuild();

    Objects m_objects;
    std::shared_ptr<const Catalogue> m_catalogue;
    std::deque<Change> m_recent;
};

} // namespace Yokepond::Configuration

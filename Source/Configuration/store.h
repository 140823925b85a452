// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// The configuration in the platform's table: follows it and commits changes to it. See docs/design/configuration.md.

#pragma once

#include "Base/error.h"
#include "Base/hash.h"
#include "Base/time.h"
#include "Configuration/replica.h"
#include "Language/plan.h"
#include "Platform/table.h"

#include <fmt/format.h>

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Yokepond::Configuration {

/// Names the last accepted change. The fence differs each time a lost answer had to be settled.
struct Head
{
    std::uint64_t revision = 0;
    std::string change;
    std::string fence;
};

std::string headToText(const Head &head);

/// Fails with ErrorKind::InvalidValue.
absl::StatusOr<Head> headFromText(std::string_view text);

/// The table key of the change with @p revision; keys sort as revisions do.
std::string logKey(std::uint64_t revision);

inline constexpr std::string_view headKey = "yokepond/head";
inline constexpr std::string_view snapshotKey = "yokepond/snapshot";

/// Commands that an operator wants to be one change.
struct CommitRequest
{
    std::vector<Language::Command> commands;
    std::string author;
    std::string reason;
    std::optional<std::uint64_t> ifRevision; ///< reject unless the configuration is at this revision
    bool dryRun = false;
};

struct CommitResult
{
    absl::Status status; ///< OK: accepted, and in force on this host
    std::uint64_t revision = 0; ///< of the change if accepted, else the present one
    std::string change; ///< the change's id, to ask about an undetermined one
};

using CommitHandler = std::function<void(const CommitResult &)>;

/// All calls and answers on one thread. Commits are carried out one at a time in the order they were given.
template<Platform::Table T>
class Store
{
public:
    /// @p table and @p replica must outlive the store. @p grown is called after the replica's revision has grown.
    Store(T &table, Replica &replica, std::function<void()> grown)
        : m_table(table)
        , m_replica(replica)
        , m_grown(std::move(grown))
    {
    }

    /// Reads the head and what is new behind it; @p done says whether the table answered.
    void poll(std::function<void(bool answered)> done)
    {
        readHead([this, done = std::move(done)](const absl::StatusOr<Head> &head) {
            if (!head.ok()) {
                done(false);
                return;
            }
            catchUp(head->revision, [done](bool reached) { done(reached); });
        });
    }

    /// Fails at once with ErrorKind::Overloaded if too many commits wait.
    void commit(CommitRequest request, CommitHandler handler)
    {
        if (m_queue.size() >= mostWaitingCommits) {
            handler({makeError(Base::ErrorKind::Overloaded, "too many changes wait at this host; try again later"),
                     m_replica.revision(),
                     {}});
            return;
        }
        m_queue.push_back({std::move(request), std::move(handler), Base::hexadecimal(Base::randomValue()), 0});
        if (m_queue.size() == 1) {
            begin();
        }
    }

private:
    struct Pending
    {
        CommitRequest request;
        CommitHandler handler;
        std::string id;
        int tries = 0;
        int olderHeads = 0; ///< read that were behind the replica
    };

    static constexpr std::size_t mostWaitingCommits = 256;
    static constexpr std::size_t logRowsPerRead = 256;
    static constexpr std::uint64_t revisionsPerSnapshot = 64;
    static constexpr int mostTries = 32;
    static constexpr int mostOlderHeads = 5;
    static constexpr int mostSettlingReads = 8;

    void readHead(std::function<void(const absl::StatusOr<Head> &)> handler)
    {
        m_table.range({std::string(headKey), {}, 0},
                      [handler = std::move(handler)](const absl::StatusOr<std::vector<Platform::Row>> &rows) {
                          if (!rows.ok()) {
                              handler(rows.status());
                          } else if (rows->empty()) {
                              handler(Head {});
                          } else {
                              handler(headFromText(rows->front().value));
                          }
                      });
    }

    /// Brings the replica to @p revision from the table's log, or from its snapshot where the log does not reach back.
    void catchUp(std::uint64_t revision, std::function<void(bool)> done)
    {
        if (m_replica.revision() >= revision) {
            done(true);
            return;
        }
        const std::uint64_t before = m_replica.revision();
        m_table.range({logKey(before + 1), logKey(revision + 1), logRowsPerRead},
                      [this, revision, before, done = std::move(done)](const absl::StatusOr<std::vector<Platform::Row>> &rows) {
                          if (!rows.ok()) {
                              done(false);
                              return;
                          }
                          // A peer may have been faster than the table.
                          if (take(*rows) || m_replica.revision() > before) {
                              catchUp(revision, done);
                          } else {
                              readSnapshot(revision, done);
                          }
                      });
    }

    bool take(const std::vector<Platform::Row> &rows)
    {
        Update update;
        for (const Platform::Row &row : rows) {
            update.log.push_back(row.value);
        }
        return grow(update);
    }

    bool grow(const Update &update)
    {
        const bool grown = m_replica.update(update);
        if (grown) {
            m_grown();
        }
        return grown;
    }

    void readSnapshot(std::uint64_t revision, std::function<void(bool)> done)
    {
        m_table.range({std::string(snapshotKey), {}, 0},
                      [this, revision, done = std::move(done)](const absl::StatusOr<std::vector<Platform::Row>> &rows) {
                          if (!rows.ok() || rows->empty() || !grow({rows->front().value, {}})) {
                              done(false);
                              return;
                          }
                          catchUp(revision, done);
                      });
    }

    void begin()
    {
        Pending &pending = m_queue.front();
        if (++pending.tries > mostTries) {
            finish(makeError(
                Base::ErrorKind::Conflict,
                fmt::format("other changes won {} times, the last is '{}'; look and try again", mostTries, lastChange())));
            return;
        }
        readHead([this](const absl::StatusOr<Head> &head) {
            if (!head.ok()) {
                finish(unavailable("the table service cannot be read"));
                return;
            }
            catchUp(head->revision, [this, head = *head](bool reached) {
                reached ? propose(head) : finish(unavailable("the change log cannot be read"));
            });
        });
    }

    void propose(const Head &head)
    {
        Pending &pending = m_queue.front();
        if (m_replica.revision() != head.revision && pending.olderHeads < mostOlderHeads) {
            // A peer may have told of a change that was accepted after the head was read.
            ++pending.olderHeads;
            begin();
            return;
        }
        if (m_replica.revision() != head.revision) {
            finish(unavailable(
                fmt::format("the table is at revision {}, older than the {} in force", head.revision, m_replica.revision())));
            return;
        }
        if (pending.request.ifRevision && *pending.request.ifRevision != head.revision) {
            finish(makeError(Base::ErrorKind::Conflict,
                             fmt::format("the configuration is at revision {}, not {}; change '{}' was first", head.revision,
                                         *pending.request.ifRevision, head.change)));
            return;
        }
        auto mutations = Language::plan(m_replica.objects(), pending.request.commands);
        if (!mutations.ok() || pending.request.dryRun) {
            finish(mutations.status());
            return;
        }
        Change change {head.revision + 1,      pending.id,           Base::wallMicroseconds(), pending.request.author,
                       pending.request.reason, std::move(*mutations)};
        Platform::Transaction transaction {{headGuard(head)}, {}, {}};
        transaction.puts.push_back({std::string(headKey), headToText({change.revision, change.id, {}})});
        transaction.puts.push_back({logKey(change.revision), changeToJson(change).dump()});
        if (change.revision % revisionsPerSnapshot == 0) {
            Objects next = m_replica.objects();
            next.apply(change);
            transaction.puts.push_back({std::string(snapshotKey), next.toJson().dump()});
        }
        m_table.transact(transaction, [this, head, change = std::move(change)](Platform::TransactionResult result) {
            conclude(head, change, result);
        });
    }

    static Platform::Guard headGuard(const Head &head)
    {
        if (head.revision == 0 && head.fence.empty()) {
            return {std::string(headKey), std::nullopt};
        }
        return {std::string(headKey), headToText(head)};
    }

    void conclude(const Head &head, const Change &change, Platform::TransactionResult result)
    {
        switch (result) {
        case Platform::TransactionResult::Done:
            accepted(change);
            return;
        case Platform::TransactionResult::GuardFailed:
            begin();
            return;
        case Platform::TransactionResult::NotSent:
            finish(unavailable("the table service cannot be reached"));
            return;
        case Platform::TransactionResult::Undetermined:
            settle(head, change, 0);
            return;
        }
    }

    /// Finds out whether a transaction whose answer was lost has taken effect. A head that still stands could yet be replaced
    /// by the lost transaction, so it is fenced first: once it has changed, the lost one can no longer take effect.
    void settle(const Head &head, const Change &change, int reads, bool headChanged = false)
    {
        if (reads >= mostSettlingReads) {
            finish(makeError(
                Base::ErrorKind::Undetermined,
                fmt::format("the answer to change '{}' was lost and cannot be settled now; ask: show changes where id = {}",
                            change.id, change.id)));
            return;
        }
        m_table.range({logKey(change.revision), {}, 0},
                      [this, head, change, reads, headChanged](const absl::StatusOr<std::vector<Platform::Row>> &rows) {
                          if (!rows.ok()) {
                              settle(head, change, reads + 1, headChanged);
                          } else if (!rows->empty()) {
                              const auto winner = changeFromJson(parseJson(rows->front().value));
                              winner.ok() && winner->id == change.id ? accepted(change) : begin();
                          } else if (headChanged) {
                              begin();
                          } else {
                              fence(head, change, reads);
                          }
                      });
    }

    void fence(const Head &head, const Change &change, int reads)
    {
        Head fenced = head;
        fenced.fence = Base::hexadecimal(Base::randomValue());
        Platform::Transaction transaction {{headGuard(head)}, {{std::string(headKey), headToText(fenced)}}, {}};
        m_table.transact(transaction, [this, head, change, reads](Platform::TransactionResult result) {
            const bool headChanged
                = result == Platform::TransactionResult::Done || result == Platform::TransactionResult::GuardFailed;
            settle(head, change, reads + 1, headChanged);
        });
    }

    void accepted(const Change &change)
    {
        if (m_replica.revision() < change.revision) {
            m_replica.apply(change);
            m_grown();
        }
        finish(absl::OkStatus(), change.revision);
    }

    static absl::Status unavailable(std::string_view why)
    {
        return makeError(Base::ErrorKind::StoreUnavailable,
                         fmt::format("{}; the change is surely not accepted, try again later", why));
    }

    std::string lastChange() const
    {
        return m_replica.recentChanges().empty() ? std::string() : m_replica.recentChanges().back().id;
    }

    void finish(const absl::Status &status, std::uint64_t revision = 0)
    {
        const Pending pending = std::move(m_queue.front());
        m_queue.pop_front();
        pending.handler({status, revision == 0 ? m_replica.revision() : revision, pending.id});
        if (!m_queue.empty()) {
            begin();
        }
    }

    T &m_table;
    Replica &m_replica;
    std::function<void()> m_grown;
    std::deque<Pending> m_queue;
};

} // namespace Yokepond::Configuration

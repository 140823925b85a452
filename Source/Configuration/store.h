// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Access to the configuration in the platform's table service: applies changes from the table to the host's replica, and commits
/// changes to the table. See docs/design/configuration.md.

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

/// The record of the last accepted change in the table.
struct Head
{
    std::uint64_t revision = 0;
    std::string change;
    std::string fence; ///< empty, or a random value that makes the guard of a transaction with a lost response fail
};

/// Returns @p head as JSON text.
std::string headToText(const Head &head);

/// Parses a head from JSON text. Fails with ErrorKind::InvalidValue.
absl::StatusOr<Head> headFromText(std::string_view text);

/// Returns the table key of the change with @p revision. Keys sort in the order of their revisions.
std::string logKey(std::uint64_t revision);

inline constexpr std::string_view headKey = "yokepond/head";
inline constexpr std::string_view snapshotKey = "yokepond/snapshot";

/// Commands that an operator submits as one change.
struct CommitRequest
{
    std::vector<Language::Command> commands;
    std::string author;
    std::string reason;
    std::optional<std::uint64_t> ifRevision; ///< if set, reject the change unless the configuration is at this revision
    bool dryRun = false; ///< check the commands without committing them
};

struct CommitResult
{
    absl::Status status; ///< OK if the change was accepted and is applied on this host
    std::uint64_t revision = 0; ///< revision of the change if it was accepted, otherwise the current one
    std::string change; ///< id of the change, to look up a change whose outcome is undetermined
};

using CommitHandler = std::function<void(const CommitResult &)>;

/// Keeps a replica up to date with the table, and commits changes to the table. All calls and handlers run on one thread. Commits
/// are processed one at a time, in the order in which they were given.
template<Platform::Table T>
class Store
{
public:
    /// @p table and @p replica must outlive the store. @p onUpdate is called after the replica's revision has increased.
    Store(T &table, Replica &replica, std::function<void()> onUpdate)
        : m_table(table)
        , m_replica(replica)
        , m_onUpdate(std::move(onUpdate))
    {
    }

    /// Reads the head and the changes that the replica lacks. Then calls @p done with whether the replica has caught up with
    /// the head.
    void poll(std::function<void(bool upToDate)> done)
    {
        readHead([this, done = std::move(done)](const absl::StatusOr<Head> &head) {
            if (!head.ok()) {
                done(false);
                return;
            }
            catchUp(head->revision, [done](bool caughtUp) { done(caughtUp); });
        });
    }

    /// Queues @p request. Fails at once with ErrorKind::Overloaded if too many commits are queued.
    void commit(CommitRequest request, CommitHandler handler)
    {
        if (m_queue.size() >= maxQueuedCommits) {
            handler({makeError(Base::ErrorKind::Overloaded, "too many changes are queued at this host; try again later"),
                     m_replica.revision(),
                     {}});
            return;
        }
        m_queue.push_back({std::move(request), std::move(handler), Base::hexadecimal(Base::randomValue()), 0});
        if (m_queue.size() == 1) {
            startAttempt();
        }
    }

private:
    /// A commit that is queued or in progress.
    struct Pending
    {
        CommitRequest request;
        CommitHandler handler;
        std::string id;
        int attempts = 0;
        int staleHeads = 0; ///< number of heads that were read and were older than the replica
    };

    static constexpr std::size_t maxQueuedCommits = 256;
    static constexpr std::size_t logRowsPerRead = 256;
    static constexpr std::uint64_t revisionsPerSnapshot = 64;
    static constexpr int maxAttempts = 32;
    static constexpr int maxStaleHeads = 5;
    static constexpr int maxSettleReads = 8; ///< reads of the log after a lost response

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

    /// Brings the replica to @p revision from the table's log, or from the table's snapshot if the log does not go back far
    /// enough.
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
                          // The replica may have got the changes from a peer meanwhile.
                          if (applyRows(*rows) || m_replica.revision() > before) {
                              catchUp(revision, done);
                          } else {
                              readSnapshot(revision, done);
                          }
                      });
    }

    bool applyRows(const std::vector<Platform::Row> &rows)
    {
        Update update;
        for (const Platform::Row &row : rows) {
            update.log.push_back(row.value);
        }
        return applyUpdate(update);
    }

    bool applyUpdate(const Update &update)
    {
        const bool updated = m_replica.update(update);
        if (updated) {
            m_onUpdate();
        }
        return updated;
    }

    void readSnapshot(std::uint64_t revision, std::function<void(bool)> done)
    {
        m_table.range({std::string(snapshotKey), {}, 0},
                      [this, revision, done = std::move(done)](const absl::StatusOr<std::vector<Platform::Row>> &rows) {
                          if (!rows.ok() || rows->empty() || !applyUpdate({rows->front().value, {}})) {
                              done(false);
                              return;
                          }
                          catchUp(revision, done);
                      });
    }

    void startAttempt()
    {
        Pending &pending = m_queue.front();
        if (++pending.attempts > maxAttempts) {
            finish(makeError(
                Base::ErrorKind::Conflict,
                fmt::format("other changes were committed first {} times, the last one is '{}'; review it and try again",
                            maxAttempts, lastChange())));
            return;
        }
        readHead([this](const absl::StatusOr<Head> &head) {
            if (!head.ok()) {
                finish(unavailable("the table service cannot be read"));
                return;
            }
            catchUp(head->revision, [this, head = *head](bool caughtUp) {
                caughtUp ? propose(head) : finish(unavailable("the change log in the table service cannot be read"));
            });
        });
    }

    void propose(const Head &head)
    {
        Pending &pending = m_queue.front();
        if (m_replica.revision() != head.revision && pending.staleHeads < maxStaleHeads) {
            // A peer may have sent a change that was accepted after the head was read.
            ++pending.staleHeads;
            startAttempt();
            return;
        }
        if (m_replica.revision() != head.revision) {
            finish(unavailable(fmt::format("the table service is at revision {}, older than revision {} of this host",
                                           head.revision, m_replica.revision())));
            return;
        }
        if (pending.request.ifRevision && *pending.request.ifRevision != head.revision) {
            finish(makeError(Base::ErrorKind::Conflict,
                             fmt::format("the configuration is at revision {}, not {}; change '{}' was committed first",
                                         head.revision, *pending.request.ifRevision, head.change)));
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
            handleResult(head, change, result);
        });
    }

    static Platform::Guard headGuard(const Head &head)
    {
        if (head.revision == 0 && head.fence.empty()) {
            return {std::string(headKey), std::nullopt};
        }
        return {std::string(headKey), headToText(head)};
    }

    void handleResult(const Head &head, const Change &change, Platform::TransactionResult result)
    {
        switch (result) {
        case Platform::TransactionResult::Done:
            finishAccepted(change);
            return;
        case Platform::TransactionResult::GuardFailed:
            startAttempt();
            return;
        case Platform::TransactionResult::NotSent:
            finish(unavailable("the table service cannot be reached"));
            return;
        case Platform::TransactionResult::Undetermined:
            settleLostResponse(head, change, 0);
            return;
        }
    }

    /// Finds out whether a transaction whose response was lost has been applied. While the head is unchanged, the transaction may
    /// still be applied later. Therefore the head gets a new fence first: once the head has changed, the guard of the lost
    /// transaction no longer holds.
    void settleLostResponse(const Head &head, const Change &change, int reads, bool headChanged = false)
    {
        if (reads >= maxSettleReads) {
            finish(makeError(
                Base::ErrorKind::Undetermined,
                fmt::format(
                    "the response to change '{}' was lost and its outcome is unknown; to check it: show changes where id = {}",
                    change.id, change.id)));
            return;
        }
        m_table.range({logKey(change.revision), {}, 0},
                      [this, head, change, reads, headChanged](const absl::StatusOr<std::vector<Platform::Row>> &rows) {
                          if (!rows.ok()) {
                              settleLostResponse(head, change, reads + 1, headChanged);
                          } else if (!rows->empty()) {
                              const auto winner = changeFromJson(parseJson(rows->front().value));
                              winner.ok() && winner->id == change.id ? finishAccepted(change) : startAttempt();
                          } else if (headChanged) {
                              startAttempt();
                          } else {
                              fenceHead(head, change, reads);
                          }
                      });
    }

    void fenceHead(const Head &head, const Change &change, int reads)
    {
        Head fenced = head;
        fenced.fence = Base::hexadecimal(Base::randomValue());
        Platform::Transaction transaction {{headGuard(head)}, {{std::string(headKey), headToText(fenced)}}, {}};
        m_table.transact(transaction, [this, head, change, reads](Platform::TransactionResult result) {
            const bool headChanged
                = result == Platform::TransactionResult::Done || result == Platform::TransactionResult::GuardFailed;
            settleLostResponse(head, change, reads + 1, headChanged);
        });
    }

    void finishAccepted(const Change &change)
    {
        if (m_replica.revision() < change.revision) {
            m_replica.apply(change);
            m_onUpdate();
        }
        finish(absl::OkStatus(), change.revision);
    }

    static absl::Status unavailable(std::string_view why)
    {
        return makeError(Base::ErrorKind::StoreUnavailable, fmt::format("{}; the change was not accepted, try again later", why));
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
            startAttempt();
        }
    }

    T &m_table;
    Replica &m_replica;
    std::function<void()> m_onUpdate;
    std::deque<Pending> m_queue;
};

} // namespace Yokepond::Configuration

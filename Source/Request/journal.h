// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Claims and outcomes of operations in the platform's table. See docs/design/at-most-once.md.

#pragma once

#include "Base/hash.h"
#include "Base/time.h"
#include "Platform/table.h"
#include "Request/types.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Yokepond::Request {

/// An operation's row: who may run it, and how it ended.
struct OperationRecord
{
    std::string home; ///< host name
    std::uint64_t incarnation = 0;
    std::string token; ///< of the claim, unique; settles a write whose answer was lost
    std::string bodyDigest;
    std::optional<Outcome> outcome; ///< nothing while it has not ended
    std::int64_t atMicroseconds = 0; ///< wall clock, for expiry by operators

    bool operator==(const OperationRecord &) const = default;
};

std::string recordToText(const OperationRecord &record);

/// Nothing if @p text is malformed.
std::optional<OperationRecord> recordFromText(std::string_view text);

/// The table key of an operation; the caller's key is hashed, so that it has a fixed length.
std::string operationKey(std::uint32_t organisation, std::string_view key);

enum class ClaimResult {
    Acquired, ///< this home may run the operation
    AlreadyClaimed, ///< another claim was first; the record tells whose
    Unavailable, ///< the table cannot say; this home must not run the operation now
};

using ClaimHandler = std::function<void(ClaimResult, const OperationRecord &)>;
using LookupHandler = std::function<void(absl::StatusOr<std::optional<OperationRecord>>)>;

struct JournalCounters
{
    std::uint64_t claims = 0;
    std::uint64_t transactions = 0;
    std::uint64_t recorded = 0;
    std::uint64_t dropped = 0; ///< outcomes given up because too many waited; the operations end as unknown elsewhere
};

/// Batches claims and outcomes into transactions; one is under way at a time. All calls on one thread.
template<Platform::Table T>
class Journal
{
public:
    /// @p table must outlive the journal.
    Journal(T &table, std::string home, std::uint64_t incarnation)
        : m_table(table)
        , m_home(std::move(home))
        , m_incarnation(incarnation)
    {
    }

    void claim(const std::string &key, const std::string &bodyDigest, ClaimHandler handler)
    {
        ++m_counters.claims;
        OperationRecord record {m_home,     m_incarnation, Base::hexadecimal(Base::randomValue()),
                                bodyDigest, std::nullopt,  Base::wallMicroseconds()};
        if (m_claims.size() >= mostWaiting) {
            handler(ClaimResult::Unavailable, record);
            return;
        }
        m_claims.push_back({key, std::move(record), std::move(handler)});
        if (!m_claiming) {
            claimNext();
        }
    }

    /// Writes down how an operation ended. Kept and tried again while the table is away.
    void record(const std::string &key, OperationRecord record)
    {
        record.atMicroseconds = Base::wallMicroseconds();
        if (m_outcomes.size() >= mostWaiting) {
            ++m_counters.dropped;
            return;
        }
        m_outcomes.push_back({key, recordToText(record)});
    }

    /// Reads an operation's row. Fails with ErrorKind::StoreUnavailable.
    void lookup(const std::string &key, LookupHandler handler)
    {
        m_table.range({key, {}, 0}, [handler = std::move(handler)](const absl::StatusOr<std::vector<Platform::Row>> &rows) {
            if (!rows.ok()) {
                handler(rows.status());
            } else {
                handler(rows->empty() ? std::nullopt : recordFromText(rows->front().value));
            }
        });
    }

    /// Writes a batch of outcomes if any wait and none is under way. Call some times a second.
    void flush()
    {
        if (m_recording || m_outcomes.empty()) {
            return;
        }
        m_recording = true;
        const std::size_t count = std::min(m_outcomes.size(), rowsPerTransaction);
        Platform::Transaction transaction;
        std::copy_n(m_outcomes.begin(), count, std::back_inserter(transaction.puts));
        ++m_counters.transactions;
        m_table.transact(transaction, [this, count](Platform::TransactionResult result) {
            m_recording = false;
            // Only the home writes an operation's end, so that writing it twice does no harm.
            if (result == Platform::TransactionResult::Done) {
                m_outcomes.erase(m_outcomes.begin(), m_outcomes.begin() + static_cast<std::ptrdiff_t>(count));
                m_counters.recorded += count;
            }
        });
    }

    /// Outcomes not yet in the table.
    std::size_t pendingOutcomes() const
    {
        return m_outcomes.size();
    }

    const JournalCounters &counters() const
    {
        return m_counters;
    }

private:
    struct Claim
    {
        std::string key;
        OperationRecord record;
        ClaimHandler handler;
    };

    static constexpr std::size_t mostWaiting = 10'000;
    static constexpr std::size_t rowsPerTransaction = 64;
    static constexpr int mostSettlingReads = 3;

    void claimNext()
    {
        m_claiming = !m_claims.empty();
        if (!m_claiming) {
            return;
        }
        std::vector<Claim> batch;
        while (!m_claims.empty() && batch.size() < rowsPerTransaction) {
            // A key stands in a transaction once.
            const bool twice
                = std::ranges::any_of(batch, [this](const Claim &claim) { return claim.key == m_claims.front().key; });
            if (twice) {
                break;
            }
            batch.push_back(std::move(m_claims.front()));
            m_claims.pop_front();
        }
        send(std::move(batch), [this] { claimNext(); });
    }

    /// Claims all of @p batch in one transaction; if some key is taken, each on its own.
    void send(std::vector<Claim> batch, std::function<void()> done)
    {
        Platform::Transaction transaction;
        for (const Claim &claim : batch) {
            transaction.guards.push_back({claim.key, std::nullopt});
            transaction.puts.push_back({claim.key, recordToText(claim.record)});
        }
        ++m_counters.transactions;
        m_table.transact(transaction,
                         [this, batch = std::move(batch), done = std::move(done)](Platform::TransactionResult result) mutable {
                             if (result == Platform::TransactionResult::GuardFailed && batch.size() > 1) {
                                 sendEach(std::move(batch), 0, std::move(done));
                                 return;
                             }
                             for (Claim &claim : batch) {
                                 conclude(claim, result);
                             }
                             done();
                         });
    }

    void sendEach(std::vector<Claim> batch, std::size_t index, std::function<void()> done)
    {
        if (index == batch.size()) {
            done();
            return;
        }
        std::vector<Claim> one {batch[index]};
        send(std::move(one), [this, batch = std::move(batch), index, done = std::move(done)]() mutable {
            sendEach(std::move(batch), index + 1, std::move(done));
        });
    }

    void conclude(Claim &claim, Platform::TransactionResult result)
    {
        if (result == Platform::TransactionResult::Done) {
            claim.handler(ClaimResult::Acquired, claim.record);
        } else if (result == Platform::TransactionResult::NotSent) {
            claim.handler(ClaimResult::Unavailable, claim.record);
        } else {
            settle(claim, 0);
        }
    }

    /// Reads back whose claim stands. An absent row after a lost answer is not proof: the write may still be on its way.
    void settle(const Claim &claim, int reads)
    {
        lookup(claim.key, [this, claim, reads](absl::StatusOr<std::optional<OperationRecord>> found) {
            if (found.ok() && *found) {
                const bool mine = (*found)->token == claim.record.token;
                claim.handler(mine ? ClaimResult::Acquired : ClaimResult::AlreadyClaimed, **found);
            } else if (reads + 1 < mostSettlingReads) {
                settle(claim, reads + 1);
            } else {
                claim.handler(ClaimResult::Unavailable, claim.record);
            }
        });
    }

    T &m_table;
    std::string m_home;
    std::uint64_t m_incarnation;
    std::deque<Claim> m_claims;
    std::deque<Platform::Row> m_outcomes;
    bool m_claiming = false;
    bool m_recording = false;
    JournalCounters m_counters;
};

} // namespace Yokepond::Request

#include "abandonment.h"
#include "claim_rows.h"
#include "group_writer.h"

#include <chicorywick/base/overloaded.h>
#include <chicorywick/base/unique_id.h>
#include <chicorywick/serving/idempotency_store.h>

#include <algorithm>
#include <atomic>
#include <thread>

namespace chicorywick::serving {

namespace {

constexpr std::size_t kAbandonmentsPerStep = 20;
constexpr base::Duration kIdleWait = std::chrono::milliseconds(200);
constexpr std::size_t kDeletesPerTransaction = 40;
constexpr const char *kPrefix = "idem/";
// The platform's row limit covers the body, the headers and the claim together.
constexpr std::size_t kMaxRowValueBytes = platform::kMaxRowBytes - 1024;

base::Error unavailable(const std::string &detail)
{
    return base::makeError(base::Code::IdempotencyStoreUnavailable, detail);
}

ClaimResult toClaimResult(ClaimView view)
{
    return std::visit(base::Overloaded{[](ClaimFree &) -> ClaimResult { return ClaimHeld{}; },
                                       [](auto &other) -> ClaimResult { return other; }},
                      view);
}

} // namespace

class IdempotencyStore::Impl
{
public:
    Impl(platform::Table givenTable, platform::ObjectStore givenObjects, base::Clock givenClock,
         IdempotencyStoreOptions givenOptions)
        : table(std::move(givenTable))
        , objects(std::move(givenObjects))
        , clock(std::move(givenClock))
        , options(givenOptions)
        , writer(table, {.maxGroup = options.maxGroup, .maxWaiting = options.maxWaiting})
    {}

    void run();
    void processPending();
    void submitAbandonments();
    void followUp(const PendingWrite &write);
    ClaimView viewOf(const platform::Row &row, const ClaimKey &key) const;
    base::Result<std::string> rowValue(const Claim &claim, const RecordedResponse &response) const;

    platform::Table table;
    platform::ObjectStore objects;
    base::Clock clock;
    IdempotencyStoreOptions options;
    GroupWriter writer;
    AbandonmentQueue abandonments;
    std::atomic<bool> stopping = false;
    std::thread thread;
};

void IdempotencyStore::Impl::run()
{
    while (!stopping) {
        writer.waitForWork(kIdleWait, options.groupWait);
        processPending();
    }
    // Write the abandonments that were added last.
    processPending();
}

void IdempotencyStore::Impl::processPending()
{
    submitAbandonments();
    for (const GroupWriter::Write &write : writer.step())
        followUp(*write);
}

void IdempotencyStore::Impl::submitAbandonments()
{
    for (Abandonment &due : abandonments.takeDue(clock.now(), kAbandonmentsPerStep)) {
        const auto row = table.get(claimRowKey(due.claim.key));
        if (!row) {
            abandonments.retry(std::move(due), clock.now());
            continue;
        }
        const GroupWriter::Write write = abandonmentWrite(due, row.value());
        if (write && !writer.submit(write))
            abandonments.retry(std::move(due), clock.now());
    }
}

// The request of a withdrawn claim, or of one whose commit is unresolved, was not sent, so the
// claim is marked abandoned.
void IdempotencyStore::Impl::followUp(const PendingWrite &write)
{
    const bool isGivenUp = write.isWithdrawn && write.state == WriteState::Written;
    const bool isUnresolved = write.state == WriteState::Unresolved;
    if (write.kind == WriteKind::Claim && (isGivenUp || isUnresolved))
        abandonments.add({write.claim, write.expectedVersion, 0, clock.now()});
    if (write.kind == WriteKind::Abandonment && write.state != WriteState::Written)
        abandonments.retry({write.claim, write.claim.version, write.tries, {}}, clock.now());
}

ClaimView IdempotencyStore::Impl::viewOf(const platform::Row &row, const ClaimKey &key) const
{
    v1::ClaimRow parsed;
    if (!parsed.ParseFromString(row.value))
        return ClaimHeld{true};
    if (auto view = viewOfRow(parsed, row.version, key, clock.now(), options.holderLifetime))
        return std::move(*view);
    RecordedResponse response = recordedResponse(parsed);
    if (parsed.response().body_object().empty())
        return response;
    auto body = objects.get(parsed.response().body_object());
    if (!body)
        return ClaimUnreadable{};
    response.body = std::move(body.value());
    return response;
}

base::Result<std::string> IdempotencyStore::Impl::rowValue(const Claim &claim,
                                                           const RecordedResponse &response) const
{
    std::string object;
    if (response.body.size() > options.maxRowBodyBytes) {
        object = platform::objectName("idem", response.body);
        BOOST_OUTCOME_TRY(objects.put(object, response.body));
    }
    std::string value = completedRow(claim, response, object).SerializeAsString();
    if (value.size() > kMaxRowValueBytes)
        return base::makeError(base::Code::TableTransactionTooLarge,
                               "the response headers do not fit in a table row");
    return value;
}

IdempotencyStore::IdempotencyStore(platform::Table table, platform::ObjectStore objects,
                                   base::Clock clock, IdempotencyStoreOptions options)
    : impl_(std::make_shared<Impl>(std::move(table), std::move(objects), std::move(clock), options))
{
    if (options.background)
        impl_->thread = std::thread([impl = impl_.get()] { impl->run(); });
}

IdempotencyStore::~IdempotencyStore()
{
    impl_->stopping = true;
    impl_->writer.shutDown();
    if (impl_->thread.joinable())
        impl_->thread.join();
}

base::Result<ClaimView> IdempotencyStore::lookUp(const ClaimKey &key) const
{
    const auto row = impl_->table.get(claimRowKey(key));
    if (!row)
        return unavailable(row.error().message);
    if (!row.value())
        return ClaimView(ClaimFree{});
    return impl_->viewOf(*row.value(), key);
}

base::Result<ClaimResult> IdempotencyStore::claim(const ClaimKey &key, const ClaimFree &found,
                                                  std::optional<base::Duration> limit)
{
    BOOST_OUTCOME_TRY(pending, beginClaim(key, found));
    return awaitClaim(pending, limit);
}

base::Result<PendingClaim> IdempotencyStore::beginClaim(const ClaimKey &key, const ClaimFree &found)
{
    PendingClaim pending;
    pending.claim = Claim{key, base::uniqueId(), 0, base::toMillis(impl_->clock.now())};
    pending.write = std::make_shared<PendingWrite>();
    PendingWrite &write = *pending.write;
    write.key = claimRowKey(key);
    write.expectedVersion = found.version;
    write.value = claimRow(pending.claim, v1::CLAIM_STATE_HELD).SerializeAsString();
    write.kind = WriteKind::Claim;
    write.claim = pending.claim;
    if (!impl_->writer.submit(pending.write))
        return unavailable("the claim queue is full");
    return pending;
}

base::Result<ClaimResult> IdempotencyStore::awaitClaim(const PendingClaim &pending,
                                                       std::optional<base::Duration> limit)
{
    const IdempotencyStoreOptions &options = impl_->options;
    const base::Duration wait =
            options.background ? std::min(limit.value_or(options.claimWait), options.claimWait)
                               : base::Duration::zero();
    switch (impl_->writer.await(pending.write, wait, true)) {
    case WriteState::Written: {
        Claim claim = pending.claim;
        claim.version = pending.write->version;
        return ClaimResult(std::move(claim));
    }
    case WriteState::Conflict:
        break;
    case WriteState::Waiting:
        return unavailable("timed out waiting for the claim to be committed");
    case WriteState::Failed:
        return unavailable("the table did not commit the claim");
    case WriteState::Unresolved:
        return unavailable("the outcome of the claim's commit is unknown");
    }
    const auto &found = pending.write->found;
    if (!found)
        return unavailable("the conflicting claim was deleted concurrently");
    return toClaimResult(impl_->viewOf(*found, pending.claim.key));
}

base::Result<void> IdempotencyStore::complete(const Claim &claim, const RecordedResponse &response)
{
    BOOST_OUTCOME_TRY(value, impl_->rowValue(claim, response));
    auto write = std::make_shared<PendingWrite>();
    write->key = claimRowKey(claim.key);
    write->expectedVersion = claim.version;
    write->value = std::move(value);
    write->kind = WriteKind::Completion;
    write->claim = claim;
    if (!impl_->writer.submit(write))
        return unavailable("the write queue is full");
    if (!impl_->options.background)
        return base::ok();
    if (impl_->writer.await(write, impl_->options.completeWait, false) != WriteState::Written)
        return unavailable("the response was not confirmed as recorded");
    return base::ok();
}

void IdempotencyStore::abandon(const Claim &claim)
{
    impl_->abandonments.add({claim, claim.version, 0, impl_->clock.now()});
}

base::Result<std::string> IdempotencyStore::removeExpired(const std::string &after,
                                                          std::uint32_t rows)
{
    BOOST_OUTCOME_TRY(page, impl_->table.scan(kPrefix, after, rows));
    const base::TimePoint now = impl_->clock.now();
    platform::Transaction transaction;
    transaction.writer = base::uniqueId();
    for (const platform::Row &row : page.rows) {
        v1::ClaimRow parsed;
        const bool isExpired =
                parsed.ParseFromString(row.value)
                && now - base::fromMillis(parsed.claimed_at_ms()) > impl_->options.retention;
        if (!isExpired || transaction.deletes.size() >= kDeletesPerTransaction)
            continue;
        if (!parsed.response().body_object().empty())
            static_cast<void>(impl_->objects.remove(parsed.response().body_object()));
        transaction.conditions.push_back({row.key, row.version});
        transaction.deletes.push_back(row.key);
    }
    if (!transaction.deletes.empty()) {
        BOOST_OUTCOME_TRY(impl_->table.commit(transaction));
    }
    return page.more && !page.rows.empty() ? page.rows.back().key : std::string();
}

void IdempotencyStore::flush()
{
    impl_->processPending();
}

IdempotencyStoreCounters IdempotencyStore::counters() const
{
    const GroupWriterCounters counted = impl_->writer.counters();
    return {counted.transactions, counted.rowsWritten, counted.conflicts, counted.unresolved};
}

} // namespace chicorywick::serving

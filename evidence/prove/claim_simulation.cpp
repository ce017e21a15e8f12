#include "evidence/prove/claim_simulation.h"

#include "evidence/prove/proxy_fixture.h"

namespace chicorywick::prove {

namespace {

constexpr int kStores = 3;
constexpr int kKeys = 4;
constexpr int kRequests = 24;
constexpr int kMaxSteps = 600;

/// @brief Where a request stands.
enum class Stage { New, Free, Begun, Claimed, Ended };

struct SimulatedRequest
{
    int number = 0;
    std::size_t store = 0;
    serving::ClaimKey key;
    Stage stage = Stage::New;
    serving::ClaimFree free;
    serving::PendingClaim pending;
    serving::Claim claim;
};

class Simulation
{
public:
    explicit Simulation(std::uint64_t seed)
        : rng_(seed)
        , time_(std::make_shared<base::ManualTime>())
        , platform_(std::make_shared<platform::MemoryPlatform>(
                  platform::MemoryPlatformOptions{.clock = base::Clock(time_), .seed = seed}))
    {
        serving::IdempotencyStoreOptions options;
        options.background = false;
        options.maxRowBodyBytes = 100;
        options.maxGroup = 1 + rng_.below(8);
        for (int i = 0; i < kStores; ++i)
            stores_.push_back(makeStore(platform_, options, base::Clock(time_)));
        for (int i = 0; i < kRequests; ++i)
            requests_.push_back(newRequest(i));
    }

    std::string run()
    {
        for (int step = 0; step < kMaxSteps && violation_.empty(); ++step) {
            if (rng_.chance(0.1))
                platform_->setFaults(drawFaults());
            time_->advance(std::chrono::milliseconds(rng_.below(200)));
            if (rng_.chance(0.3))
                stores_[rng_.below(stores_.size())]->flush();
            else
                advance(requests_[rng_.below(requests_.size())]);
        }
        return violation_.empty() ? std::string() : violation_ + '\n' + trace_;
    }

private:
    SimulatedRequest newRequest(int number)
    {
        SimulatedRequest request;
        request.number = number;
        request.store = rng_.below(kStores);
        request.key = {"c", "k" + std::to_string(rng_.below(kKeys)),
                       rng_.chance(0.1) ? "other" : "same"};
        return request;
    }

    platform::FaultPlan drawFaults()
    {
        platform::FaultPlan faults;
        if (rng_.chance(0.3))
            return faults;
        faults.table.down = rng_.chance(0.15);
        faults.table.loseAnswer = rng_.uniform() * 0.5;
        faults.table.loseRequest = rng_.uniform() * 0.5;
        faults.table.lateCommit = rng_.uniform() * 0.8;
        faults.objects.down = rng_.chance(0.2);
        return faults;
    }

    serving::IdempotencyStore &storeOf(const SimulatedRequest &request)
    {
        return *stores_[request.store];
    }

    void note(const SimulatedRequest &request, const std::string &text)
    {
        trace_ += "  request " + std::to_string(request.number) + " key " + request.key.key
                  + " store " + std::to_string(request.store) + ": " + text + '\n';
    }

    void advance(SimulatedRequest &request)
    {
        switch (request.stage) {
        case Stage::New:
            look(request);
            break;
        case Stage::Free:
            begin(request);
            break;
        case Stage::Begun:
            await(request);
            break;
        case Stage::Claimed:
            use(request);
            break;
        case Stage::Ended:
            break;
        }
    }

    void look(SimulatedRequest &request)
    {
        const auto view = storeOf(request).lookUp(request.key);
        request.stage = Stage::Ended;
        if (!view)
            return;
        if (const auto *free = std::get_if<serving::ClaimFree>(&view.value())) {
            request.free = *free;
            request.stage = Stage::Free;
        } else if (const auto *kept = std::get_if<serving::RecordedResponse>(&view.value())) {
            checkKept(request, *kept);
        }
    }

    void begin(SimulatedRequest &request)
    {
        auto pending = storeOf(request).beginClaim(request.key, request.free);
        request.stage = pending ? Stage::Begun : Stage::Ended;
        if (pending)
            request.pending = pending.value();
    }

    // A caller may give up before the claim is on its way, while it waits, or after it is written.
    void await(SimulatedRequest &request)
    {
        if (rng_.chance(0.7))
            storeOf(request).flush();
        const auto answer = storeOf(request).awaitClaim(request.pending);
        request.stage = Stage::Ended;
        if (!answer)
            return;
        if (const auto *claim = std::get_if<serving::Claim>(&answer.value())) {
            request.claim = *claim;
            request.stage = Stage::Claimed;
            note(request, "claimed at version " + std::to_string(claim->version));
        } else if (const auto *kept = std::get_if<serving::RecordedResponse>(&answer.value())) {
            checkKept(request, *kept);
        }
    }

    void use(SimulatedRequest &request)
    {
        request.stage = Stage::Ended;
        if (rng_.chance(0.3)) {
            note(request, "not sent, abandoned");
            storeOf(request).abandon(request.claim);
            return;
        }
        note(request, "sent");
        auto &ran = ran_[request.key.key];
        ran.push_back(request.number);
        if (ran.size() > 1)
            violation_ = request.key.key + " was sent " + std::to_string(ran.size()) + " times";
        if (rng_.chance(0.2))
            return; // The holder dies.
        static_cast<void>(storeOf(request).complete(request.claim, responseOf(request.number)));
    }

    static serving::RecordedResponse responseOf(int number)
    {
        const std::size_t size = number % 2 == 0 ? 10 : 500;
        return {.status = 200,
                .headers = {{"X-For", std::to_string(number)}},
                .body = bodyFor(std::to_string(number), size)};
    }

    void checkKept(const SimulatedRequest &request, const serving::RecordedResponse &kept)
    {
        const auto &ran = ran_[request.key.key];
        if (ran.empty() || kept != responseOf(ran.front()))
            violation_ = request.key.key + ": the stored response is not that of the run";
        if (!violation_.empty())
            note(request, "got a stored response");
    }

    base::Rng rng_;
    std::shared_ptr<base::ManualTime> time_;
    std::shared_ptr<platform::MemoryPlatform> platform_;
    std::vector<std::shared_ptr<serving::IdempotencyStore>> stores_;
    std::vector<SimulatedRequest> requests_;
    std::map<std::string, std::vector<int>> ran_;
    std::string violation_;
    std::string trace_;
};

} // namespace

std::string simulateClaims(std::uint64_t seed)
{
    return Simulation(seed).run();
}

} // namespace chicorywick::prove

// SPDX-License-Identifier: BSD-3-Clause
// SPDX-FileCopyrightText: 2026 yokepond maintainers

/// @file
/// Long seeded simulations of homes and dispatchers. The network loses, delays, duplicates and reorders messages, while
/// dispatchers change and homes restart. The code under test checks its own invariants; the test checks that every request ends
/// exactly once and that an unrepeatable request runs at most once.

#include "Dispatch/dispatcher.h"
#include "Request/home.h"

#include "Dispatch/fixtures.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <cstdlib>
#include <map>
#include <random>
#include <set>

using namespace Yokepond;
using Configuration::Kind;
using Peer::Member;
using Peer::MemberState;

namespace {

constexpr int steps = 30'000;
constexpr Base::Duration stepTime = std::chrono::milliseconds(10);
constexpr int hosts = 4;

/// The network, the endpoints and the hosts of one simulation.
class Simulation
{
public:
    explicit Simulation(std::uint64_t seed)
        : m_random(seed)
    {
        std::string statements(Tests::threeTiers);
        statements += "create class once tier high pool main repeatable no deadline 20s\ncreate setting queue-limit value 20\n";
        m_objects = Tests::objectsOf(statements);
        m_catalogue = Configuration::Catalogue::build(m_objects);
        for (int index = 0; index < hosts; ++index) {
            m_members.push_back(
                {fmt::format("h{}", index), static_cast<std::uint64_t>(100 + index), 1, MemberState::Alive, "", "", "", ""});
            m_hosts.emplace(m_members.back().name, makeHost(m_members.back()));
        }
        for (const Member &member : m_members) {
            refreshView(member.name);
        }
    }

    void step()
    {
        m_now += stepTime;
        if (occurs(0.3)) {
            startRequest();
        }
        if (occurs(0.002)) {
            restart(name());
        }
        if (occurs(0.01)) {
            // The hosts' views differ for a while, since only some hosts get a change at once.
            changeState(name());
        }
        if (occurs(0.05)) {
            refreshView(name());
        }
        if (occurs(0.01)) {
            m_now += std::chrono::milliseconds(m_random() % 500);
        }
        deliver();
        endRuns();
        for (auto &[host, entry] : m_hosts) {
            entry.dispatcher->tick(m_now);
            entry.home->tick(m_now);
            collect(host);
        }
    }

    /// Disables the faults and continues until all requests have ended, for at most 6000 steps.
    void settle()
    {
        for (Member &member : m_members) {
            member.state = MemberState::Alive;
        }
        m_faultsDisabled = true;
        for (const Member &member : m_members) {
            refreshView(member.name);
        }
        for (int index = 0; index < 6000 && !m_open.empty(); ++index) {
            m_now += stepTime;
            deliver();
            endRuns();
            for (auto &[host, entry] : m_hosts) {
                entry.dispatcher->tick(m_now);
                entry.home->tick(m_now);
                collect(host);
            }
        }
    }

    std::size_t open() const
    {
        return m_open.size();
    }

    std::uint64_t recordEnd() const
    {
        return m_ended;
    }

    std::uint64_t runs() const
    {
        return m_runs;
    }

private:
    using Request = std::pair<std::uint64_t, std::uint64_t>; ///< incarnation of the home and number of the request

    struct Host
    {
        Member self;
        std::unique_ptr<Dispatch::Dispatcher> dispatcher;
        std::unique_ptr<Yokepond::Request::Home> home;
    };

    struct MessageInTransit
    {
        Base::Instant due {};
        std::string to;
        Dispatch::Home from;
        Peer::Message message;
    };

    struct Run
    {
        Base::Instant due {};
        std::string host;
        std::uint64_t incarnation = 0;
        Peer::AttemptId id;
    };

    Host makeHost(const Member &member)
    {
        auto dispatcher = std::make_unique<Dispatch::Dispatcher>(member.name);
        auto home = std::make_unique<Yokepond::Request::Home>(member.name, m_random());
        return {member, std::move(dispatcher), std::move(home)};
    }

    bool occurs(double probability)
    {
        return std::uniform_real_distribution<double>()(m_random) < probability;
    }

    std::string name()
    {
        return m_members[m_random() % m_members.size()].name;
    }

    void startRequest()
    {
        static constexpr std::array classes = {"alert", "desk", "routine", "once"};
        const std::string host = name();
        const std::uint64_t id = m_nextRequest++;
        const std::uint32_t number = Tests::numberOf(m_objects, Kind::Class, classes.at(m_random() % classes.size()));
        const Request request {m_hosts.at(host).self.incarnation, id};
        m_open.insert(request);
        m_unrepeatable[request] = number == Tests::numberOf(m_objects, Kind::Class, "once");
        m_hosts.at(host).home->start(m_now, {id, number, Tests::numberOf(m_objects, Kind::Organisation, "small"), 10, {}});
        collect(host);
    }

    void restart(const std::string &host)
    {
        Host &entry = m_hosts.at(host);
        std::erase_if(m_open, [&](const Request &request) { return request.first == entry.self.incarnation; });
        std::erase_if(m_running, [&](const Run &run) { return run.incarnation == entry.self.incarnation; });
        const auto member = std::ranges::find(m_members, host, &Member::name);
        member->incarnation += 1000;
        member->state = MemberState::Alive;
        entry = makeHost(*member);
        for (auto &[other, otherHost] : m_hosts) {
            otherHost.dispatcher->removeHome(m_now, host, member->incarnation);
            collect(other);
        }
        refreshView(host);
    }

    void changeState(const std::string &host)
    {
        Member &member = *std::ranges::find(m_members, host, &Member::name);
        static constexpr std::array states = {MemberState::Alive, MemberState::Suspect, MemberState::Leaving};
        member.state = states.at(m_random() % states.size());
        refreshView(name());
    }

    void refreshView(const std::string &host)
    {
        const auto shards = std::make_shared<Dispatch::ShardMap>(*m_catalogue, m_members);
        Host &entry = m_hosts.at(host);
        entry.dispatcher->update(m_now, *shards, m_catalogue);
        entry.home->updateView(m_now, m_catalogue, shards, m_members);
        collect(host);
    }

    void send(const std::string &from, const std::string &to, const Peer::Message &message)
    {
        if (from != to && !m_faultsDisabled && occurs(0.03)) {
            m_hosts.at(from).home->connectionLost(m_now, to);
            return;
        }
        const int copies = from != to && !m_faultsDisabled && occurs(0.02) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            const Base::Duration delay = from == to
                ? Base::Duration::zero()
                : Base::Duration(static_cast<std::int64_t>(m_random() % (occurs(0.02) ? 3'000'000 : 20'000)));
            m_inTransit.push_back({m_now + delay, to, {from, m_hosts.at(from).self.incarnation}, message});
        }
    }

    /// Removes and returns the events that are due, in their current order.
    template<typename Event>
    std::vector<Event> takeDue(std::vector<Event> &events) const
    {
        const auto later = std::ranges::stable_partition(events, [this](const Event &event) { return event.due <= m_now; });
        std::vector<Event> due(events.begin(), later.begin());
        events.erase(events.begin(), later.begin());
        return due;
    }

    void deliver()
    {
        for (const MessageInTransit &inTransit : takeDue(m_inTransit)) {
            Host &host = m_hosts.at(inTransit.to);
            std::visit(
                [&](const auto &message) {
                    if constexpr (requires { host.dispatcher->receive(m_now, inTransit.from, message); }) {
                        host.dispatcher->receive(m_now, inTransit.from, message);
                    } else if constexpr (requires { host.home->receive(m_now, inTransit.from.name, message); }) {
                        host.home->receive(m_now, inTransit.from.name, message);
                    }
                },
                inTransit.message);
            collect(inTransit.to);
        }
    }

    void collect(const std::string &host)
    {
        Host &entry = m_hosts.at(host);
        for (const Dispatch::Reply &reply : entry.dispatcher->takeReplies()) {
            // A reply to a home that has restarted goes to its new incarnation, which does not have the request.
            send(host, reply.home.name, reply.message);
        }
        for (const Yokepond::Request::Action &action : entry.home->takeActions()) {
            act(host, action);
        }
    }

    void act(const std::string &host, const Yokepond::Request::Action &action)
    {
        const std::uint64_t incarnation = m_hosts.at(host).self.incarnation;
        if (const auto *message = std::get_if<Yokepond::Request::SendToMember>(&action)) {
            send(host, message->member.name, message->message);
        } else if (const auto *run = std::get_if<Yokepond::Request::StartRun>(&action)) {
            ++m_runs;
            m_running.push_back({m_now + std::chrono::milliseconds(m_random() % 1500), host, incarnation, run->id});
        } else if (const auto *fail = std::get_if<Yokepond::Request::Fail>(&action)) {
            const Request request {incarnation, fail->request};
            CHECK_TRUE(fail->outcome != Yokepond::Request::Outcome::NotRun || !m_ran.contains(request));
            end(request);
        } else if (const auto *finished = std::get_if<Yokepond::Request::Finished>(&action)) {
            end({incarnation, finished->request});
        }
    }

    void end(const Request &request)
    {
        CHECK_EQUAL(1U, m_open.erase(request));
        ++m_ended;
    }

    void endRuns()
    {
        for (const Run &run : takeDue(m_running)) {
            using Yokepond::Request::RunStage;
            static constexpr std::array stages = {RunStage::ResponseComplete,
                                                  RunStage::ResponseComplete,
                                                  RunStage::ResponseComplete,
                                                  RunStage::ResponseComplete,
                                                  RunStage::Sent,
                                                  RunStage::NotSent,
                                                  RunStage::Rejected,
                                                  RunStage::Stale};
            const RunStage stage = stages.at(m_random() % stages.size());
            const Request request {run.incarnation, run.id.request};
            if (stage == RunStage::ResponseComplete || stage == RunStage::Sent) {
                const bool first = m_ran.insert(request).second;
                CHECK_TRUE(first || !m_unrepeatable.at(request));
            }
            Yokepond::Request::RunReport report {
                .id = run.id, .stage = stage, .firstToken = std::chrono::milliseconds(30), .tokens = 3};
            m_hosts.at(run.host).home->runEnded(m_now, report);
            collect(run.host);
        }
    }

    std::mt19937_64 m_random;
    Configuration::Objects m_objects;
    std::shared_ptr<const Configuration::Catalogue> m_catalogue;
    std::vector<Member> m_members;
    std::map<std::string, Host> m_hosts;
    std::vector<MessageInTransit> m_inTransit;
    std::vector<Run> m_running;
    std::set<Request> m_open;
    std::set<Request> m_ran;
    std::map<Request, bool> m_unrepeatable;
    Base::Instant m_now = Tests::at(0);
    std::uint64_t m_nextRequest = 1;
    std::uint64_t m_ended = 0;
    std::uint64_t m_runs = 0;
    bool m_faultsDisabled = false;
};

} // namespace

TEST_GROUP(Random) {};

TEST(Random, everyRequestEndsOnceAndUnrepeatableRequestsRunAtMostOnce)
{
    const char *given = std::getenv("YOKEPOND_SEED");
    const std::uint64_t first = given == nullptr ? 1 : std::strtoull(given, nullptr, 10);
    for (std::uint64_t seed = first; seed < first + 4; ++seed) {
        Simulation simulation(seed);
        for (int index = 0; index < steps; ++index) {
            simulation.step();
        }
        simulation.settle();
        fmt::print("seed {}: {} steps, {} requests ended, {} runs\n", seed, steps, simulation.recordEnd(), simulation.runs());
        CHECK_EQUAL(0U, simulation.open());
        CHECK_TRUE(simulation.recordEnd() > 1000);
    }
}

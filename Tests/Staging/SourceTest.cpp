#include "Staging/PieceName.h"
#include "Staging/PieceSources.h"
#include "Staging/Queries/ChooseSource.h"

#include <climits>
#include <criterion/criterion.h>
#include <map>
#include <set>

using namespace Lavenderloft;
using namespace Lavenderloft::Staging;
using namespace Lavenderloft::Staging::Queries;

namespace {

constexpr unsigned pieces = 48;
const std::string version = "2";

// Agents in three regions, each with the list of the others that it knows.
struct TestAgents {
    std::vector<SourceAgent> all;

    explicit TestAgents(unsigned count)
    {
        for (unsigned i = 0; i < count; ++i)
            all.push_back({ "10.0.0." + std::to_string(i + 1), "r" + std::to_string(i % 3), false });
    }

    std::vector<SourceAgent> othersOf(const std::string& address) const
    {
        auto others = all;
        std::erase_if(others, [&](auto& agent) { return agent.address == address; });
        return others;
    }

    Fleet::NodeSettings settingsOf(const SourceAgent& agent) const
    {
        Fleet::NodeSettings settings;
        settings.address = agent.address;
        settings.region = agent.region;
        return settings;
    }

    const SourceAgent& find(const std::string& address) const
    {
        return *std::find_if(all.begin(), all.end(), [&](auto& agent) { return agent.address == address; });
    }
};

PieceSource ask(const std::vector<SourceAgent>& others, const Fleet::NodeSettings& settings, unsigned piece)
{
    return chooseSource(others, settings, PieceDuties(others, settings, version, pieces), version, piece);
}

} // namespace

// Guards against an origin whose narrow link carries a piece more than once, and against links between
// regions that do.
Test(PieceSource, eachPieceLeavesTheOriginOnceAndEntersEachRegionOnce)
{
    TestAgents agents(11);
    for (unsigned piece = 0; piece < pieces; ++piece) {
        unsigned fromOrigin = 0;
        std::map<std::string, unsigned> entering;
        for (auto& agent : agents.all) {
            auto source = ask(agents.othersOf(agent.address), agents.settingsOf(agent), piece);
            auto* other = std::get_if<FromAgent>(&source);
            if (!other)
                ++fromOrigin;
            else if (agents.find(other->address).region != agent.region)
                ++entering[agent.region];
        }
        cr_assert_eq(fromOrigin, 1);
        cr_assert_leq(entering.size(), 2);
        for (auto& [region, count] : entering)
            cr_assert_eq(count, 1);
    }
}

// Guards against agents that wait for each other for good because their lists of agents differ: an agent
// that disclaims the duty is left out, until the asking one takes the piece from the origin itself.
Test(PieceSource, differingViewsStillLeadToTheOrigin)
{
    TestAgents agents(9);
    for (unsigned piece = 0; piece < pieces; ++piece) {
        auto& asking = agents.all[piece % agents.all.size()];
        auto others = agents.othersOf(asking.address);
        bool atOrigin = false;
        for (unsigned attempt = 0; attempt <= agents.all.size() && !atOrigin; ++attempt) {
            auto source = ask(others, agents.settingsOf(asking), piece);
            atOrigin = std::holds_alternative<FromOrigin>(source);
            if (auto* other = std::get_if<FromAgent>(&source))
                std::erase_if(others, [&](auto& agent) { return agent.address == other->address; });
        }
        cr_assert(atOrigin, "piece %u is never fetched from the origin", piece);
    }
}

// Guards against duties that change for all when one agent comes or goes.
Test(PieceSource, oneAgentMoreMovesFewDuties)
{
    TestAgents agents(12);
    auto& agent = agents.all.front();
    auto others = agents.othersOf(agent.address);
    PieceDuties before(others, agents.settingsOf(agent), version, pieces);
    others.pop_back();
    PieceDuties after(others, agents.settingsOf(agent), version, pieces);
    unsigned moved = 0;
    for (unsigned piece = 0; piece < pieces; ++piece)
        moved += before.fleetOwner(piece) != after.fleetOwner(piece);
    // The pieces of the agent that left, and those that its absence pushes on.
    cr_assert_leq(moved, pieces / 3, "%u of %u duties moved", moved, pieces);
}

// Guards against an agent whose link has to carry twice the pieces of another.
Test(PieceSource, agentsHaveEqualShares)
{
    TestAgents agents(8);
    auto& agent = agents.all.front();
    PieceDuties duties(agents.othersOf(agent.address), agents.settingsOf(agent), version, pieces);
    std::map<std::string, unsigned> dealt;
    for (unsigned piece = 0; piece < pieces; ++piece)
        ++dealt[duties.fleetOwner(piece)];
    cr_assert_eq(dealt.size(), 8);
    for (auto& [address, count] : dealt)
        cr_expect_eq(count, 6);
}

// Guards against a crash while an engine that was replaced is published twice at one address: the shares of
// the agents then did not suffice for all pieces.
Test(PieceSource, anAddressThatIsPublishedTwiceCountsOnce)
{
    TestAgents agents(3);
    auto& agent = agents.all.front();
    auto others = agents.othersOf(agent.address);
    for (int copy = 0; copy < 5; ++copy)
        others.push_back(others.front());
    PieceDuties duties(others, agents.settingsOf(agent), version, pieces);
    std::map<std::string, unsigned> dealt;
    for (unsigned piece = 0; piece < pieces; ++piece)
        ++dealt[duties.fleetOwner(piece)];
    cr_assert_eq(dealt.size(), 3);
    for (auto& [address, count] : dealt)
        cr_expect_eq(count, 16);
}

// Guards against a request for a piece that another agent takes for a different one.
Test(PieceName, isReadAsItWasWritten)
{
    PieceName name { "m-1", 7, 31, "r-a" };
    cr_assert(decodePiecePath(encodePiecePath(name)) == name);
    for (auto* path : { "/piece/r/m/2", "/piece/r/m/2/x", "/piece/r/m/2/3/4", "/items/r/m/2/3", "/piece/" })
        cr_expect_not(decodePiecePath(path).has_value(), "%s was accepted", path);
}

// Guards against a new engine that draws on the origin though others have loaded the weights.
Test(PieceSource, enginesThatHoldTheVersionComeFirst)
{
    TestAgents agents(6);
    for (auto& agent : agents.all)
        agent.holdsVersion = true;
    auto& newcomer = agents.all.front();
    newcomer.holdsVersion = false;
    std::set<std::string> asked;
    for (unsigned piece = 0; piece < pieces; ++piece) {
        auto source = ask(agents.othersOf(newcomer.address), agents.settingsOf(newcomer), piece);
        auto* other = std::get_if<FromAgent>(&source);
        cr_assert(other && agents.find(other->address).region == newcomer.region);
        asked.insert(other->address);
    }
    // The other agent of its region is the only holder there.
    cr_assert_eq(asked.size(), 1);
}

namespace {

// Asks for a piece as an agent does that always gets the same outcome from agents; returns the number of
// attempts until the origin is asked.
unsigned attemptsUntilOrigin(const TestAgents& agents, SourceOutcome outcome, unsigned piece)
{
    auto settings = agents.settingsOf(agents.all.front());
    PieceSources sources(settings);
    sources.begin(2, pieces);
    auto others = agents.othersOf(settings.address);
    for (unsigned attempt = 0; attempt < 3 * agents.all.size(); ++attempt) {
        auto source = sources.next(others, piece, {});
        if (std::holds_alternative<FromOrigin>(source))
            return attempt;
        sources.note(piece, source, outcome, {});
    }
    return UINT_MAX;
}

} // namespace

// Guards against an agent that asks the same holder of a spoilt piece again and again, while a new engine
// stays without weights.
Test(PieceSources, spoiltPiecesLeadToTheOrigin)
{
    TestAgents agents(9);
    for (auto& agent : agents.all)
        agent.holdsVersion = true;
    for (unsigned piece = 0; piece < pieces; ++piece)
        cr_assert_leq(attemptsUntilOrigin(agents, SourceOutcome::Spoilt, piece), 8);
}

// Guards against agents that wait for each other for good because their lists of agents differ.
Test(PieceSources, disclaimedDutiesLeadToTheOrigin)
{
    TestAgents agents(9);
    for (unsigned piece = 0; piece < pieces; ++piece)
        cr_assert_leq(attemptsUntilOrigin(agents, SourceOutcome::Disclaimed, piece), 8);
}

// Guards against duties of agents that can't be reached and that nobody takes over.
Test(PieceSources, dutiesOfUnreachableAgentsAreTakenOver)
{
    TestAgents agents(9);
    for (unsigned piece = 0; piece < pieces; ++piece)
        cr_assert_leq(attemptsUntilOrigin(agents, SourceOutcome::Unreachable, piece), 8);
}

// Guards against an origin that every agent asks because the one with the duty is not ready yet.
Test(PieceSources, anAgentThatFetchesThePieceIsAskedAgain)
{
    TestAgents agents(9);
    unsigned atOrigin = 0;
    for (unsigned piece = 0; piece < pieces; ++piece)
        atOrigin += attemptsUntilOrigin(agents, SourceOutcome::NotYet, piece) != UINT_MAX;
    // Its own share of the pieces.
    cr_assert_leq(atOrigin, pieces / 9 + 1);
}

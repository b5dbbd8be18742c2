#include "Base/RendezvousHash.h"

#include <algorithm>
#include <xxhash.h>

namespace Lavenderloft::Base {

uint64_t stableHash(std::string_view text, uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

uint64_t rendezvousWeight(std::string_view key, std::string_view member)
{
    return stableHash(member, stableHash(key));
}

std::vector<std::string> rankMembers(std::string_view key, std::vector<std::string> members)
{
    std::vector<std::pair<uint64_t, std::string>> weighted;
    weighted.reserve(members.size());
    for (auto& member : members) {
        auto weight = rendezvousWeight(key, member);
        weighted.emplace_back(weight, std::move(member));
    }
    std::sort(weighted.begin(), weighted.end(), std::greater<>());
    std::vector<std::string> ranked;
    ranked.reserve(weighted.size());
    for (auto& [weight, member] : weighted)
        ranked.push_back(std::move(member));
    return ranked;
}

std::string chooseMember(std::string_view key, const std::vector<std::string>& members)
{
    const std::string* best = nullptr;
    uint64_t bestWeight = 0;
    for (auto& member : members) {
        auto weight = rendezvousWeight(key, member);
        if (!best || weight > bestWeight || (weight == bestWeight && member > *best)) {
            best = &member;
            bestWeight = weight;
        }
    }
    return best ? *best : std::string();
}

} // namespace Lavenderloft::Base

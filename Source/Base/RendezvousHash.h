#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Lavenderloft::Base {

// A 64-bit hash that is identical on every VM and in every version of the program.
uint64_t stableHash(std::string_view text, uint64_t seed = 0);

// Weight of a member for a key in rendezvous hashing.
uint64_t rendezvousWeight(std::string_view key, std::string_view member);

// The members in order of descending weight for the key. The order depends only on the set of
// members; removing one does not reorder the others.
std::vector<std::string> rankMembers(std::string_view key, std::vector<std::string> members);

// The first result of rankMembers, or an empty string if there are no members.
std::string chooseMember(std::string_view key, const std::vector<std::string>& members);

} // namespace Lavenderloft::Base

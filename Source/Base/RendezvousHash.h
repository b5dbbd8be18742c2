#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Lavenderloft::Base {

// A 64-bit hash that is the same on every VM and in every version of the program.
uint64_t stableHash(std::string_view text, uint64_t seed = 0);

// Weight of a member for a key in rendezvous hashing.
uint64_t rendezvousWeight(std::string_view key, std::string_view member);

// The members in order of preference for the key, the winner first. The order depends only on the
// set of members; when one leaves, the order of the others stays.
std::vector<std::string> rankMembers(std::string_view key, std::vector<std::string> members);

// The first of rankMembers, or an empty text when there is no member.
std::string chooseMember(std::string_view key, const std::vector<std::string>& members);

} // namespace Lavenderloft::Base

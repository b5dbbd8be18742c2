#pragma once

namespace Lavenderloft::Http {

// Interim responses that are skipped before a connection is considered broken.
inline constexpr unsigned maximumInterimResponses = 2;

// Whether a server may respond with the status. Parsers take any three digits. This node never asks to switch protocols,
// so 101 is no response either.
constexpr bool isValidStatus(unsigned status)
{
    constexpr unsigned lowest = 100;
    constexpr unsigned highest = 599;
    constexpr unsigned switchingProtocols = 101;
    return status >= lowest && status <= highest && status != switchingProtocols;
}

// Whether another response follows.
constexpr bool isInterimStatus(unsigned status)
{
    constexpr unsigned lowestFinal = 200;
    return status < lowestFinal;
}

} // namespace Lavenderloft::Http

#pragma once

// Proxy owns the connections to callers and targets. Decisions are made in Dispatch and Fleet; only CallerProtocol
// knows the names of header fields.

#include "Dispatch/PartEvidence.h"
#include "Dispatch/TargetStatement.h"
#include "Http/HttpMessage.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Lavenderloft::Proxy {

// Parsed header fields of a caller's request.
struct RequestHead {
    std::string requestId;
    // How long the caller waits for the response.
    std::optional<std::chrono::milliseconds> deadline;
    std::optional<std::string> key;
    std::string model;
    uint64_t promptTokens = 0;
    // In order; the last one belongs to this request alone.
    std::vector<Dispatch::PromptPart> promptParts;
    uint64_t maximumOutputTokens = 0;
    // The caller's estimate of the output tokens; correct at the median, but single estimates are often far off.
    std::optional<uint64_t> estimatedOutputTokens;
    // The last event that the caller has already received.
    std::optional<uint64_t> lastEventId;
};

// Values of the header fields that are set on a forwarded request.
struct ForwardedFields {
    std::chrono::milliseconds timeLeft { 0 };
    // Other targets refuse the request.
    std::string expectedTarget;
    std::optional<std::string> organisation;
    // 0 is the highest, 9 the lowest.
    std::optional<int> priority;
    // Engines with other weights refuse the request.
    std::optional<uint64_t> expectedWeights;
    std::optional<uint64_t> lastEventId;
};

// Parsed header fields of a target's response.
struct ResponseHead {
    std::string requestId;
    // The target states that it did not run the request.
    bool notExecuted = false;
    bool sealed = false;
    std::optional<std::chrono::milliseconds> coldRemaining;
    std::optional<uint64_t> weights;
    // The target wants no new requests, for good or for some time.
    Dispatch::TargetStatement statement;
    // How long the target keeps an idle connection.
    std::optional<std::chrono::seconds> keepAlive;
};

// Converts between header fields and the types above.
class CallerProtocol {
public:
    virtual ~CallerProtocol() = default;

    virtual RequestHead readRequestHead(const Http::HttpHeaders&) const = 0;

    // Headers of the request to the target: the caller's headers without hop-by-hop fields and the key, and with the
    // forwarded fields set.
    virtual Http::HttpHeaders forwardedHeaders(const Http::HttpHeaders&, const ForwardedFields&) const = 0;

    virtual ResponseHead readResponseHead(unsigned status, const Http::HttpHeaders&) const = 0;

    // Headers of the response to the caller: the target's headers without hop-by-hop fields.
    virtual Http::HttpHeaders returnedHeaders(const Http::HttpHeaders&) const = 0;
};

} // namespace Lavenderloft::Proxy

#pragma once

// Proxy: the sockets between callers and targets. Decisions are made in Dispatch and Fleet; header names
// are known to CallerProtocol alone.

#include "Http/HttpMessage.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace Lavenderloft::Proxy {

// What the head of a caller's request says.
struct RequestHead {
    std::string requestId;
    // How long the caller waits for the answer.
    std::optional<std::chrono::milliseconds> deadline;
    std::optional<std::string> key;
    std::string model;
    uint64_t promptTokens = 0;
    uint64_t maximumOutputTokens = 0;
    // The caller's estimate of the output tokens; right at the median, often far off.
    std::optional<uint64_t> estimatedOutputTokens;
    // The caller has the events up to this one already.
    std::optional<uint64_t> lastEventId;
};

// What the system adds to a request that it passes on.
struct ForwardedFields {
    std::chrono::milliseconds timeLeft { 0 };
    // Any other target refuses the request.
    std::string expectedTarget;
    std::optional<std::string> organisation;
    // 0 is the most urgent, 9 the least.
    std::optional<int> priority;
    // An engine with other weights refuses the request.
    std::optional<uint64_t> expectedWeights;
    std::optional<uint64_t> lastEventId;
};

// What the head of a target's answer says beside its status.
struct ResponseHead {
    std::string requestId;
    // The target states that it did not run the request.
    bool notExecuted = false;
    bool sealed = false;
    std::optional<std::chrono::milliseconds> coldRemaining;
    std::optional<uint64_t> weights;
    // How long the target keeps an idle connection.
    std::optional<std::chrono::seconds> keepAlive;
};

// Translates between header fields and the types above.
class CallerProtocol {
public:
    virtual ~CallerProtocol() = default;

    virtual RequestHead readRequestHead(const Http::HttpHeaders&) const = 0;

    // The caller's headers as they go to a target: those of one connection and the key left out, those of
    // the forwarding set.
    virtual Http::HttpHeaders forwardedHeaders(const Http::HttpHeaders&, const ForwardedFields&) const = 0;

    virtual ResponseHead readResponseHead(unsigned status, const Http::HttpHeaders&) const = 0;

    // The target's headers as they go to the caller: those of one connection left out.
    virtual Http::HttpHeaders returnedHeaders(const Http::HttpHeaders&) const = 0;
};

} // namespace Lavenderloft::Proxy

#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Lavenderloft::Standin {

enum class ResponseVerdict {
    // All tokens of the request arrived in order, from one version of the weights, followed by the end line.
    Complete,
    // A token or the end line is missing, or a line is malformed or out of order.
    Incomplete,
    // Tokens carry different weight or adapter digests, or a digest that differs from the response headers.
    MixedWeights,
    // A token carries the identifier of another request.
    WrongRequest,
};

// Validates the response to one request as its bytes arrive.
class ResponseValidator {
public:
    ResponseValidator(std::string identifier, unsigned tokens);

    // The value of X-Weights-Digest.
    void setDigest(std::string);

    // The value of X-Adapter-Digest; empty for the base model.
    void setAdapter(const std::string&);

    const std::string& digest() const { return m_digest; }

    void add(std::string_view bytes);

    unsigned tokensReceived() const { return m_received; }

    // Fault that is certain even if the response is incomplete.
    std::optional<ResponseVerdict> faultSoFar() const { return m_fault; }

    // Verdict on a response that the server ended as complete.
    ResponseVerdict verdict() const;

private:
    void checkLine(std::string_view line);

    std::string m_identifier;
    unsigned m_tokens;
    std::string m_digest;
    std::string m_prefix;
    std::string m_partialLine;
    unsigned m_received = 0;
    bool m_done = false;
    bool m_malformed = false;
    std::optional<ResponseVerdict> m_fault;
};

} // namespace Lavenderloft::Standin

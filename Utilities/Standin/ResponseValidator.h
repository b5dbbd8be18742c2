#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Lavenderloft::Standin {

enum class ResponseVerdict {
    // Every token of the request was there, in order, from one version of the weights, and the last line.
    Complete,
    // A token or the last line is missing, or a line is malformed or out of order.
    Incomplete,
    // Tokens carry different digests of weights or adapter, or one that differs from the head of the response.
    MixedWeights,
    // A token carries the identifier of another request.
    WrongRequest,
};

// Checks the answer to one request as its bytes arrive.
class ResponseValidator {
public:
    ResponseValidator(std::string identifier, unsigned tokens);

    // The value of X-Weights-Digest.
    void setDigest(std::string);

    // The value of X-Adapter-Digest; empty if the base model answered.
    void setAdapter(const std::string&);

    const std::string& digest() const { return m_digest; }

    void add(std::string_view bytes);

    unsigned tokensReceived() const { return m_received; }

    // A fault that is one also in a part of an answer.
    std::optional<ResponseVerdict> faultSoFar() const { return m_fault; }

    // The verdict on an answer that was said to be complete.
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

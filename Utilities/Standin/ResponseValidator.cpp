#include "Standin/ResponseValidator.h"

#include "Standin/TokenText.h"

namespace Lavenderloft::Standin {

ResponseValidator::ResponseValidator(std::string identifier, unsigned tokens)
    : m_identifier(std::move(identifier))
    , m_tokens(tokens)
{
}

void ResponseValidator::setDigest(std::string digest)
{
    m_digest = std::move(digest);
    m_prefix = tokenPrefix(m_digest, {});
}

void ResponseValidator::setAdapter(const std::string& adapter)
{
    m_prefix = tokenPrefix(m_digest, adapter);
}

void ResponseValidator::add(std::string_view bytes)
{
    while (!bytes.empty()) {
        auto end = bytes.find('\n');
        m_partialLine += bytes.substr(0, end);
        if (end == std::string_view::npos)
            return;
        checkLine(m_partialLine);
        m_partialLine.clear();
        bytes.remove_prefix(end + 1);
    }
}

ResponseVerdict ResponseValidator::verdict() const
{
    if (m_fault)
        return *m_fault;
    bool isComplete = m_done && !m_malformed && m_partialLine.empty() && m_received == m_tokens;
    return isComplete ? ResponseVerdict::Complete : ResponseVerdict::Incomplete;
}

void ResponseValidator::checkLine(std::string_view line)
{
    if (line == endOfResponse && !m_done) {
        m_done = true;
        return;
    }
    auto token = parseToken(line);
    if (!token || m_done) {
        m_malformed = true;
        return;
    }
    if (token->identifier != m_identifier)
        m_fault = ResponseVerdict::WrongRequest;
    else if (token->digestPrefix != m_prefix)
        m_fault = m_fault.value_or(ResponseVerdict::MixedWeights);
    if (token->number != m_received)
        m_malformed = true;
    ++m_received;
}

} // namespace Lavenderloft::Standin

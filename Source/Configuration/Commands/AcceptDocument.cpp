#include "Configuration/Commands/AcceptDocument.h"

#include "Configuration/Events.h"
#include "DesiredState/Queries/ParseDocument.h"
#include "Observability/Log.h"

namespace Lavenderloft::Configuration::Commands {

Base::Result<Base::Done, AcceptError> AcceptDocument::execute(const std::string& bytes, std::string_view origin)
{
    auto digest = DesiredState::Queries::documentDigest(bytes);
    auto current = m_store.current();
    if (current && current->digest == digest)
        return AcceptError { AcceptErrorKind::NotGreater, "the document is in force already", "publish a greater revision" };
    if (auto refused = m_store.refused(); refused && refused->digest == digest)
        return AcceptError { AcceptErrorKind::Invalid, refused->reason, "correct the document and publish a greater revision" };
    auto parsed = DesiredState::Queries::parseDocument(bytes);
    if (!Base::succeeded(parsed)) {
        auto reason = Base::errorOf(parsed).describe();
        Observability::logEvent(documentRefused, { { "digest", digest }, { "origin", origin }, { "reason", reason } });
        m_store.recordRefused({ digest, reason });
        return AcceptError { AcceptErrorKind::Invalid, reason, "correct the document and publish a greater revision" };
    }
    auto revision = Base::valueOf(parsed).revision;
    auto accepted = std::make_shared<AcceptedDocument>(AcceptedDocument { Base::takeValue(std::move(parsed)), bytes, digest });
    if (!m_store.replaceIfGreater(accepted))
        return AcceptError { AcceptErrorKind::NotGreater, "revision " + std::to_string(revision) + " is not greater than the one in force", "publish a greater revision" };
    Observability::logEvent(documentAccepted, { { "revision", revision }, { "digest", digest }, { "origin", origin } });
    return Base::Done {};
}

} // namespace Lavenderloft::Configuration::Commands

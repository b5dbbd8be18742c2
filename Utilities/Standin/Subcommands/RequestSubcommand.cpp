#include "Standin/Subcommands/RequestSubcommand.h"

#include "Http/HttpClient.h"
#include "Standin/FileContent.h"
#include "Standin/JsonValue.h"

#include <iostream>
#include <stdexcept>

namespace Lavenderloft::Standin::Subcommands {

namespace {

    Http::HttpHeader parseHeader(const std::string& text)
    {
        auto colon = text.find(':');
        if (colon == std::string::npos)
            throw std::invalid_argument("option --header: \"" + text + "\" has no colon; expected NAME:VALUE");
        return { text.substr(0, colon), text.substr(colon + 1) };
    }

} // namespace

void RequestSubcommand::addOptions(OptionTable& options)
{
    options.text("address", m_address, "IP:port of the server")
        .text("method", m_method, "HTTP method")
        .text("target", m_target, "Path and query")
        .text("body", m_body, "Body of the request")
        .text("body-file", m_bodyFile, "File with the body of the request")
        .texts("header", m_headers, "NAME:VALUE; may be repeated")
        .text("pointer", m_pointer, "JSON pointer of the value to print instead of the body")
        .milliseconds("timeout-ms", m_timeout, "Time without progress after which the request fails");
}

ExitCode RequestSubcommand::runWithOptions()
{
    Http::HttpRequest request { m_method, m_target, {}, m_bodyFile.empty() ? m_body : readFile(m_bodyFile) };
    for (auto& header : m_headers)
        request.headers.push_back(parseHeader(header));
    Http::HttpClient client;
    auto response = client.fetch(endpointOption("address", m_address), request, m_timeout);
    if (!Base::succeeded(response))
        throw std::runtime_error(Base::errorOf(response).describe());
    auto& [status, headers, body] = Base::valueOf(response);
    std::cout << (m_pointer.empty() ? body : valueAt(body, m_pointer)) << '\n';
    return status >= 200 && status < 300 ? ExitCode::Success : ExitCode::Refused;
}

} // namespace Lavenderloft::Standin::Subcommands

#include "Http/HttpMessage.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace Lavenderloft::Http {

namespace {

    bool equalsIgnoringCase(std::string_view a, std::string_view b)
    {
        return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
    }

    // The parser of IP addresses ignores what follows a NUL byte, and accepts any text as the scope of an IPv6 address.
    bool hasAddressCharactersOnly(std::string_view host)
    {
        return host.find_first_not_of("0123456789abcdefABCDEF.:") == std::string_view::npos;
    }

    EndpointError malformedEndpoint(std::string_view text)
    {
        return { EndpointErrorKind::Malformed, "address \"" + std::string(text) + "\" is not IP:port", "give an IP address and a port, such as 127.0.0.1:8080" };
    }

} // namespace

std::string_view headerValue(const HttpHeaders& headers, std::string_view name)
{
    for (auto& header : headers) {
        if (equalsIgnoringCase(header.name, name))
            return header.value;
    }
    return {};
}

std::string lowerCaseName(std::string_view name)
{
    std::string lowerCase(name);
    std::transform(lowerCase.begin(), lowerCase.end(), lowerCase.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lowerCase;
}

Base::Result<Endpoint, EndpointError> parseEndpoint(std::string_view text)
{
    auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return malformedEndpoint(text);
    Endpoint endpoint;
    endpoint.host = std::string(text.substr(0, colon));
    auto digits = text.substr(colon + 1);
    auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), endpoint.port);
    boost::system::error_code addressError;
    boost::asio::ip::make_address(endpoint.host, addressError);
    if (addressError || !hasAddressCharactersOnly(endpoint.host) || error != std::errc() || end != digits.data() + digits.size())
        return malformedEndpoint(text);
    return endpoint;
}

} // namespace Lavenderloft::Http

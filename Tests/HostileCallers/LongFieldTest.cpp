#include "HostileCallers/Checks.h"
#include "HostileCallers/RouterChecks.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::HostileCallers;
using namespace std::chrono_literals;

namespace {

// Limits of an operator who expects long fields.
constexpr size_t largeHeadBytes = 131072;
// More than the 65,533 bytes that a field of Beast's message can hold.
constexpr size_t longFieldBytes = 70000;

std::string countedFields(unsigned count)
{
    std::string fields;
    for (unsigned i = 0; i < count; ++i)
        fields += "x-" + std::to_string(i) + ": v\r\n";
    return fields;
}

} // namespace

// Guards against the end of a router by one header field of more than 65,533 bytes, inside max_header_bytes, and against
// its refusal: the target gets the field whole.
Test(LongField, ofAHeadInsideTheLimitIsServed)
{
    RouterUnderAttack router(0, largeHeadBytes);
    awaitReady(router);
    const std::string value(longFieldBytes, 'n');
    auto request = RouterUnderAttack::requestHead("GET", "/note", "Connection: close\r\nX-Note: " + value + "\r\n");
    auto response = exchange(router.callers(), request);
    cr_expect(response.starts_with("HTTP/1.1 200"), "%s", response.substr(0, 200).c_str());
    cr_expect(response.ends_with("\r\n\r\n70000 of 70000"), "the target got another field: %s", response.c_str());
    expectServed(router);
}

// Guards against the same end by a long name, and by a long target of the request.
Test(LongField, mayHaveALongNameOrFollowALongTarget)
{
    RouterUnderAttack router(0, largeHeadBytes);
    awaitReady(router);
    const std::string name(longFieldBytes, 'n');
    auto response = exchange(router.callers(), RouterUnderAttack::requestHead("GET", "/p", "Connection: close\r\n" + name + ": v\r\n"));
    cr_expect(response.starts_with("HTTP/1.1 200"), "%s", response.substr(0, 200).c_str());
    response = exchange(router.callers(), RouterUnderAttack::requestHead("GET", "/" + name, "Connection: close\r\n"));
    cr_expect(response.starts_with("HTTP/1.1 200"), "%s", response.substr(0, 200).c_str());
    expectServed(router);
}

// Guards against the same end by a trailer, which the buffer of a connection can hold from a max_header_bytes of 32,800 on.
Test(LongField, ofATrailerEndsNothing)
{
    RouterUnderAttack router(0, largeHeadBytes);
    awaitReady(router);
    auto trailer = "X-Late: " + std::string(longFieldBytes, 't') + "\r\n\r\n";
    auto response = exchange(router.callers(), RouterUnderAttack::requestHead("POST", "/p", "Connection: close\r\n" + chunkedHead) + "1\r\nx\r\n0\r\n" + trailer);
    cr_expect(response.starts_with("HTTP/1.1 200"), "%s", response.substr(0, 200).c_str());
    expectServed(router);
}

// Guards against a limit of heads that refuses what is inside it, or lets through what is not.
Test(LongField, outsideTheLimitIsRefused)
{
    RouterUnderAttack router(0, largeHeadBytes);
    awaitReady(router);
    const std::string value(largeHeadBytes, 'n');
    auto response = exchange(router.callers(), RouterUnderAttack::requestHead("GET", "/p", "X-Note: " + value + "\r\n"));
    cr_expect(response.starts_with("HTTP/1.1 431"), "%s", response.substr(0, 200).c_str());
    response = exchange(router.callers(), RouterUnderAttack::requestHead("GET", "/p", "Connection: close\r\n" + countedFields(8000)));
    cr_expect(response.starts_with("HTTP/1.1 200"), "%s", response.substr(0, 200).c_str());
    expectServed(router);
}

// Guards against a limit that is cut to 32 bits, so that each head exceeds it.
Test(LongField, hasALimitOfMoreThan32Bits)
{
    RouterUnderAttack router(0, size_t(1) << 32);
    awaitReady(router);
    expectServed(router);
}

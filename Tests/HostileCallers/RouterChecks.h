#pragma once

#include "HostileCallers/Checks.h"
#include "HostileCallers/RouterUnderAttack.h"

#include <thread>

namespace Lavenderloft::HostileCallers {

// A request of a path that the target serves, on a connection of its own.
inline std::string ordinaryRequest(const std::string& body = {}, const std::string& path = "/ordinary")
{
    auto headers = "Connection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    return RouterUnderAttack::requestHead("POST", path, headers) + body;
}

inline void awaitReady(const RouterUnderAttack& router)
{
    auto until = std::chrono::steady_clock::now() + hangTimeout;
    while (exchange(router.callers(), ordinaryRequest()).find("hello") == std::string::npos) {
        cr_assert(std::chrono::steady_clock::now() < until, "the router does not become ready");
        std::this_thread::sleep_for(50ms);
    }
}

inline void expectServed(const RouterUnderAttack& router, const std::string& body = {})
{
    auto response = exchange(router.callers(), ordinaryRequest(body));
    cr_expect(response.starts_with("HTTP/1.1 200") && response.ends_with("hello"), "an ordinary request got \"%s\"", response.c_str());
    cr_assert(router.isAlive(), "the process has ended");
}

} // namespace Lavenderloft::HostileCallers

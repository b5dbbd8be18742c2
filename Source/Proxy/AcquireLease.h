#pragma once

#include "Proxy/LeaseWaiter.h"
#include "Proxy/ProxyRequest.h"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>

namespace Lavenderloft::Proxy {

// Requests a lease on a target, and waits for it as long as the admission policy allows. The wait also ends when the caller
// disconnects or the waiter is cancelled; a lease that was granted in the meantime is returned all the same. The result is
// never empty.
boost::asio::awaitable<std::optional<LeaseWaiter::Outcome>> acquireLease(std::shared_ptr<ProxyRequest>, std::shared_ptr<LeaseWaiter>);

} // namespace Lavenderloft::Proxy

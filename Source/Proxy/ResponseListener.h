#pragma once

namespace Lavenderloft::Proxy {

// Is told how the response of a target progresses while it is forwarded.
class ResponseListener {
public:
    virtual ~ResponseListener() = default;

    // The next part that can be sent to the caller is awaited from the target: the body of a short response, or an event.
    // Returns false if the response is to be broken off instead.
    virtual bool awaitPart() = 0;

    // Such a part has arrived and is sent next.
    virtual void partReceived() = 0;
};

} // namespace Lavenderloft::Proxy

#pragma once

#include "Routing/FreezingProxy.h"
#include "Transport/TargetClient.h"

#include <functional>
#include <map>
#include <mutex>
#include <vector>

namespace Lavenderloft::Testing {

// A router's connections to agents, each through a proxy that can stop forwarding. A test can also delay the sending of
// request bodies, as if the router were paused after it has received a permit.
class FaultyChannels final : public Routing::TargetChannels, public std::enable_shared_from_this<FaultyChannels> {
public:
    std::shared_ptr<Routing::TargetChannel> channelTo(const std::string& address) override
    {
        std::lock_guard guard(m_lock);
        auto& proxy = m_proxies[address];
        if (!proxy)
            proxy = std::make_unique<FreezingProxy>(address);
        return std::make_shared<Channel>(shared_from_this(), m_clients.channelTo(proxy->address()));
    }

    void retain(const std::set<std::string>&) override { }

    // Stops all traffic on open connections without closing them; new connections work.
    void freezeConnections()
    {
        std::lock_guard guard(m_lock);
        for (auto& [address, proxy] : m_proxies)
            proxy->freeze();
    }

    void holdSends(bool isHeld)
    {
        std::vector<std::function<void()>> sends;
        {
            std::lock_guard guard(m_lock);
            m_holdsSends = isHeld;
            if (!isHeld)
                sends.swap(m_heldSends);
        }
        for (auto& send : sends)
            send();
    }

    size_t heldSends()
    {
        std::lock_guard guard(m_lock);
        return m_heldSends.size();
    }

    // Number of refusals of this kind that agents have sent.
    size_t refusals(Routing::RefusalKind kind)
    {
        std::lock_guard guard(m_lock);
        return m_refusals[kind];
    }

private:
    class RefusalCounter final : public Routing::AttemptEvents {
    public:
        RefusalCounter(std::shared_ptr<FaultyChannels> owner, std::shared_ptr<Routing::AttemptEvents> receiver)
            : m_owner(std::move(owner))
            , m_receiver(std::move(receiver))
        {
        }

        void permitted(const Routing::Permit& permit) override { m_receiver->permitted(permit); }
        void head(Routing::ResponseHead head) override { m_receiver->head(std::move(head)); }
        void data(Routing::ResponseData data, std::function<void()> resume) override { m_receiver->data(std::move(data), std::move(resume)); }
        void ended(const Routing::ResponseEnd& end) override { m_receiver->ended(end); }
        void closed(const std::string& reason) override { m_receiver->closed(reason); }
        void loadReported(const Membership::TargetLoad& load) override { m_receiver->loadReported(load); }

        void refused(const Routing::Refusal& refusal) override
        {
            {
                std::lock_guard guard(m_owner->m_lock);
                ++m_owner->m_refusals[refusal.kind];
            }
            m_receiver->refused(refusal);
        }

    private:
        std::shared_ptr<FaultyChannels> m_owner;
        std::shared_ptr<Routing::AttemptEvents> m_receiver;
    };

    class HeldAttempt final : public Routing::Attempt {
    public:
        HeldAttempt(std::shared_ptr<FaultyChannels> owner, std::shared_ptr<Routing::Attempt> attempt)
            : m_owner(std::move(owner))
            , m_attempt(std::move(attempt))
        {
        }

        void start() override { m_attempt->start(); }
        void cancel() override { m_attempt->cancel(); }

        void send(const std::string& permitId, const Routing::CallerRequest& request) override
        {
            {
                std::lock_guard guard(m_owner->m_lock);
                if (m_owner->m_holdsSends) {
                    m_owner->m_heldSends.push_back([attempt = m_attempt, permitId, request] { attempt->send(permitId, request); });
                    return;
                }
            }
            m_attempt->send(permitId, request);
        }

    private:
        std::shared_ptr<FaultyChannels> m_owner;
        std::shared_ptr<Routing::Attempt> m_attempt;
    };

    class Channel final : public Routing::TargetChannel {
    public:
        Channel(std::shared_ptr<FaultyChannels> owner, std::shared_ptr<Routing::TargetChannel> channel)
            : m_owner(std::move(owner))
            , m_channel(std::move(channel))
        {
        }

        std::shared_ptr<Routing::Attempt> open(const Routing::AdmissionRequest& admission, std::shared_ptr<Routing::AttemptEvents> events) override
        {
            return std::make_shared<HeldAttempt>(m_owner, m_channel->open(admission, std::make_shared<RefusalCounter>(m_owner, std::move(events))));
        }

        void resolve(const std::string& attemptId, const Routing::Permit& permit, Base::Duration timeout, std::function<void(Routing::Resolution)> done) override
        {
            m_channel->resolve(attemptId, permit, timeout, std::move(done));
        }

    private:
        std::shared_ptr<FaultyChannels> m_owner;
        std::shared_ptr<Routing::TargetChannel> m_channel;
    };

    std::mutex m_lock;
    Transport::TargetClients m_clients { Transport::makeLoopbackCredentials() };
    std::map<std::string, std::unique_ptr<FreezingProxy>> m_proxies;
    bool m_holdsSends = false;
    std::vector<std::function<void()>> m_heldSends;
    std::map<Routing::RefusalKind, size_t> m_refusals;
};

} // namespace Lavenderloft::Testing

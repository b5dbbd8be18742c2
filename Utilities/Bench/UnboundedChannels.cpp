#include "Bench/UnboundedChannels.h"

#include <deque>
#include <mutex>
#include <utility>

namespace Lavenderloft::Bench {

namespace {

    // Queues the frames of one response for a receiver that accepts one at a time.
    class BufferedEvents final : public Routing::AttemptEvents, public std::enable_shared_from_this<BufferedEvents> {
    public:
        explicit BufferedEvents(std::shared_ptr<Routing::AttemptEvents> receiver)
            : m_receiver(std::move(receiver))
        {
        }

        void permitted(const Routing::Permit& permit) override { m_receiver->permitted(permit); }
        void refused(const Routing::Refusal& refusal) override { m_receiver->refused(refusal); }
        void loadReported(const Membership::TargetLoad& load) override { m_receiver->loadReported(load); }
        void head(Routing::ResponseHead head) override { m_receiver->head(std::move(head)); }

        void data(Routing::ResponseData data, std::function<void()> resume) override
        {
            enqueue([data = std::move(data)](BufferedEvents& self) mutable {
                self.m_receiver->data(std::move(data), [events = self.shared_from_this()] { events->deliverNext(); });
            });
            resume();
        }

        void ended(const Routing::ResponseEnd& end) override
        {
            enqueue([end](BufferedEvents& self) {
                self.m_receiver->ended(end);
                self.deliverNext();
            });
        }

        void closed(const std::string& reason) override
        {
            enqueue([reason](BufferedEvents& self) {
                self.m_receiver->closed(reason);
                self.deliverNext();
            });
        }

    private:
        using Frame = std::function<void(BufferedEvents&)>;

        void enqueue(Frame frame)
        {
            {
                std::lock_guard guard(m_lock);
                m_frames.push_back(std::move(frame));
                if (std::exchange(m_isDelivering, true))
                    return;
            }
            deliverNext();
        }

        void deliverNext()
        {
            Frame frame;
            {
                std::lock_guard guard(m_lock);
                m_isDelivering = !m_frames.empty();
                if (!m_isDelivering)
                    return;
                frame = std::move(m_frames.front());
                m_frames.pop_front();
            }
            frame(*this);
        }

        std::shared_ptr<Routing::AttemptEvents> m_receiver;
        std::mutex m_lock;
        std::deque<Frame> m_frames;
        bool m_isDelivering = false;
    };

    class UnboundedChannel final : public Routing::TargetChannel {
    public:
        explicit UnboundedChannel(std::shared_ptr<Routing::TargetChannel> inner)
            : m_inner(std::move(inner))
        {
        }

        std::shared_ptr<Routing::Attempt> open(const Routing::AdmissionRequest& admission, std::shared_ptr<Routing::AttemptEvents> events) override
        {
            return m_inner->open(admission, std::make_shared<BufferedEvents>(std::move(events)));
        }

        void resolve(const std::string& attemptId, const Routing::Permit& permit, Base::Duration timeout, std::function<void(Routing::Resolution)> done) override
        {
            m_inner->resolve(attemptId, permit, timeout, std::move(done));
        }

    private:
        std::shared_ptr<Routing::TargetChannel> m_inner;
    };

} // namespace

UnboundedChannels::UnboundedChannels(std::shared_ptr<Routing::TargetChannels> inner)
    : m_inner(std::move(inner))
{
}

std::shared_ptr<Routing::TargetChannel> UnboundedChannels::channelTo(const std::string& address)
{
    return std::make_shared<UnboundedChannel>(m_inner->channelTo(address));
}

} // namespace Lavenderloft::Bench

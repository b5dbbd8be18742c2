#include "Transport/WeightServiceServer.h"

#include "Transport/WeightMessages.h"
#include "Weights/Commands/UploadCommands.h"
#include "Weights/Queries/ChunkQueries.h"
#include "Weights/Queries/DownloadQueries.h"
#include "Weights/Queries/TransferQueries.h"
#include "Weights/Queries/UploadQueries.h"
#include "Weights/TransferLimits.h"
#include "lavenderloft.grpc.pb.h"

#include <atomic>
#include <grpcpp/alarm.h>
#include <grpcpp/grpcpp.h>

namespace Lavenderloft::Transport {

namespace protocol = lavenderloft::v1;

namespace {

    grpc::Status busyStatus()
    {
        return { grpc::StatusCode::RESOURCE_EXHAUSTED, "no upload slot is free" };
    }

    // Streams one chunk to a receiver. Delays each part as the link limiter requires, using a gRPC alarm.
    class ChunkWriter final : public grpc::ServerWriteReactor<protocol::ChunkPart>, public std::enable_shared_from_this<ChunkWriter> {
    public:
        ChunkWriter(std::shared_ptr<Weights::WeightState> state, std::shared_ptr<Weights::LinkLimiter> limiter, const Base::Clock& clock, Weights::ChunkBytes bytes, Weights::Receiver receiver)
            : m_state(std::move(state))
            , m_limiter(std::move(limiter))
            , m_clock(clock)
            , m_bytes(std::move(bytes))
            , m_receiver(std::move(receiver))
        {
        }

        // Makes the object own itself until OnDone, which calls the function.
        void onEnded(std::function<void()> ended)
        {
            m_self = shared_from_this();
            m_ended = std::move(ended);
        }

        // Drops the self-reference of an object that was never passed to gRPC.
        void releaseSelf() { auto self = std::move(m_self); }

        void start()
        {
            {
                std::lock_guard guard(m_lock);
                if (m_cancelled)
                    return;
                m_started = true;
            }
            m_limiter->accountUpload(m_receiver.region, m_bytes->size(), m_clock.now());
            sendNext();
        }

        // Refuses the upload unless it has started.
        void refuse()
        {
            {
                std::lock_guard guard(m_lock);
                if (m_started || m_cancelled)
                    return;
                m_cancelled = true;
            }
            finishOnce(busyStatus());
        }

        void OnWriteDone(bool ok) override
        {
            if (!ok)
                return finishOnce(grpc::Status::CANCELLED);
            m_state->counters.uploadedBytes += m_part.bytes().size();
            sendNext();
        }

        // After the start, the pending alarm or write finishes the stream.
        void OnCancel() override
        {
            {
                std::lock_guard guard(m_lock);
                m_cancelled = true;
                if (m_alarm)
                    m_alarm->Cancel();
                if (m_started)
                    return;
            }
            finishOnce(grpc::Status::CANCELLED);
        }

        void OnDone() override
        {
            auto self = std::move(m_self);
            m_ended();
        }

    private:
        void finishOnce(grpc::Status status)
        {
            if (!m_finished.exchange(true))
                Finish(std::move(status));
        }

        void sendNext()
        {
            if (m_offset >= m_bytes->size())
                return finishOnce(grpc::Status::OK);
            auto count = std::min(m_partBytes, m_bytes->size() - m_offset);
            m_part.set_bytes(m_bytes->data() + m_offset, count);
            m_offset += count;
            auto delay = m_limiter->partDelay(m_receiver, count, m_clock.now());
            if (delay <= Base::Duration::zero())
                return write();
            std::unique_lock guard(m_lock);
            if (m_cancelled) {
                guard.unlock();
                return finishOnce(grpc::Status::CANCELLED);
            }
            m_alarm = std::make_unique<grpc::Alarm>();
            m_alarm->Set(std::chrono::system_clock::now() + std::chrono::duration_cast<std::chrono::microseconds>(delay), [self = shared_from_this()](bool ok) {
                ok ? self->write() : self->finishOnce(grpc::Status::CANCELLED);
            });
        }

        void write()
        {
            {
                std::lock_guard guard(m_lock);
                m_alarm.reset();
            }
            StartWrite(&m_part);
        }

        std::shared_ptr<Weights::WeightState> m_state;
        std::shared_ptr<Weights::LinkLimiter> m_limiter;
        const Base::Clock& m_clock;
        Weights::ChunkBytes m_bytes;
        Weights::Receiver m_receiver;
        std::shared_ptr<ChunkWriter> m_self;
        std::function<void()> m_ended;
        protocol::ChunkPart m_part;
        size_t m_partBytes = std::clamp(m_bytes->size() / Weights::partsPerChunk, Weights::minimumPartBytes, Weights::maximumPartBytes);
        size_t m_offset = 0;
        std::atomic<bool> m_finished { false };
        std::mutex m_lock;
        std::unique_ptr<grpc::Alarm> m_alarm;
        bool m_started = false;
        bool m_cancelled = false;
    };

    // Finishes a stream immediately with an error.
    class RejectedStream final : public grpc::ServerWriteReactor<protocol::ChunkPart> {
    public:
        explicit RejectedStream(grpc::Status status) { Finish(std::move(status)); }
        void OnDone() override { delete this; }
    };

} // namespace

class WeightServiceServer::Implementation final : public protocol::WeightService::CallbackService {
public:
    Implementation(std::shared_ptr<Weights::WeightState> state, std::shared_ptr<Weights::LinkLimiter> limiter, const Base::Clock& clock, std::string ownRegion)
        : m_state(std::move(state))
        , m_limiter(std::move(limiter))
        , m_clock(clock)
        , m_ownRegion(std::move(ownRegion))
    {
    }

    grpc::ServerUnaryReactor* GetManifest(grpc::CallbackServerContext* context, const protocol::GetManifestRequest* request, protocol::GetManifestResponse* response) override
    {
        auto digest = decodeDigest(request->digest());
        if (auto document = Weights::Queries::documentOf(m_state->transfers, digest))
            response->set_document(*document);
        return finish(context, *request, *response);
    }

    grpc::ServerUnaryReactor* GetHoldings(grpc::CallbackServerContext* context, const protocol::GetHoldingsRequest* request, protocol::GetHoldingsResponse* response) override
    {
        auto digest = decodeDigest(request->digest());
        auto held = Weights::Queries::heldChunks(m_state->transfers, digest);
        response->set_known(!held.empty());
        response->set_held(encodeBitmap(held));
        for (auto chunk : Weights::Queries::assignedChunks(m_state->downloads, digest))
            response->add_assigned(chunk);
        response->set_free_upload_slots(Weights::Queries::freeUploadSlots(m_state->uploads));
        response->set_slot_expected_ms(static_cast<uint32_t>(Weights::Queries::slotExpectedIn(m_state->uploads).count()));
        return finish(context, *request, *response);
    }

    grpc::ServerWriteReactor<protocol::ChunkPart>* FetchChunk(grpc::CallbackServerContext*, const protocol::FetchChunkRequest* request) override
    {
        auto bytes = Weights::Queries::findChunk(m_state->chunks, decodeDigest(request->chunk_digest()));
        if (!bytes)
            return new RejectedStream({ grpc::StatusCode::NOT_FOUND, "the chunk is not held" });
        auto number = ++m_lastUploadNumber;
        Weights::Upload upload { request->from_vm(), request->from_region(), request->from_region() != m_ownRegion, request->priority(), bytes->size(), m_clock.now(), false };
        auto writer = std::make_shared<ChunkWriter>(m_state, m_limiter, m_clock, std::move(bytes), Weights::Receiver { request->from_vm(), request->from_region() });
        // Registered before it is queued, because another thread may start it immediately.
        writer->onEnded([this, number] { endUpload(number); });
        m_writers.set(number, writer);
        if (!Base::succeeded(Weights::Commands::enqueueUpload(m_state->uploads, number, std::move(upload)))) {
            m_writers.erase(number);
            writer->releaseSelf();
            return new RejectedStream(busyStatus());
        }
        startUploads();
        return writer.get();
    }

    void startUploads()
    {
        for (;;) {
            auto numbers = Weights::Queries::uploadsToStart(m_state->uploads, *m_limiter, m_clock.now());
            bool started = false;
            for (auto number : numbers)
                started = startUpload(number) || started;
            if (!started)
                return;
        }
    }

    void refuseOverdueUploads()
    {
        for (auto number : Weights::Queries::overdueUploads(m_state->uploads, m_clock.now())) {
            if (auto writer = m_writers.find(number))
                (*writer)->refuse();
        }
    }

private:
    template <typename Request, typename Response>
    grpc::ServerUnaryReactor* finish(grpc::CallbackServerContext* context, const Request& request, const Response& response)
    {
        m_state->counters.controlBytes += request.ByteSizeLong() + response.ByteSizeLong();
        auto* reactor = context->DefaultReactor();
        reactor->Finish(grpc::Status::OK);
        return reactor;
    }

    bool startUpload(uint64_t number)
    {
        if (!Base::succeeded(Weights::Commands::startUpload(m_state->uploads, number, m_clock.now())))
            return false;
        auto writer = m_writers.find(number);
        if (writer)
            (*writer)->start();
        return writer.has_value();
    }

    void endUpload(uint64_t number)
    {
        Weights::Commands::endUpload(m_state->uploads, number, m_clock.now());
        m_writers.erase(number);
        startUploads();
    }

    std::shared_ptr<Weights::WeightState> m_state;
    std::shared_ptr<Weights::LinkLimiter> m_limiter;
    const Base::Clock& m_clock;
    std::string m_ownRegion;
    std::atomic<uint64_t> m_lastUploadNumber { 0 };
    Base::ShardedMap<uint64_t, std::shared_ptr<ChunkWriter>> m_writers;
};

WeightServiceServer::WeightServiceServer(std::shared_ptr<Weights::WeightState> state, std::shared_ptr<Weights::LinkLimiter> limiter, const Base::Clock& clock, std::string ownRegion)
    : m_implementation(std::make_unique<Implementation>(std::move(state), std::move(limiter), clock, std::move(ownRegion)))
{
}

WeightServiceServer::~WeightServiceServer() = default;

grpc::Service& WeightServiceServer::service()
{
    return *m_implementation;
}

void WeightServiceServer::processUploadQueue()
{
    m_implementation->refuseOverdueUploads();
    m_implementation->startUploads();
}

} // namespace Lavenderloft::Transport

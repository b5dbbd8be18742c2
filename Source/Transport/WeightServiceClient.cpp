#include "Transport/WeightServiceClient.h"

#include "Base/ShardedMap.h"
#include "Transport/WeightMessages.h"
#include "Weights/TransferLimits.h"
#include "lavenderloft.grpc.pb.h"

#include <grpcpp/grpcpp.h>

namespace Lavenderloft::Transport {

namespace {

    namespace protocol = lavenderloft::v1;
    using Weights::WeightError;
    using Weights::WeightErrorKind;
    using Stub = protocol::WeightService::Stub;

    // Size of the HTTP/2 frames and compressed headers of one unary call, request and response together.
    constexpr size_t callOverheadBytes = 120;
    constexpr int keepAliveIntervalMs = 2000;
    constexpr int keepAliveTimeoutMs = 2000;
    // Lets a peer that restarts be reconnected within a second.
    constexpr int initialReconnectBackoffMs = 200;
    constexpr int maximumReconnectBackoffMs = 1000;

    WeightErrorKind toErrorKind(grpc::StatusCode code)
    {
        switch (code) {
        case grpc::StatusCode::NOT_FOUND:
            return WeightErrorKind::NotHeld;
        case grpc::StatusCode::RESOURCE_EXHAUSTED:
            return WeightErrorKind::Busy;
        case grpc::StatusCode::CANCELLED:
            return WeightErrorKind::Cancelled;
        case grpc::StatusCode::DEADLINE_EXCEEDED:
            return WeightErrorKind::Stalled;
        default:
            return WeightErrorKind::Unreachable;
        }
    }

    WeightError toWeightError(const Weights::Participant& peer, const grpc::Status& status)
    {
        return { toErrorKind(status.error_code()), "agent " + peer.vm + " at " + peer.address + ": " + status.error_message(), "" };
    }

    // The objects that must outlive a unary call until its callback returns.
    template <typename Request, typename Response>
    struct UnaryCall {
        std::shared_ptr<Stub> stub;
        grpc::ClientContext context;
        Request request;
        Response response;
    };

    template <typename Request, typename Response>
    std::shared_ptr<UnaryCall<Request, Response>> makeCall(const std::shared_ptr<Stub>& stub, std::chrono::milliseconds timeout)
    {
        auto call = std::make_shared<UnaryCall<Request, Response>>();
        call->stub = stub;
        call->context.set_deadline(std::chrono::system_clock::now() + timeout);
        return call;
    }

    // Reads the stream of one chunk. Owns itself until the call ends.
    class ChunkReader final : public grpc::ClientReadReactor<protocol::ChunkPart>, public Weights::ChunkFetch {
    public:
        ChunkReader(std::shared_ptr<Stub> stub, std::shared_ptr<Weights::WeightState> state, Weights::Participant peer, std::shared_ptr<Weights::ChunkSink> sink)
            : m_stub(std::move(stub))
            , m_state(std::move(state))
            , m_peer(std::move(peer))
            , m_sink(std::move(sink))
        {
        }

        void start(const std::shared_ptr<ChunkReader>& self, protocol::FetchChunkRequest request)
        {
            m_self = self;
            m_request = std::move(request);
            m_stub->async()->FetchChunk(&m_context, &m_request, this);
            StartRead(&m_part);
            StartCall();
        }

        void OnReadDone(bool ok) override
        {
            if (!ok)
                return;
            m_sink->part(m_part.bytes());
            StartRead(&m_part);
        }

        void OnDone(const grpc::Status& status) override
        {
            auto self = std::move(m_self);
            m_state->counters.controlBytes += callOverheadBytes + m_request.ByteSizeLong() + status.error_message().size();
            if (status.ok())
                m_sink->end(Base::Done {});
            else
                m_sink->end(toWeightError(m_peer, status));
        }

        void cancel() override { m_context.TryCancel(); }

    private:
        std::shared_ptr<Stub> m_stub;
        std::shared_ptr<Weights::WeightState> m_state;
        Weights::Participant m_peer;
        std::shared_ptr<Weights::ChunkSink> m_sink;
        std::shared_ptr<ChunkReader> m_self;
        grpc::ClientContext m_context;
        protocol::FetchChunkRequest m_request;
        protocol::ChunkPart m_part;
    };

} // namespace

struct WeightServiceClient::Channels {
    explicit Channels(SharedCredentials sharedCredentials)
        : credentials(std::move(sharedCredentials))
    {
    }

    const SharedCredentials credentials;
    Base::ShardedMap<std::string, std::shared_ptr<Stub>> stubs;

    std::shared_ptr<Stub> stubFor(const std::string& address)
    {
        return stubs.withShard(address, [&](auto& entries) {
            auto& stub = entries[address];
            if (!stub) {
                grpc::ChannelArguments arguments;
                arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, keepAliveIntervalMs);
                arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, keepAliveTimeoutMs);
                arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, initialReconnectBackoffMs);
                arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, maximumReconnectBackoffMs);
                stub = protocol::WeightService::NewStub(grpc::CreateCustomChannel(address, credentials->channel(address), arguments));
            }
            return stub;
        });
    }
};

WeightServiceClient::WeightServiceClient(Weights::Participant self, std::shared_ptr<Weights::WeightState> state, SharedCredentials credentials)
    : m_self(std::move(self))
    , m_state(std::move(state))
    , m_channels(std::make_unique<Channels>(std::move(credentials)))
{
}

WeightServiceClient::~WeightServiceClient() = default;

void WeightServiceClient::getHoldings(const Weights::Participant& peer, const std::string& manifestDigest, Weights::HoldingsCallback callback)
{
    auto call = makeCall<protocol::GetHoldingsRequest, protocol::GetHoldingsResponse>(m_channels->stubFor(peer.address), Weights::peerCallTimeout);
    call->request.set_digest(encodeDigest(manifestDigest));
    call->stub->async()->GetHoldings(&call->context, &call->request, &call->response, [call, peer, state = m_state, callback = std::move(callback)](const grpc::Status& status) {
        state->counters.controlBytes += callOverheadBytes + call->request.ByteSizeLong() + call->response.ByteSizeLong();
        if (!status.ok())
            return callback(toWeightError(peer, status));
        Weights::Holdings holdings;
        holdings.known = call->response.known();
        holdings.held = decodeBitmap(call->response.held());
        holdings.assigned.assign(call->response.assigned().begin(), call->response.assigned().end());
        holdings.freeUploadSlots = call->response.free_upload_slots();
        holdings.slotExpectedIn = std::chrono::milliseconds(call->response.slot_expected_ms());
        callback(std::move(holdings));
    });
}

void WeightServiceClient::getManifest(const Weights::Participant& peer, const std::string& manifestDigest, std::chrono::milliseconds timeout, Weights::ManifestCallback callback)
{
    auto call = makeCall<protocol::GetManifestRequest, protocol::GetManifestResponse>(m_channels->stubFor(peer.address), timeout);
    call->request.set_digest(encodeDigest(manifestDigest));
    call->stub->async()->GetManifest(&call->context, &call->request, &call->response, [call, peer, state = m_state, callback = std::move(callback)](const grpc::Status& status) {
        state->counters.controlBytes += callOverheadBytes + call->request.ByteSizeLong() + call->response.ByteSizeLong();
        if (!status.ok())
            return callback(toWeightError(peer, status));
        if (call->response.document().empty())
            return callback(WeightError { WeightErrorKind::NotHeld, "agent " + peer.vm + " does not hold the manifest", "" });
        callback(std::string(call->response.document()));
    });
}

std::shared_ptr<Weights::ChunkFetch> WeightServiceClient::fetchChunk(const Weights::Participant& peer, const Weights::ChunkRequest& request, std::shared_ptr<Weights::ChunkSink> sink)
{
    protocol::FetchChunkRequest message;
    message.set_chunk_digest(encodeDigest(request.chunkDigest));
    message.set_from_vm(m_self.vm);
    message.set_from_region(m_self.region);
    message.set_priority(request.priority);
    auto reader = std::make_shared<ChunkReader>(m_channels->stubFor(peer.address), m_state, peer, std::move(sink));
    reader->start(reader, std::move(message));
    return reader;
}

} // namespace Lavenderloft::Transport

#include "Fuzzing/FuzzingChecks.h"
#include "Transport/ControlCodec.h"

#include "lavenderloft.pb.h"

#include <cstddef>
#include <cstdint>

using namespace Lavenderloft;
using Fuzzing::require;

namespace proto = ::lavenderloft::v1;

namespace {

void checkMember(const Membership::Member& member)
{
    require(member.role == Membership::Role::Router || member.role == Membership::Role::Agent);
    require(member.status >= Membership::Status::Alive && member.status <= Membership::Status::Dead);
    for (auto& replica : member.replicas)
        require(replica.phase >= Membership::ReplicaPhase::Idle && replica.phase <= Membership::ReplicaPhase::Failed);
}

void checkGossip(const Membership::GossipMessage& message)
{
    require(message.confirmationAge >= Base::Duration::zero());
    for (auto& evidence : message.crashEvidence)
        require(evidence.age >= Base::Duration::zero());
    for (auto& report : message.poolReports)
        require(report.age >= Base::Duration::zero());
    for (auto& member : message.members)
        checkMember(member);
}

// A decoded message must survive a round trip through the codec unchanged, because processes forward what they receive.
template <typename Message, typename Decode>
void checkRoundTrip(const Message& message, Decode decode)
{
    Message first;
    Transport::encode(decode(message), first);
    Message second;
    Transport::encode(decode(first), second);
    require(first.SerializeAsString() == second.SerializeAsString());
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    auto length = static_cast<int>(size);
    if (proto::ExchangeRequest request; request.ParseFromArray(data, length)) {
        checkGossip(Transport::decode(request));
        checkRoundTrip(request, [](auto& message) { return Transport::decode(message); });
    }
    if (proto::ExchangeResponse response; response.ParseFromArray(data, length)) {
        checkGossip(Transport::decode(response, "vm"));
        checkRoundTrip(response, [](auto& message) { return Transport::decode(message, "vm"); });
    }
    if (proto::PoolReport report; report.ParseFromArray(data, length))
        checkRoundTrip(report, [](auto& message) { return Transport::decode(message); });
    if (proto::Member member; member.ParseFromArray(data, length)) {
        checkMember(Transport::decode(member));
        checkRoundTrip(member, [](auto& message) { return Transport::decode(message); });
    }
    return 0;
}

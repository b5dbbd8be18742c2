#include "Standin/WeightStore.h"
#include "Base/Digest.h"
#include "Http/HttpClient.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace std::chrono_literals;

namespace {

constexpr auto requestTimeout = 20s;

std::string get(Http::HttpClient& client, uint16_t port, const std::string& target)
{
    Http::HttpRequest request;
    request.target = target;
    auto response = client.fetch({ "127.0.0.1", port }, request, requestTimeout);
    cr_assert(Base::succeeded(response));
    cr_assert_eq(Base::valueOf(response).status, 200);
    return Base::valueOf(response).body;
}

Standin::ModelSpec smallModel(const std::string& version)
{
    return { { "assistant", version, 100'000, 16'384 }, 7, 50 };
}

} // namespace

// Guards against a store whose bytes differ from its manifest, and against a corruption without effect.
Test(WeightStore, servesManifestChunksAndCorruptsOnRequest)
{
    Standin::WeightStore store({});
    Http::HttpClient client;
    auto model = store.addModel(smallModel("1"));
    cr_assert(Base::sha256(get(client, store.port(), "/v1/manifests/" + model->digest())) == model->digest());
    Standin::ModelVerifier verifier;
    for (auto& digest : model->chunkDigests()) {
        auto bytes = get(client, store.port(), "/v1/chunks/" + digest);
        cr_assert(Base::sha256(bytes) == digest);
        cr_assert(Base::succeeded(verifier.add(bytes)));
    }
    cr_assert(Base::valueOf(verifier.digest()) == model->digest());
    cr_assert_eq(store.counters().chunkBytes, model->totalBytes());

    auto corrupted = model->chunkDigests().back();
    store.corruptChunk(corrupted, 1);
    cr_assert(Base::sha256(get(client, store.port(), "/v1/chunks/" + corrupted)) != corrupted);
    cr_assert(Base::sha256(get(client, store.port(), "/v1/chunks/" + corrupted)) == corrupted);
    cr_assert_eq(store.counters().chunks[corrupted].requests, 3);
}

// Guards against versions without common chunks, with which tests of chunk sharing would prove nothing.
Test(WeightStore, versionsShareLeadingChunks)
{
    auto first = Base::takeValue(Standin::SyntheticModel::generate(smallModel("1")));
    auto second = Base::takeValue(Standin::SyntheticModel::generate(smallModel("2")));
    cr_assert(first.digest() != second.digest());
    cr_assert(first.chunkDigests()[1] == second.chunkDigests()[1]);
    cr_assert(first.chunkDigests().back() != second.chunkDigests().back());
}

// Guards against an engine that accepts mixed or partial weights as one version.
Test(WeightStore, verifierDetectsMixedAndPartialWeights)
{
    auto first = Base::takeValue(Standin::SyntheticModel::generate(smallModel("1")));
    auto second = Base::takeValue(Standin::SyntheticModel::generate(smallModel("2")));
    Standin::ModelVerifier mixed;
    auto count = first.chunkDigests().size();
    for (size_t i = 0; i < count; ++i) {
        cr_assert_not(Base::succeeded(mixed.digest()));
        cr_assert(Base::succeeded(mixed.add((i + 1 == count ? second : first).chunk(i))));
    }
    cr_assert(Base::valueOf(mixed.digest()) != first.digest());
    cr_assert(Base::valueOf(mixed.digest()) != second.digest());
    cr_assert_not(Base::succeeded(mixed.add(first.chunk(1))));
}

#include "Configuration/Commands/AcceptDocument.h"
#include "Configuration/Queries/CurrentDocument.h"
#include "DesiredState/Queries/ParseDocument.h"

#include <algorithm>
#include <atomic>
#include <criterion/criterion.h>
#include <random>
#include <thread>

using namespace Lavenderloft;
using namespace Lavenderloft::Configuration;
using Commands::AcceptDocument;
using Commands::AcceptErrorKind;

namespace {

std::string documentBytes(uint64_t revision, const std::string& region = "kutch")
{
    return R"({"revision":)" + std::to_string(revision) + R"(,"regions":[{"name":")" + region + R"("}],"dataCentres":[{"name":"d","region":")" + region
        + R"("}],"pools":[],"services":[],"routes":[]})";
}

uint64_t currentRevision(const RevisionStore& store)
{
    auto document = Queries::CurrentDocument(store).document();
    return document ? document->revision : 0;
}

void accept(RevisionStore& store, const std::string& bytes)
{
    AcceptDocument(store).execute(bytes, "test");
}

} // namespace

// Guards against reverting to an outdated document that the service returns after its restart.
Test(RevisionStore, neverRevertsToALowerRevision)
{
    RevisionStore store;
    cr_assert_null(Queries::CurrentDocument(store).document());
    accept(store, documentBytes(7));
    auto stale = AcceptDocument(store).execute(documentBytes(5), "service");
    cr_assert(Base::errorOf(stale).kind == AcceptErrorKind::NotGreater);
    cr_assert_eq(currentRevision(store), 7);
    cr_assert(store.current()->bytes == documentBytes(7));
    cr_assert(store.current()->digest == DesiredState::Queries::documentDigest(documentBytes(7)));
    cr_assert_not(Queries::CurrentDocument(store).wouldBeReplacedBy(6, std::string(64, 'f')));
    cr_assert(Queries::CurrentDocument(store).wouldBeReplacedBy(8, ""));
}

// Guards against processes that activate different documents when several were published with the same revision.
Test(RevisionStore, ordersDocumentsOfTheSameRevisionIndependentlyOfArrival)
{
    std::vector<std::string> documents { documentBytes(6), documentBytes(7, "a"), documentBytes(7, "b"), documentBytes(7, "c") };
    auto digest = [](const std::string& bytes) { return DesiredState::Queries::documentDigest(bytes); };
    auto greatest = *std::max_element(documents.begin() + 1, documents.end(), [&](auto& one, auto& other) { return digest(one) < digest(other); });
    std::sort(documents.begin(), documents.end());
    do {
        RevisionStore store;
        for (auto& document : documents)
            accept(store, document);
        cr_assert(store.current()->bytes == greatest);
    } while (std::next_permutation(documents.begin(), documents.end()));
}

// Guards against an invalid document that replaces the active one, or whose refusal is not recorded for operators.
Test(RevisionStore, keepsTheActiveDocumentWhenOneIsRefused)
{
    RevisionStore store;
    accept(store, documentBytes(7));
    auto faulty = documentBytes(8);
    faulty.replace(faulty.find("pools"), 5, "polls");
    auto result = AcceptDocument(store).execute(faulty, "service");
    cr_assert(Base::errorOf(result).kind == AcceptErrorKind::Invalid);
    cr_assert_eq(currentRevision(store), 7);
    cr_assert(store.refused()->digest == DesiredState::Queries::documentDigest(faulty));
    cr_assert(store.refused()->reason.find("/polls") != std::string::npos);
    accept(store, documentBytes(9));
    cr_assert_not(store.refused().has_value());
}

// Guards against a race in which a thread replaces a newer document after comparing with an older one.
Test(RevisionStore, concurrentAcceptsEndWithTheGreatestRevision)
{
    constexpr uint64_t greatest = 200;
    RevisionStore store;
    std::atomic<bool> hasReverted { false };
    auto work = [&](unsigned seed) {
        std::vector<uint64_t> revisions(greatest);
        for (uint64_t i = 0; i < greatest; ++i)
            revisions[i] = i + 1;
        std::shuffle(revisions.begin(), revisions.end(), std::mt19937(seed));
        uint64_t seen = 0;
        for (auto revision : revisions) {
            accept(store, documentBytes(revision));
            auto current = currentRevision(store);
            if (current < seen || current < revision)
                hasReverted = true;
            seen = current;
        }
    };
    std::vector<std::thread> threads;
    for (unsigned seed = 1; seed <= 4; ++seed)
        threads.emplace_back(work, seed);
    for (auto& thread : threads)
        thread.join();
    cr_assert_not(hasReverted);
    cr_assert_eq(currentRevision(store), greatest);
}

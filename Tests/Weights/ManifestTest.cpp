#include "Weights/Manifest.h"
#include "Base/Digest.h"

#include <criterion/criterion.h>
#include <sys/resource.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Weights;

namespace {

std::string documentWith(const std::string& files, const std::string& more = "")
{
    return R"({"model":"m","version":"1","chunkSize":4,"files":)" + files + more + "}";
}

std::string fileWith(const std::string& name, unsigned size, std::initializer_list<const char*> contents)
{
    std::string chunks;
    for (auto* content : contents)
        chunks += (chunks.empty() ? "\"" : ",\"") + Base::sha256(content) + "\"";
    return R"({"name":")" + name + R"(","size":)" + std::to_string(size) + R"(,"chunks":[)" + chunks + "]}";
}

bool isMalformed(const std::string& document)
{
    auto parsed = parseManifest(document);
    return !Base::succeeded(parsed) && Base::errorOf(parsed).kind == WeightErrorKind::MalformedManifest;
}

} // namespace

// Guards against chunks out of file order, wrong sizes of last chunks and duplicate chunks that are counted twice.
Test(Manifest, listsChunksInFileOrderWithTheirSizes)
{
    auto document = documentWith("[" + fileWith("a", 6, { "aaaa", "bb" }) + "," + fileWith("b", 4, { "aaaa" }) + "]");
    auto parsed = parseManifest(document, Base::sha256(document));
    cr_assert(Base::succeeded(parsed));
    auto& manifest = Base::valueOf(parsed);
    cr_assert_eq(manifest.chunks.size(), 3);
    cr_assert_eq(manifest.chunks[1].bytes, 2);
    cr_assert(manifest.chunks[0].digest == manifest.chunks[2].digest);
    cr_assert_eq(manifest.positions.at(manifest.chunks[0].digest).size(), 2);
    cr_assert_eq(manifest.distinctBytes, 6);
}

// Guards against accepting manifests that are ambiguous or inconsistent.
Test(Manifest, rejectsWhatIsNotStrictlyValid)
{
    auto file = fileWith("a", 4, { "aaaa" });
    cr_assert_not(isMalformed(documentWith("[" + file + "]")));
    cr_assert(isMalformed(documentWith("[" + file + "]", R"(,"unknown":1)")));
    cr_assert(isMalformed(documentWith("[" + file + "]", R"(,"model":"n")")));
    cr_assert(isMalformed(documentWith("[" + file + "," + file + "]")));
    cr_assert(isMalformed(documentWith("[" + fileWith("a", 9, { "aaaa" }) + "]")));
    cr_assert(isMalformed(documentWith("[" + fileWith("a", 3, { "aaaa" }) + "," + fileWith("b", 4, { "aaaa" }) + "]")));
    cr_assert(isMalformed(documentWith("[]")));
    cr_assert(isMalformed(documentWith("[" + file)));
    cr_assert(isMalformed(R"({"model":"m","version":"1","chunkSize":0,"files":[]})"));
    cr_assert(isMalformed(R"({"model":"m","version":"1","chunkSize":4,"files":[{"name":"a","size":-4,"chunks":[]}]})"));
    cr_assert(isMalformed(R"({"model":"m","version":"1","chunkSize":4,"files":[{"name":"a","size":4,"chunks":["AB"]}]})"));
}

// Guards against accepting a manifest that was modified in transit.
Test(Manifest, rejectsBytesWithAnotherDigest)
{
    auto document = documentWith("[" + fileWith("a", 4, { "aaaa" }) + "]");
    auto parsed = parseManifest(document + " ", Base::sha256(document));
    cr_assert_not(Base::succeeded(parsed));
    cr_assert(Base::errorOf(parsed).kind == WeightErrorKind::WrongDigest);
}

// Guards against a manifest whose total size overflows and so passes the check of the memory budget, and against an
// error message with a line break in the log. Both were found by fuzz-Manifest.
Test(Manifest, rejectsSizesThatWrapAndPrintsErrorsOnOneLine)
{
    auto half = std::to_string(1ULL << 63);
    auto file = [&](const std::string& name) { return R"({"name":")" + name + R"(","size":)" + half + R"(,"chunks":[")" + Base::sha256(name) + "\"]}"; };
    auto head = R"({"model":"m","version":"1","chunkSize":)" + half + R"(,"files":[)";
    cr_assert_not(isMalformed(head + file("a") + "]}"));
    cr_assert(isMalformed(head + file("a") + "," + file("b") + "]}"));
    auto parsed = parseManifest(documentWith("[]", R"(,"line\u000abreak":1)"));
    cr_assert(Base::errorOf(parsed).message.find('\n') == std::string::npos);
    cr_assert(Base::errorOf(parsed).message.find("line?break") != std::string::npos);
}

// Guards against an agent that ends for lack of memory because of a manifest of nested arrays.
Test(Manifest, aNestedManifestTakesLittleMemory)
{
    constexpr size_t depth = 500000;
    constexpr size_t allowedBytes = 24 * 1024 * 1024;
    auto peakMemoryBytes = [] {
        rusage usage {};
        getrusage(RUSAGE_SELF, &usage);
        return static_cast<size_t>(usage.ru_maxrss) * 1024;
    };
    auto document = "{\"model\":" + std::string(depth, '[') + std::string(depth, ']') + "}";
    auto before = peakMemoryBytes();
    auto result = parseManifest(document);
    cr_assert_not(Base::succeeded(result));
    cr_assert_lt(peakMemoryBytes() - before, allowedBytes, "%zu bytes", peakMemoryBytes() - before);
}

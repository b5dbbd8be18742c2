#include "Weights/Manifest.h"

#include "Base/Digest.h"

#include <algorithm>
#include <cctype>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>

namespace Lavenderloft::Weights {

namespace {

    using Json = nlohmann::json;

    // The deepest value of a valid manifest is at level 4.
    constexpr int maximumNesting = 16;

    // Thrown to abort parsing; caught in parseManifest() only.
    struct MalformedDocument {
        std::string message;
    };

    // Replaces control characters, because keys from the document must not break log lines.
    [[noreturn]] void reject(const std::string& where, const std::string& what)
    {
        auto message = "manifest " + where + ": " + what;
        std::replace_if(
            message.begin(), message.end(), [](unsigned char c) { return std::iscntrl(c); }, '?');
        throw MalformedDocument { std::move(message) };
    }

    // Parses JSON and rejects duplicate keys in an object, which the parser by itself drops silently.
    Json parseJson(std::string_view document)
    {
        std::vector<std::set<std::string>> keys;
        auto checkKeys = [&](int depth, Json::parse_event_t event, Json& parsed) {
            if (depth > maximumNesting)
                reject("document", "is nested deeper than " + std::to_string(maximumNesting) + " levels");
            if (event == Json::parse_event_t::object_start)
                keys.emplace_back();
            if (event == Json::parse_event_t::object_end)
                keys.pop_back();
            if (event == Json::parse_event_t::key && !keys.back().insert(parsed.get<std::string>()).second)
                reject("key \"" + parsed.get<std::string>() + "\"", "occurs twice");
            return true;
        };
        try {
            return Json::parse(document, checkKeys);
        } catch (const Json::exception& error) {
            reject("document", error.what());
        }
    }

    void checkKeys(const Json& object, const std::string& where, const std::set<std::string>& expected)
    {
        if (!object.is_object())
            reject(where, "must be an object");
        for (auto& [key, value] : object.items()) {
            if (!expected.contains(key))
                reject(where + "/" + key, "is unknown");
        }
        for (auto& key : expected) {
            if (!object.contains(key))
                reject(where + "/" + key, "is missing");
        }
    }

    std::string readText(const Json& object, const std::string& where, const char* key)
    {
        auto& value = object.at(key);
        if (!value.is_string() || value.get_ref<const std::string&>().empty())
            reject(where + "/" + key, "must be a non-empty string");
        return value.get<std::string>();
    }

    uint64_t readSize(const Json& object, const std::string& where, const char* key)
    {
        auto& value = object.at(key);
        if (!value.is_number_unsigned())
            reject(where + "/" + key, "must be a non-negative integer number of bytes");
        return value.get<uint64_t>();
    }

    ManifestFile readFile(const Json& object, const std::string& where, uint64_t chunkBytes)
    {
        checkKeys(object, where, { "name", "size", "chunks" });
        ManifestFile file;
        file.name = readText(object, where, "name");
        file.bytes = readSize(object, where, "size");
        auto& chunks = object.at("chunks");
        if (!chunks.is_array())
            reject(where + "/chunks", "must be an array of digests");
        for (auto& digest : chunks) {
            if (!digest.is_string() || !Base::isDigest(digest.get_ref<const std::string&>()))
                reject(where + "/chunks", "must contain only SHA-256 digests of 64 lower-case hexadecimal digits");
            file.chunks.push_back(digest.get<std::string>());
        }
        auto expected = file.bytes / chunkBytes + (file.bytes % chunkBytes ? 1 : 0);
        if (file.chunks.size() != expected)
            reject(where + "/chunks", "must have " + std::to_string(expected) + " entries for this size");
        return file;
    }

    void appendChunk(Manifest& manifest, const std::string& digest, uint64_t bytes)
    {
        auto& positions = manifest.positions[digest];
        // A sum that overflows would pass the check against the memory budget.
        if (positions.empty() && bytes > std::numeric_limits<uint64_t>::max() - manifest.distinctBytes)
            reject("/files", "must total less than 2^64 bytes");
        if (positions.empty())
            manifest.distinctBytes += bytes;
        else if (manifest.chunks[positions.front()].bytes != bytes)
            reject("chunk " + digest, "is listed with different sizes");
        positions.push_back(static_cast<unsigned>(manifest.chunks.size()));
        manifest.chunks.push_back({ digest, bytes });
    }

    void appendChunks(Manifest& manifest, const ManifestFile& file)
    {
        auto left = file.bytes;
        for (auto& digest : file.chunks) {
            auto bytes = std::min(left, manifest.chunkBytes);
            appendChunk(manifest, digest, bytes);
            left -= bytes;
        }
    }

    Manifest readManifest(std::string_view document)
    {
        auto json = parseJson(document);
        checkKeys(json, "", { "model", "version", "chunkSize", "files" });
        Manifest manifest;
        manifest.digest = Base::sha256(document);
        manifest.model = readText(json, "", "model");
        manifest.version = readText(json, "", "version");
        manifest.chunkBytes = readSize(json, "", "chunkSize");
        if (!manifest.chunkBytes)
            reject("/chunkSize", "must not be zero");
        if (!json.at("files").is_array())
            reject("/files", "must be an array");
        std::set<std::string> names;
        for (auto& object : json.at("files")) {
            auto where = "/files/" + std::to_string(manifest.files.size());
            manifest.files.push_back(readFile(object, where, manifest.chunkBytes));
            if (!names.insert(manifest.files.back().name).second)
                reject(where + "/name", "is used by another file");
            appendChunks(manifest, manifest.files.back());
        }
        if (manifest.chunks.empty())
            reject("/files", "must contain at least one chunk");
        return manifest;
    }

} // namespace

Base::Result<Manifest, WeightError> parseManifest(std::string_view document)
{
    try {
        return readManifest(document);
    } catch (const MalformedDocument& malformed) {
        return WeightError { WeightErrorKind::MalformedManifest, malformed.message, "publish a corrected manifest" };
    }
}

Base::Result<Manifest, WeightError> parseManifest(std::string_view document, const std::string& digest)
{
    if (Base::sha256(document) != digest)
        return WeightError { WeightErrorKind::WrongDigest, "the SHA-256 of the manifest does not match its digest " + digest, "check the source that sent it" };
    return parseManifest(document);
}

} // namespace Lavenderloft::Weights

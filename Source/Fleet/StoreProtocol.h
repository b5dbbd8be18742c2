#pragma once

#include "Base/Result.h"
#include "Fleet/Publication.h"
#include "Http/HttpMessage.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Lavenderloft::Fleet {

enum class StoreErrorKind {
    // The store did nothing and can be asked again later.
    Refused,
    // The changes asked for are no longer kept; everything has to be listed again.
    HistoryLost,
    Malformed,
};

using StoreError = Base::Error<StoreErrorKind>;

// Items of one page of a listing.
struct ListPage {
    std::vector<PublishedItem> items;
    bool morePages = false;
    // Revision of the store when it answered.
    uint64_t revision = 0;
};

// Changes since a revision.
struct ChangeBatch {
    std::vector<PublishedItem> changes;
    // Revision from which to go on.
    uint64_t revision = 0;
};

// Encodes the calls to the store of published items and decodes its answers.
class StoreProtocol {
public:
    virtual ~StoreProtocol() = default;

    // A page of the items below the prefix whose keys come after `afterKey`.
    virtual Http::HttpRequest listRequest(const std::string& prefix, const std::string& afterKey) const = 0;
    virtual Base::Result<ListPage, StoreError> readList(const Http::HttpResponse&) const = 0;

    // A call that is answered as soon as something below the prefix changes, or after the wait.
    virtual Http::HttpRequest watchRequest(const std::string& prefix, uint64_t afterRevision, std::chrono::milliseconds wait) const = 0;
    virtual Base::Result<ChangeBatch, StoreError> readChanges(const Http::HttpResponse&) const = 0;
};

} // namespace Lavenderloft::Fleet

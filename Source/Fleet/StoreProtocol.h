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
    // The request was rejected without effect and can be retried later.
    Refused,
    // The store no longer has the requested changes. All items must be listed again.
    HistoryLost,
    Malformed,
};

using StoreError = Base::Error<StoreErrorKind>;

// One page of a listing.
struct ListPage {
    std::vector<PublishedItem> items;
    bool morePages = false;
    // Position of the store when it responded.
    StorePosition position;
};

// Changes since a revision.
struct ChangeBatch {
    std::vector<PublishedItem> changes;
    // Position to continue from.
    StorePosition position;
};

// Encodes requests to the store of published items, and decodes its responses.
class StoreProtocol {
public:
    virtual ~StoreProtocol() = default;

    // Requests a page of the items whose keys are greater than `afterKey`. All items are followed, also those of no use to the
    // system: a node knows one position of the store, and has what was published up to it.
    virtual Http::HttpRequest listRequest(const std::string& afterKey) const = 0;
    virtual Base::Result<ListPage, StoreError> readList(const Http::HttpResponse&) const = 0;

    // Long poll: the store responds as soon as any item changes, or after `wait`.
    virtual Http::HttpRequest watchRequest(uint64_t afterRevision, std::chrono::milliseconds wait) const = 0;
    virtual Base::Result<ChangeBatch, StoreError> readChanges(const Http::HttpResponse&) const = 0;
};

} // namespace Lavenderloft::Fleet

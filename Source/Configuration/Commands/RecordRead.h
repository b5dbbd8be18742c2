#pragma once

#include "Base/RandomSource.h"
#include "Configuration/ReadSchedule.h"

namespace Lavenderloft::Configuration::Commands {

enum class ReadOutcome {
    // The service returned a document that is now active.
    NewDocument,
    // The service responded, but returned no document or none that could be activated.
    NoNewDocument,
    // The service did not respond.
    Failed,
};

// Records the events that determine the next call to the configuration service.
class RecordRead {
public:
    RecordRead(ReadSchedule& schedule, Base::RandomSource& random)
        : m_schedule(schedule)
        , m_random(random)
    {
    }

    // The process started or resumed after a pause, and queries `peersAsked` peers for their document.
    void started(Base::TimePoint now, size_t peersAsked);

    // One of the queried peers responded, with or without a document.
    void peerResponded(Base::TimePoint now);

    // The service confirmed the active document at that time, to this process or to a peer.
    void confirmed(Base::TimePoint at);

    void callStarted(Base::TimePoint now);
    void callEnded(Base::TimePoint now, ReadOutcome);

private:
    ReadSchedule& m_schedule;
    Base::RandomSource& m_random;
};

} // namespace Lavenderloft::Configuration::Commands

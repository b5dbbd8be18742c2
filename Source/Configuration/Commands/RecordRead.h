#pragma once

#include "Base/RandomSource.h"
#include "Configuration/ReadSchedule.h"

namespace Lavenderloft::Configuration::Commands {

enum class ReadOutcome {
    // A document came and is now in force.
    NewDocument,
    // The service answered, without a document that could be put in force.
    NoNewDocument,
    // The service did not answer.
    Failed,
};

// Records what decides about the next call to the configuration service.
class RecordRead {
public:
    RecordRead(ReadSchedule& schedule, Base::RandomSource& random)
        : m_schedule(schedule)
        , m_random(random)
    {
    }

    // The process started, or went on after a pause, and asks so many peers for their document.
    void started(Base::TimePoint now, size_t peersAsked);

    // One of these peers answered, with or without a document.
    void peerAnswered(Base::TimePoint now);

    // The service confirmed the document in force at that time, as this process or a peer has seen.
    void confirmed(Base::TimePoint at);

    void callStarted(Base::TimePoint now);
    void callEnded(Base::TimePoint now, ReadOutcome);

private:
    ReadSchedule& m_schedule;
    Base::RandomSource& m_random;
};

} // namespace Lavenderloft::Configuration::Commands

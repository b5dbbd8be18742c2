#include "Staging/MismatchEvidence.h"

#include <criterion/criterion.h>

using namespace Lavenderloft::Staging;
using Source = MismatchEvidence::Source;

// Guards against a manifest that is fetched again for each corrupt piece, or for one that has turned bad at an agent.
Test(MismatchEvidence, differentBytesOrASingleAgentDoNotContradictTheManifest)
{
    MismatchEvidence evidence;
    cr_assert_not(evidence.record(1, "a", Source::Origin, "origin"));
    cr_assert_not(evidence.record(1, "b", Source::Origin, "origin"));
    cr_assert_not(evidence.record(2, "a", Source::Origin, "origin"), "another piece");
    cr_assert_not(evidence.record(3, "c", Source::Agent, "10.0.0.1"));
    cr_assert_not(evidence.record(3, "c", Source::Agent, "10.0.0.1"));
}

// Guards against an agent that asks for a piece for ever because the digest in its manifest is wrong.
Test(MismatchEvidence, theSameBytesTwiceContradictTheManifest)
{
    MismatchEvidence evidence;
    cr_assert_not(evidence.record(1, "a", Source::Origin, "origin"));
    cr_assert_not(evidence.record(1, "b", Source::Origin, "origin"));
    cr_assert(evidence.record(1, "a", Source::Origin, "origin"));
    cr_assert_not(evidence.record(3, "c", Source::Agent, "10.0.0.1"));
    cr_assert(evidence.record(3, "c", Source::Agent, "10.0.0.2"));
    evidence.clear();
    cr_assert_not(evidence.record(1, "a", Source::Origin, "origin"));
}

// Guards against memory that grows as long as a source sends corrupt pieces.
Test(MismatchEvidence, forgetsDigestsOfEndlessCorruption)
{
    MismatchEvidence evidence;
    for (unsigned i = 0; i < 1000; ++i)
        cr_assert_not(evidence.record(1, std::to_string(i), Source::Origin, "origin"));
    cr_assert_not(evidence.record(1, "0", Source::Origin, "origin"), "forgotten");
}

#include "Proxy/EventSplitter.h"

#include <criterion/criterion.h>

using namespace Lavenderloft::Proxy;

// Guards against a part of an event that reaches the caller before its target breaks off.
Test(EventSplitter, passesOnWholeEventsOnly)
{
    EventSplitter splitter;
    cr_assert_eq(splitter.take("id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
    cr_assert(splitter.lastEventId() == 1);
    cr_assert_eq(splitter.take("ta: b\n\n"), "id: 2\ndata: b\n\n");
    cr_assert(splitter.lastEventId() == 2);
    cr_assert(splitter.remainder().empty());
}

// Guards against bytes of a whole answer that are lost because it does not end with a blank line.
Test(EventSplitter, keepsWhatFollowsTheLastEvent)
{
    EventSplitter splitter;
    splitter.take("id: 1\n\n: end");
    cr_assert_eq(splitter.remainder(), ": end");
}

// Guards against events that reach a caller twice when its stream goes on at another target.
Test(EventSplitter, leavesOutEventsThatTheCallerHas)
{
    EventSplitter splitter;
    splitter.take("id: 1\n\nid: 2\n\nid: 3\nda");
    splitter.reset();
    splitter.skipThrough(splitter.lastEventId());
    cr_assert_eq(splitter.take("id: 2\n\nid: 3\n\n"), "id: 3\n\n");
    cr_assert(splitter.lastEventId() == 3);
}

// Guards against streams with carriage returns, of which no event would ever be whole.
Test(EventSplitter, knowsBothLineEnds)
{
    EventSplitter splitter;
    cr_assert_eq(splitter.take("id: 7\r\ndata: a\r\n\r\nid"), "id: 7\r\ndata: a\r\n\r\n");
    cr_assert(splitter.lastEventId() == 7);
}

// Guards against an id that is read from the data of an event.
Test(EventSplitter, readsTheIdFieldOnly)
{
    cr_assert_not(eventIdOf("data: id: 9\n\n").has_value());
    cr_assert_not(eventIdOf("id: nine\n\n").has_value());
    cr_assert(eventIdOf("data: x\nid:12\n\n") == 12);
}

"""What may follow what in an engine's stream of events."""

import pytest
from onenode import END, EVENT

from lifthead.engines.event_order import MAY_FOLLOW, EventOrder, OrderError, StreamPart
from lifthead.http1 import HttpError
from lifthead.interface import LoadReport
from lifthead.node.engines import EventStream

COMMENT, DONE = b": Endpoint-Load-Metrics: TEXT queue=3\n\n", b"data: [DONE]\n\n"


def test_every_pair_is_allowed_or_an_error_as_the_table_says():
    for first, allowed in MAY_FOLLOW.items():
        for second in StreamPart:
            order = EventOrder()
            order.last, order._may_follow = first, allowed
            if second in allowed:
                order.add(second)
            else:
                with pytest.raises(OrderError):
                    order.add(second)


@pytest.mark.parametrize("size", [1, 7, 1000])
@pytest.mark.parametrize("behind", [EVENT, DONE, COMMENT + DONE, EVENT[:20], b"d", b"\n\n\nd"])
def test_no_event_may_follow_the_end_mark(behind, size):
    """Events behind the end mark were passed on, and each of them started the clock of silence anew."""
    stream, sound = EventStream(), EVENT + END
    data, passed = sound + behind, b""
    with pytest.raises(HttpError):
        for at in range(0, len(data), size):
            passed += stream.feed(data[at : at + size])
    passed += stream.sound_before_error
    assert passed.startswith(sound) and passed.rstrip(b"\n").endswith((b"[DONE]", COMMENT.strip()))


@pytest.mark.parametrize(
    "behind",
    [b"", COMMENT, b"\n\n", b"\n" + COMMENT + b"\n", COMMENT * 3, COMMENT[:-1], COMMENT + COMMENT[:-2]],
)
def test_comments_may_follow_the_end_mark_and_the_last_chunk_then_completes_the_stream(behind):
    stream = EventStream()
    assert stream.feed(EVENT + END + behind) + stream.finish() == EVENT + END + behind
    assert stream.report == (LoadReport(queued=3) if behind.strip() else None)


@pytest.mark.parametrize(
    "data", [b"", COMMENT, DONE, EVENT, EVENT + END[:30], EVENT + END[:-1], EVENT + COMMENT]
)
def test_a_stream_without_its_end_mark_is_not_complete(data):
    stream = EventStream()
    with pytest.raises(HttpError):
        stream.feed(data)
        stream.finish()

import asyncio
import copy
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import time

import pytest
from onenode import (
    CLOSE,
    END,
    EVENT,
    HANG,
    HAS_READ,
    HEAD,
    SETTINGS,
    STREAM,
    TURNED_AWAY,
    Client,
    Engine,
    ask,
    chat,
    chunk,
    config,
    news,
    played,
    target,
)  # fmt: skip

from lifthead.engines.codec import Observation
from lifthead.engines.link import MIN_IDLE, ConnectionPool, IdleLimit
from lifthead.hosting import now, wall_ahead
from lifthead.http1 import AnswerParser, HttpError, Message, ReqParser
from lifthead.interface import Effect, Ending, LoadReport
from lifthead.node import clients, engines, host, start
from lifthead.node.discovery import Follower, Gathering, StrangeNewsError, news_of
from lifthead.node.serve import read_again
from lifthead.starts import StartTimes
from lifthead.terms import deployment_of, flat

SPOILT = {
    "noise": b"\x00\x17noise\r\n\r\n" * 9,
    "endless head": b"HTTP/1.1 200 OK\r\nx: " + b"y" * 40_000,
    "change of protocol": b"HTTP/1.1 101 Switching\r\n\r\n",
    "noise in a chunk": HEAD + chunk(b"\x00noise\n\n"),
    "chunk size": HEAD + b"zz\r\n" + EVENT,
    "chunk that does not fit": HEAD + b"9\r\n" + EVENT,
    "huge chunk": HEAD + b"C0000000\r\n" + b"x" * 400_000,
    "no event at all": HEAD + b"0\r\n\r\n",
}


# The configuration.


def test_the_settings_mean_the_same_from_both_sources():
    env = {
        "Zone": "a", "Flavors": "P,D", "FamilyInfo.RoleByKind": "read,write", "FamilyInfo.KvTokens": "9,8",
        "FamilyInfo.LocalRead": "true", "Grades.count": "1", "Grades.0.Name": "ask",
        "Grades.0.Effect": "safe",
        "Grades.0.Target": "1500000", "FamilyInfo.AimUsPer1000PromptTokens": "40000.0", "ReplicasOfMe": "3",
    }  # fmt: skip
    nested = {
        "Zone": "a", "Flavors": ["P", "D"], "ReplicasOfMe": 3, "New": None, "Tenants": [],
        "FamilyInfo": {
            "RoleByKind": ["read", "write"], "KvTokens": [9, 8], "LocalRead": True,
            "AimUsPer1000PromptTokens": [40000.0],
        },
        "Grades": [{"Name": "ask", "Effect": "safe", "Target": 1500000}],
    }  # fmt: skip
    assert deployment_of(flat(nested)) == deployment_of(env)


def test_a_configuration_gives_limits_and_the_known_list():
    known = json.loads(news(target("rd", "1.2.3.4:5", boot_ms=0), rev=41))
    told = start.start_of(json.dumps(config(known=known, limits={"sockets": 256})).encode())
    assert (told.known.version, told.known.entries[0][1]) == (41, "1.2.3.4:5")
    assert told.clients + told.engines + start.OWN == 256 and told.clients > 256 / 3
    assert told.deployment.seed == 11 and told.deployment.groups["pay"].effect is Effect.NON_REPLAYABLE


@pytest.mark.parametrize(
    "data",
    [b"", b"{", b"[]", b'{"name":"n"}', json.dumps(config(listen="nowhere")).encode(),
     json.dumps(config(seed="xyz")).encode(), json.dumps(config(known={"rev": 1})).encode(),
     json.dumps(config(settings={"Grades": [{}]})).encode()],
)  # fmt: skip
def test_a_configuration_that_cannot_be_used_is_refused(data):
    with pytest.raises(start.StartError):
        start.start_of(data)


@pytest.mark.parametrize(
    ("place", "name", "value"),
    [
        ("FamilyInfo", "RoleByKind", ["read", "sing"]),
        ("FamilyInfo", "RoleByKind", ["read"]),
        ("", "MembershipMode", "shouted"),
        ("LoadInfo", "Via", "dream"),
        ("Rules", "ColdShare", "much"),
        ("", "Grades", []),
        ("Grades", "Effect", "perhaps"),
        ("Grades", "Group", "street"),
    ],
)
def test_a_setting_that_cannot_be_used_is_named_in_one_line(tmp_path, place, name, value):
    settings = copy.deepcopy(SETTINGS)
    where = settings[place][0] if place == "Grades" else settings[place] if place else settings
    where[name] = value
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config(settings=settings)))
    with pytest.raises(start.StartError, match=name) as told:
        start.read(path)
    assert "\n" not in str(told.value)


# The codecs.


def message(data):
    parser = ReqParser(clients.HEAD_BYTES, clients.BODY_BYTES)
    parser.feed(data)
    return parser.ready.popleft()


GROUPS = deployment_of(flat(SETTINGS)).groups


def test_a_message_becomes_a_demand():
    props = "prefix=5c0f,prompt_len=512,prefix_len=128,max_out=80"
    sent = chat(600, X_Props=props, X_Second_Try="again", waits="4800")
    demand = clients.demand_of(message(sent), 7, GROUPS)
    assert (demand.id, demand.group, demand.budget, demand.prompt, demand.max_out) == (
        7,
        "ask",
        4_800_000,
        512,
        80,
    )
    assert (demand.beginning, demand.beginning_len, demand.session, demand.again) == ("5c0f", 128, "s1", True)


@pytest.mark.parametrize(
    ("how", "status"),
    [
        ({"trace": None}, 400), ({"trace": "a b"}, 400), ({"trace": "x" * 65}, 400), ({"trace": "a,a"}, 400),
        ({"group": "none"}, 400), ({"group": None}, 400),
        ({"waits": None}, 400), ({"waits": "soon"}, 400), ({"waits": "-5"}, 400), ({"waits": "0"}, 400),
        ({"waits": "1e3"}, 400), ({"waits": "9" * 30}, 400), ({"waits": "²"}, 400),
        ({"X_Props": "prompt_len=-4"}, 400), ({"X_Props": "prompt_len=x"}, 400),
        ({"X_Props": "prompt_len=999999"}, 400),
        ({"body": b""}, 400), ({"body": b"{"}, 400), ({"body": b'{"model":"m"}'}, 400),
        ({"body": b"\xff"}, 400),
        ({"body": b"[" * 20_000}, 400),
        ({"path": "/v1/other"}, 404),
    ],
)  # fmt: skip
def test_what_is_no_demand_is_answered_with_4xx(how, status):
    with pytest.raises(HttpError) as caught:
        clients.demand_of(message(chat(**how)), 1, GROUPS)
    assert caught.value.status == status


def test_a_forward_passes_the_message_on():
    came = message(chat(50, trace="t9", path=clients.PATH + "?a=1"))
    went = message(engines.forward(came, 1_500_000))
    assert (went.method, went.path, went.body) == (came.method, came.path, came.body)
    assert (went.headers["x-trace-id"], went.headers["x-expires-in-ms"]) == ("t9", "1500")


def test_a_forward_passes_on_what_it_does_not_know_but_nothing_of_its_connection():
    """An idempotency key that stayed behind: its engine could not tell a repeat from a new request."""
    sent = {"Idempotency_Key": "k-1", "X_Customer": "t", "X_Anything": "a, b", "Connection": "close, X-Hop"}
    came = message(chat(50, X_Hop="1", TE="trailers", Keep_Alive="5", **sent))
    went = message(engines.forward(came, 1_500_000)).headers
    assert (went["idempotency-key"], went["x-customer"], went["x-anything"]) == ("k-1", "t", "a, b")
    assert not {"connection", "x-hop", "te", "keep-alive"} & set(went) and went["host"] == "backend.local"


@pytest.mark.parametrize(
    ("status", "mark", "ending"),
    [(202, "", (Ending.READ, 0)), (500, "", (Ending.ERROR, 0)), (503, "1", (Ending.BUSY, 0)),
     (504, "1", (Ending.BUSY, 0)), (503, "", (Ending.ERROR, 0)), (410, "1", (Ending.BUSY, 1)),
     (400, "", (Ending.ERROR, 0)), (302, "", (Ending.ERROR, 0))],
)  # fmt: skip
def test_what_an_answer_says_of_its_forward(status, mark, ending):
    observation = engines.observation_of(Message(status=status, headers={"x-never-ran": mark}))
    assert engines.ENDINGS[observation] == ending


def test_every_sight_has_an_ending_and_few_prove_that_nothing_ran():
    not_run = {Ending.UNREACHABLE, Ending.NOT_SENT, Ending.BUSY}
    proofs = {observation for observation, (ending, _) in engines.ENDINGS.items() if ending in not_run}
    assert set(engines.ENDINGS) == set(Observation)
    assert proofs == {
        Observation.NO_CONNECTION,
        Observation.STALE,
        Observation.TURNED_AWAY,
        Observation.STATE_GONE,
    }


@pytest.mark.parametrize(
    ("text", "report"),
    [
        ("TEXT inflight=7, queue=2, x0=0.61, x1=1.5", LoadReport(7, 2, None, 0.61, 1.5)),
        ("TEXT inflight=7, queue=nan, util=-1", LoadReport(7)),
        ("TEXT \x00\x17", None), ("", None), ("TEXT inflight", None), ("TEXT other=4", None),
    ],
)  # fmt: skip
def test_load_reports(text, report):
    assert engines.report_of(text) == report


def test_events_pass_whole_and_unchanged_whatever_the_borders():
    stream = EVENT + b": Endpoint-Load-Metrics: TEXT queue=3\n\n" + EVENT + END
    for size in (1, 7, 50, len(stream)):
        events = engines.Events()
        parts = [events.feed(stream[at : at + size]) for at in range(0, len(stream), size)]
        assert b"".join(parts) == stream and events.whole and events.kept == 7
        assert all(not part or part.endswith(b"\n\n") for part in parts)
        assert events.report == LoadReport(queued=3)


@pytest.mark.parametrize(
    "data", [b"noise\n\n", b"data: {\n\n", b'data: {"x":1}\n\n', b"data: \xff\n\n", b"x" * 300_000]
)
def test_what_is_no_event_does_not_pass(data):
    events = engines.Events()
    assert events.feed(EVENT[:20]) == b""
    with pytest.raises(HttpError):
        events.feed(EVENT[20:] + data)


def test_an_answer_behind_announcements_is_read_and_one_behind_it_is_surplus():
    parser = AnswerParser()
    parser.feed(b"HTTP/1.1 103 Early\r\nx-never-ran: 1\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + HAS_READ)
    assert (parser.head.status, parser.complete, parser.surplus) == (202, True, False)
    assert "x-never-ran" not in parser.head.headers
    parser.feed(b"HTTP/1.1 500 Oh\r\ncontent-length: 2\r\n\r\nhi")
    assert parser.surplus and parser.head.status == 202 and parser.body() == b'{"cached_tokens": 5}'


def test_announcements_without_end_are_no_answer():
    with pytest.raises(HttpError):
        AnswerParser().feed(b"HTTP/1.1 102 Processing\r\n\r\n" * 20)


@pytest.mark.parametrize("line", [b"{", b"[]", b'{"rev": 1}', b'{"rev": 1, "all": true, "targets": {}}'])
def test_an_object_that_is_no_list_is_strange(line):
    with pytest.raises(StrangeNewsError):
        news_of(line)


@pytest.mark.parametrize(
    ("odd", "read_as"),
    [
        (target("e", "a:1", "booting"), ("e", "draining", "a:1")),
        (target("e", "nowhere"), ("e", "draining", "")),
        (target("e", "", "gone"), ("e", "gone", "")),
        (target("e", "a:1", capacity_hint=-2), ("e", "ready", "a:1")),
        (target("e", "a:1", boot_ms=-1), ("e", "ready", "a:1")),
        (target("e", "a:1", boot_ms=1e300), ("e", "ready", "a:1")),
        (target("e", "a:1", pod_group="x"), None),
        ({"uid": 7}, None),
        ("e", None),
    ],
)
def test_an_odd_entry_costs_only_itself(odd, read_as):
    found = news_of(news(target("rd", "a:2"), odd, target("wr", "a:3"))).entries
    told = [(entry.engine, entry.readiness, address) for entry, address in found]
    assert told == [("rd", "ready", "a:2"), *([read_as] if read_as else []), ("wr", "ready", "a:3")]
    assert all(entry.weight >= 0 and entry.up_since == 0 for entry, _ in found)


def test_an_entry_without_an_address_tells_only_of_an_engine_in_hand():
    async def play(node):
        node.tell(target("wr", "", "draining"), target("wr2", "", "gone"), target("wr3", "x"))
        peers = {name: (peer.readiness, peer.link.address) for name, peer in node.host.endpoints.items()}
        async with Client(node.address) as client:
            await client.send(chat(100))
            return peers, (await client.answer())[0], set(node.host.router.engines)

    peers, status, known = played(play, wr=Engine())
    assert peers["wr"][0] == "draining" and set(peers) == known == {"wr"} and status == 503


def test_a_state_at_an_engine_that_is_back_as_a_reader_is_released():
    async def play(node):
        back = (target(uid, node.listed[uid], model=kind) for uid, kind in (("rd", "D"), ("wr", "P")))
        node.tell(*back)
        async with Client(node.address) as client:
            await client.send(chat(5000))
            await node.until(lambda: wr.of("POST"))
        await node.until(lambda: wr.of("DELETE"))  # the client left

    wr = Engine([HANG])
    played(play, rd=Engine(), wr=wr)
    assert len(wr.of("DELETE")) == 1


def whole_list(indent):
    return json.dumps(json.loads(news(target("rd", "a:1"), target("wr", "a:2"))), indent=indent).encode()


@pytest.mark.parametrize(
    "text",
    [whole_list(None), whole_list(0), whole_list(2), whole_list(2).replace(b"\n", b"\r\n"),
     b'{"rev": 1, "all": true, "targets": [\n  ' + whole_list(None).partition(b"[")[2]],
)  # fmt: skip
def test_an_object_may_be_indented_over_several_lines(text):
    gathering = Gathering()
    found = [gathering.take(line) for line in (b"", *text.split(b"\n"), b"", *text.split(b"\n"), b"")]
    assert [[e.engine for e, _ in news.entries] for news in found if news] == [["rd", "wr"]] * 2


@pytest.mark.parametrize(
    "lines", [[b"hello}"], [b"{", b""], [b'{"rev":1,', b"}}"], [b"{}"], [b"x" * 3000] * 2000]
)
def test_lines_that_become_no_object_are_told_at_once(lines):
    gathering = Gathering()
    with pytest.raises(StrangeNewsError):
        for line in lines:
            gathering.take(line)


def test_a_start_is_told_on_this_machines_clock():
    at = time.time_ns() // 1_000_000
    entry, _ = news_of(news(target("e", "a:1", boot_ms=at), target("f", "a:1"))).entries[0]
    starts = StartTimes(wall_ahead())
    up_since = starts.up_since("e", entry.up_since, now(), wall_ahead())
    assert abs(up_since - time.monotonic_ns() // 1000) < 1_000_000


# Connections to engines.


def test_a_connection_with_bytes_that_nobody_asked_for_is_not_used_again():
    async def play(script):
        engine = Engine(script)
        server = await asyncio.start_server(engine.connection, "127.0.0.1", 0)
        link = ConnectionPool("{}:{}".format(*server.sockets[0].getsockname()), 1.0)
        for _ in range(2):
            assert (await link.exchange(engines.PROBE, 1.0))[0].status == 202
            await asyncio.sleep(0.05)
        link.close()
        server.close()
        return engine.connections

    assert asyncio.run(play([HAS_READ])) == 1
    assert asyncio.run(play([HAS_READ + HAS_READ])) == 2
    assert asyncio.run(play([HAS_READ, 0.01, HAS_READ])) == 2


def test_connections_that_wait_unused_are_swept_once_their_end_has_closed():
    async def play():
        server = await asyncio.start_server(Engine([HAS_READ, CLOSE]).connection, "127.0.0.1", 0)
        link = ConnectionPool("{}:{}".format(*server.sockets[0].getsockname()), 1.0)
        await link.exchange(engines.PROBE, 1.0)
        await asyncio.sleep(0.05)
        link.close_expired()
        server.close()
        return link.idle_count

    assert asyncio.run(play()) == 0


def test_trust_in_kept_connections_halves_with_a_reset_and_grows_back():
    lasting = IdleLimit(8.0)
    assert lasting.current(1000.0) == 8.0
    lasting.shorten(0.4, 1000.0)
    assert lasting.current(1000.0) == 0.2
    lasting.shorten(5.0, 1000.0)  # one that was taken before
    assert lasting.current(1000.0) == 0.2
    assert lasting.current(1010.0) == pytest.approx(0.4) and lasting.current(2000.0) == 8.0


def test_a_kept_connection_that_is_reset_at_the_next_req_costs_trust_and_no_req():
    class Forgetful(Engine):
        """Drops each connection when a second req comes on it."""

        async def connection(self, reader, writer):
            self.connections += 1
            await self._one(reader, writer)
            head = await reader.read(1000)
            self.dropped += head != b""
            writer.close()

        dropped = 0

    async def play(node):
        for n in range(6):
            assert (await ask(node.address, chat(100, trace=f"t{n}")))[0] == 200
            await asyncio.sleep(0.1)

    one, two = Forgetful(), Forgetful()
    played(play, wr1=one, wr2=two)
    assert one.dropped + two.dropped == 1 and len(one.came + two.came) == 6


def test_a_connection_that_is_reset_as_it_opens_costs_no_forward():
    class Rude(Engine):
        async def connection(self, reader, writer):
            if self.connections < 2:
                self.connections += 1
                linger = struct.pack("ii", 1, 0)
                writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                return writer.transport.abort()
            return await super().connection(reader, writer)

    async def play(node):
        link = node.host.endpoints["wr"].link
        take = link.acquire

        async def late(fresh):
            connection = await take(fresh)
            await asyncio.sleep(0.05)  # so that the reset is there before anything is written
            return connection

        link.acquire = late
        return (await ask(node.address, chat(100, group="pay")))[0], node.host.router.engines["wr"].failures

    wr = Rude()
    assert played(play, wr=wr) == (200, 0) and len(wr.came) == 1


def test_a_reset_after_the_whole_req_was_taken_may_have_run():
    class Abrupt(Engine):
        async def connection(self, reader, writer):
            self.scripts = [[]]
            await self._one(reader, writer)
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

    async def play(node):
        return [(await ask(node.address, chat(100, group="pay", trace=f"t{n}")))[0] for n in range(5)]

    one, two = Abrupt(), Abrupt()
    assert 503 not in played(play, wr1=one, wr2=two)[:2]
    ids = [fields["x-trace-id"] for _, fields in one.came + two.came]
    assert ids and len(ids) == len(set(ids))


def test_a_non_replayable_req_goes_to_its_writer_on_a_fresh_connection():
    async def play(node):
        for n in range(3):
            assert (await ask(node.address, chat(5000, group="pay", trace=f"t{n}")))[0] == 200
            await asyncio.sleep(1.2 * MIN_IDLE)  # a second answer may come late: a connection rests before
        return rd.connections, wr.connections

    rd, wr = Engine([HAS_READ]), Engine()
    assert played(play, rd=rd, wr=wr) == (1, 3)


# Discovery.


class Discovery:
    """Answers each watch with the next of these texts, the last one again and again; then says nothing."""

    def __init__(self, *texts):
        self.texts, self.asked = texts, []

    async def serve(self, reader, writer):
        path = (await reader.readuntil(b"\r\n\r\n")).split(b" ")[1].decode()
        text = self.texts[min(len(self.asked), len(self.texts) - 1)]
        self.asked.append(path.rpartition("=")[2])
        writer.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
        writer.write(chunk(b"\n") + chunk(text + b"\n"))
        await reader.read()
        writer.close()


def followed(*discoveries, until):
    """What a follower hears, turned from each discovery to the next as soon as it has heard from one."""

    async def play():
        servers = [await asyncio.start_server(each.serve, "127.0.0.1", 0) for each in discoveries]
        addresses = [server.sockets[0].getsockname() for server in servers]
        heard = []
        follower = Follower(addresses[0], 41, lambda news: heard.append(news.version))
        task = asyncio.create_task(follower.follow())
        async with asyncio.timeout(5):
            for at, address in enumerate(addresses):
                follower.turn_to(address)
                while heard != until[: at + 1]:
                    await asyncio.sleep(0.01)
        task.cancel()
        for server in servers:
            server.close()

    asyncio.run(play())


def test_a_watch_goes_on_elsewhere_from_the_version_in_hand():
    old, new = (Discovery(news(target("rd", "a:1"), rev=rev)) for rev in (43, 50))
    followed(old, new, until=[43, 50])
    assert old.asked + new.asked == ["41", "43"]


@pytest.mark.parametrize("odd", [b"no news}", b'{"rev": "x", "all": true, "targets": []}'])
def test_news_that_stay_odd_are_asked_for_as_the_whole_list(odd):
    discovery = Discovery(odd, odd, news(target("rd", "a:1"), rev=44))
    followed(discovery, until=[44])
    assert discovery.asked == ["41", "41", "0"]


# The host.


def test_a_short_prompt_is_read_where_it_is_written_and_its_stream_passes_unchanged():
    wr, rd = Engine(), Engine([HAS_READ])
    status, _, body, whole = played(lambda node: ask(node.address, chat(100, trace="t1")), wr=wr, rd=rd)
    assert (status, body, whole) == (200, EVENT + EVENT + END, True)
    assert not rd.came and wr.came[0][1]["x-trace-id"] == "t1"


def test_a_long_prompt_is_read_at_a_reader_and_nothing_is_released_after_it():
    wr, rd = Engine(), Engine([HAS_READ])
    status, _, _, whole = played(lambda node: ask(node.address, chat(5000)), wr=wr, rd=rd)
    assert (status, whole) == (200, True)
    assert (len(rd.of("POST")), len(wr.of("POST")), rd.of("DELETE") + wr.of("DELETE")) == (1, 1, [])


@pytest.mark.parametrize("what", SPOILT)
def test_a_spoilt_opening_may_have_run(what):
    """Replayable goes elsewhere; non-replayable is aborted at once, and never pushed back."""

    async def play(node):
        first = await ask(node.address, chat(100, group="pay", trace="p1"))
        return first, await ask(node.address, chat(100, group="ask", trace="p2"))

    one, two = Engine([SPOILT[what]], [STREAM]), Engine([SPOILT[what]], [STREAM])
    (status, *_), (later, _, body, whole) = played(play, wr1=one, wr2=two)
    assert status == 504 and (later, body, whole) == (200, EVENT + EVENT + END, True)
    assert [fields["x-trace-id"] for _, fields in one.came + two.came].count("p1") == 1


@pytest.mark.parametrize("after", [[CLOSE], [b"zz\r\nnoise"], [chunk(b"noise\n\n")], [HANG]])
def test_a_stream_that_breaks_ends_without_a_last_chunk(after):
    wr = Engine([HEAD + chunk(EVENT), 0.05, *after])
    status, _, body, whole = played(lambda node: ask(node.address, chat(100)), wr=wr)
    assert (status, body, whole) == (200, EVENT, False)


def test_a_client_that_leaves_takes_its_forward_along_and_what_is_held():
    async def play(node):
        async with Client(node.address) as client:
            await client.send(chat(5000))
            await node.until(lambda: rd.of("POST"))
        await node.until(lambda: rd.left and rd.of("DELETE") and not node.host.pending_requests)

    rd = Engine([HANG])
    played(play, rd=rd, wr=Engine())
    assert rd.of("DELETE") == ["DELETE /bootstrap/rooms/a1 HTTP/1.1"]


def test_a_release_goes_by_way_of_another_engine_where_its_holder_is_gone():
    async def play(node):
        async with Client(node.address) as client:
            await client.send(chat(5000))
            await node.until(lambda: rd.of("POST"))
            node.servers[list(node.engines).index("rd")].close()
        await node.until(lambda: wr.of("DELETE"))

    rd, wr = Engine([HANG]), Engine()
    played(play, rd=rd, wr=wr)
    assert wr.of("DELETE") == ["DELETE /bootstrap/rooms/a1 HTTP/1.1"]


def test_a_release_finds_a_zone_that_answers_though_another_was_heard_of_last():
    async def play(node):
        node.tell(*(target(uid, at, az="a" if uid == "wr0" else "b") for uid, at in node.listed.items()))
        for name in ("rd", "wr1", "wr2", "wr3"):
            node.host.endpoints[name].heard_at = 1 << 60  # of zone b, which is cut off from here on
        async with Client(node.address) as client:
            await client.send(chat(5000))
            await node.until(lambda: rd.of("POST"))
        began = time.monotonic()
        await node.until(lambda: near.of("DELETE"))
        return time.monotonic() - began

    class Silent(Engine):
        async def connection(self, reader, writer):
            while await reader.read(1000):
                self.came.append(("POST", {}))
            writer.close()

    rd, near = Silent(), Engine()
    assert played(play, rd=rd, wr0=near, wr1=Silent(), wr2=Silent(), wr3=Silent()) < 2.5 * host.RELEASE_WITHIN


def test_an_answer_goes_out_by_the_clients_time():
    began = time.monotonic()
    status, *_ = played(lambda node: ask(node.address, chat(100, waits="300")), wr=Engine([HANG]))
    assert status == 504 and 0.25 < time.monotonic() - began < 0.45


def test_what_is_turned_away_everywhere_is_pushed_back_at_once_and_told_when_to_come_back():
    wr = Engine([TURNED_AWAY])
    began = time.monotonic()
    status, fields, *_ = played(lambda node: ask(node.address, chat(100, group="pay")), wr=wr)
    assert status == 503 and 0 < float(fields["retry-after"]) <= 2.0 and time.monotonic() - began < 0.5


def test_no_connection_is_proven_not_run():
    async def play(node):
        node.servers[list(node.engines).index("wr1")].close()
        await asyncio.sleep(0.05)
        return [(await ask(node.address, chat(100, group="pay", trace=f"t{n}")))[0] for n in range(4)]

    assert played(play, wr1=Engine(), wr2=Engine()) == [200] * 4


def test_an_id_that_is_open_is_not_taken_twice():
    async def play(node):
        async with Client(node.address) as first:
            await first.send(chat(100, trace="t1"))
            await node.until(lambda: wr.came)
            status, *_ = await ask(node.address, chat(100, trace="t1"))
            return status, (await first.answer())[0]

    wr = Engine([0.2, STREAM])
    assert played(play, wr=wr) == (409, 200) and len(wr.came) == 1


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"POST / HT",
        b"POST / HTTP/1.1\r\nx: " + b"y" * 60_000,
        chat(Content_Length="-5"),
        chat(Content_Length="99999999999999999999999"),
        chat(Content_Length="60000000"),
        chat(Content_Length="900000"),
        chat(Transfer_Encoding="chunked"),
        chat(Transfer_Encoding="chunked", Content_Length=None, body=b"ffffff\r\n" + b"x" * 300_000),
        chat()[:-50],
        chat(waits="soon"),
        b"\x16\x03\x01" * 30,
    ],
)
def test_what_cannot_be_read_gets_an_error_or_a_close_soon(data):
    async def play(node):
        async with Client(node.address) as client:
            await client.send(data)
            assert await client.closed(within=2.0)
        assert (await ask(node.address, chat(100)))[0] == 200

    wr = Engine()
    played(play, wr=wr)
    assert len(wr.came) == 1


def test_silent_connections_give_way_to_clients():
    async def play(node):
        accepting = asyncio.create_task(node.door.accept(listening, node._group))
        silent = [Client(address) for _ in range(30)]
        for client in silent:
            await client.__aenter__()
        began = time.monotonic()
        status, *_ = await ask(address, chat(100))
        took = time.monotonic() - began
        assert node.door.connections <= 8
        for client in silent:
            await client.__aexit__()
        accepting.cancel()
        return status, took

    from lifthead.node.serve import listener

    listening = listener(("127.0.0.1", 0))
    address = "{}:{}".format(*listening.getsockname())
    status, took = played(play, wr=Engine(), connections=8, first_within=30.0)
    listening.close()
    assert status == 200 and took < 1.5


def test_a_slow_client_stops_the_reading_of_its_engine_and_gets_all():
    events = EVENT * 20_000
    wr = Engine([HEAD] + [chunk(EVENT * 500)] * 40 + [chunk(END) + b"0\r\n\r\n"])

    async def play(node):
        async with Client(node.address) as client:
            await client.send(chat(100))
            await asyncio.sleep(0.3)
            return await client.answer()

    assert played(play, wr=wr)[2:] == (events + END, True)


def test_engines_that_are_gone_are_forgotten(monkeypatch):
    monkeypatch.setattr(host, "GONE_FOR", 100_000)
    monkeypatch.setattr(host, "SWEEP_EVERY", 0.02)

    async def play(node):
        sweeping = asyncio.create_task(node.host.look_after_links())
        async with Client(node.address) as client:
            await client.send(chat(100))
            await node.until(lambda: wr.came)
            node.tell(target("wr", node.listed["wr"], "gone"), target("wr2", "127.0.0.1:1", "gone"))
            await node.until(lambda: set(node.host.endpoints) == {"wr"})
            assert (await client.answer())[3]
        await node.until(lambda: not node.host.endpoints)
        sweeping.cancel()

    wr = Engine([0.4, STREAM])
    played(play, wr=wr)


def test_connections_to_engines_stay_within_their_part_of_the_descriptors():
    async def play(node):
        most = node.host.most_connections
        for n in range(3 * most):
            link = node.host.endpoints[f"wr{n % 4}"].link
            connection = await link.acquire(fresh=True)
            await connection.send(engines.PROBE)
            await connection.read_whole_body()
            link.put_back(connection)
            if n % 10 == 0:
                node.host._make_room()
        await asyncio.gather(*(node.host._ask(f"wr{n % 4}", engines.PROBE, 2.0) for n in range(20)))
        return most, sum(peer.link.idle_count for peer in node.host.endpoints.values())

    most, idle = played(play, **{f"wr{n}": Engine([HAS_READ]) for n in range(4)}, sockets=100)
    assert idle <= most


def test_room_among_engines_connections_is_made_without_a_look_at_each_engine():
    async def play(node):
        for n in (2, 0, 3, 1):
            connection = await (link := node.host.endpoints[f"wr{n}"].link).acquire(fresh=True)
            await connection.send(engines.PROBE)
            await connection.read_whole_body()
            link.put_back(connection)
        node.host.most_connections, node.host.endpoints = 2, None  # the engines are not looked at
        node.host._make_room()
        node.host.endpoints = {}
        return [link.address for link in node.host._unused.values()], node.listed

    left, listed = played(play, **{f"wr{n}": Engine([HAS_READ]) for n in range(4)})
    assert left == [listed["wr3"], listed["wr1"]]  # the ones that waited longest went


# The program.


def test_a_new_configuration_changes_discovery_and_descriptors(tmp_path):
    async def play(node):
        again, follower = asyncio.Event(), Follower(("127.0.0.1", 1), 0, node.host.on_news)
        path = tmp_path / "config.json"
        task = asyncio.create_task(read_again(path, again, follower, node.door, node.host))
        for text in ("{", json.dumps(config(discovery="127.0.0.1:2", limits={"sockets": 224}))):
            before = (follower.address, node.host.most_connections)
            path.write_text(text)
            again.set()
            await asyncio.sleep(0.05)
        task.cancel()
        now = (follower.address, node.door.limits.connections, node.host.most_connections)
        return before, now

    before, now = played(play, wr=Engine())
    assert before[0] == ("127.0.0.1", 1) and now == (("127.0.0.1", 2), 90, 110)


def test_the_program_serves_reads_its_configuration_anew_and_stops_without_losing_a_req(tmp_path):
    async def play():
        wr = Engine([0.6, STREAM])
        server = await asyncio.start_server(wr.connection, "127.0.0.1", 0)
        at = "{}:{}".format(*server.sockets[0].getsockname())
        path = tmp_path / "config.json"
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            listen = f"127.0.0.1:{free.getsockname()[1]}"
        told = config(listen=listen, known=json.loads(news(target("wr", at))))
        path.write_text(json.dumps(told))
        process = subprocess.Popen(
            [sys.executable, "-B", "-m", "lifthead.node"], env={**os.environ, "NODE_CONFIG": str(path)}
        )
        try:
            async with asyncio.timeout(15):
                while True:
                    try:
                        if (await ask(listen, b"GET /ready HTTP/1.1\r\nhost: x\r\n\r\n"))[0] == 200:
                            break  # at once where discovery answers, and here it does not
                    except OSError:
                        pass
                    await asyncio.sleep(0.05)
                path.write_text("{")
                process.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.1)
                path.write_text(json.dumps(told))
                process.send_signal(signal.SIGHUP)
                async with Client(listen) as client:
                    await client.send(chat(100))
                    await asyncio.sleep(0.2)
                    process.send_signal(signal.SIGTERM)
                    late, early = await ask(listen, chat(100, trace="late")), await client.answer()
                while process.poll() is None:
                    await asyncio.sleep(0.05)
        finally:
            process.kill()
            server.close()
        return early[0], early[3], late[0], late[3], process.returncode

    assert asyncio.run(play()) == (200, True, 200, True, 0)


def test_a_start_does_not_load_what_nobody_speaks():
    """A fleet starts hundreds of routers at once: at full size one got no turn for 20 s at its start."""
    loaded = "import sys, lifthead.node.__main__; print(sys.modules['ssl'], sys.modules.get('_ssl'))"
    said = subprocess.run([sys.executable, "-B", "-c", loaded], capture_output=True, text=True)
    assert said.stdout.split() == ["None", "None"], said.stderr

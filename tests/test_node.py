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
    HEAD,
    PREFILLED,
    REFUSED_NOT_RUN,
    SETTINGS,
    STREAM,
    Client,
    Engine,
    chat,
    config,
    encode_chunk,
    exchange,
    list_update,
    run_with_node,
    target,
)

from lifthead.engines.codec import Observation
from lifthead.engines.link import MIN_IDLE, ConnectionPool, IdleLimit
from lifthead.hosting import now, wall_clock_offset
from lifthead.http1 import AnswerParser, HttpError, Message, RequestParser
from lifthead.instance_settings import flatten, parse_deployment
from lifthead.interface import AttemptOutcome, Idempotency, LoadReport
from lifthead.node import clients, engines, host, start
from lifthead.node.discovery import MalformedUpdateError, UpdateAssembler, Watch, parse_update
from lifthead.node.serve import reload_on_signal
from lifthead.starts import StartTimes

MALFORMED_STARTS = {
    "noise": b"\x00\x17noise\r\n\r\n" * 9,
    "endless head": b"HTTP/1.1 200 OK\r\nx: " + b"y" * 40_000,
    "change of protocol": b"HTTP/1.1 101 Switching\r\n\r\n",
    "noise in a chunk": HEAD + encode_chunk(b"\x00noise\n\n"),
    "chunk size": HEAD + b"zz\r\n" + EVENT,
    "chunk that does not fit": HEAD + b"9\r\n" + EVENT,
    "huge chunk": HEAD + b"C0000000\r\n" + b"x" * 400_000,
    "no event at all": HEAD + b"0\r\n\r\n",
}


# The configuration.


def test_flat_and_nested_settings_give_the_same_deployment():
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
    assert parse_deployment(flatten(nested)) == parse_deployment(env)


def test_a_configuration_gives_connection_limits_and_an_initial_list():
    known = json.loads(list_update(target("rd", "1.2.3.4:5", boot_ms=0), rev=41))
    node_config = start.parse_config(json.dumps(config(known=known, limits={"sockets": 256})).encode())
    assert (node_config.initial_list.version, node_config.initial_list.entries[0][1]) == (41, "1.2.3.4:5")
    assert (
        node_config.max_client_connections + node_config.max_engine_connections + start.RESERVED_DESCRIPTORS
        == 256
        and node_config.max_client_connections > 256 / 3
    )
    assert (
        node_config.deployment.seed == 11
        and node_config.deployment.request_classes["pay"].idempotency is Idempotency.NON_IDEMPOTENT
    )


@pytest.mark.parametrize(
    "data",
    [b"", b"{", b"[]", b'{"name":"n"}', json.dumps(config(listen="nowhere")).encode(),
     json.dumps(config(seed="xyz")).encode(), json.dumps(config(known={"rev": 1})).encode(),
     json.dumps(config(settings={"Grades": [{}]})).encode()],
)  # fmt: skip
def test_an_invalid_configuration_is_refused(data):
    with pytest.raises(start.ConfigError):
        start.parse_config(data)


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
def test_an_invalid_setting_is_named_in_a_one_line_error(tmp_path, place, name, value):
    settings = copy.deepcopy(SETTINGS)
    where = settings[place][0] if place == "Grades" else settings[place] if place else settings
    where[name] = value
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config(settings=settings)))
    with pytest.raises(start.ConfigError, match=name) as raised:
        start.read_config(path)
    assert "\n" not in str(raised.value)


# The codecs.


def parse_message(data):
    parser = RequestParser(clients.MAX_HEAD_BYTES, clients.MAX_BODY_BYTES)
    parser.feed(data)
    return parser.requests.popleft()


GROUPS = parse_deployment(flatten(SETTINGS)).request_classes


def test_a_request_is_parsed():
    props = "prefix=5c0f,prompt_len=512,prefix_len=128,max_out=80"
    sent = chat(600, X_Props=props, X_Second_Try="again", budget_ms="4800")
    spec = clients.parse_request(parse_message(sent), 7, GROUPS)
    assert (
        spec.id,
        spec.request_class,
        spec.budget,
        spec.prompt_tokens,
        spec.max_output_tokens,
    ) == (
        7,
        "ask",
        4_800_000,
        512,
        80,
    )
    assert (spec.prefix_id, spec.prefix_tokens, spec.session, spec.is_retry) == (
        "5c0f",
        128,
        "s1",
        True,
    )


@pytest.mark.parametrize(
    ("changes", "status"),
    [
        ({"trace": None}, 400), ({"trace": "a b"}, 400), ({"trace": "x" * 65}, 400), ({"trace": "a,a"}, 400),
        ({"request_class": "none"}, 400), ({"request_class": None}, 400),
        ({"budget_ms": None}, 400), ({"budget_ms": "soon"}, 400), ({"budget_ms": "-5"}, 400),
        ({"budget_ms": "0"}, 400), ({"budget_ms": "1e3"}, 400), ({"budget_ms": "9" * 30}, 400),
        ({"budget_ms": "²"}, 400),
        ({"X_Props": "prompt_len=-4"}, 400), ({"X_Props": "prompt_len=x"}, 400),
        ({"X_Props": "prompt_len=999999"}, 400),
        ({"body": b""}, 400), ({"body": b"{"}, 400), ({"body": b'{"model":"m"}'}, 400),
        ({"body": b"\xff"}, 400),
        ({"body": b"[" * 20_000}, 400),
        ({"path": "/v1/other"}, 404),
    ],
)  # fmt: skip
def test_a_malformed_request_is_answered_with_4xx(changes, status):
    with pytest.raises(HttpError) as caught:
        clients.parse_request(parse_message(chat(**changes)), 1, GROUPS)
    assert caught.value.status == status


def test_an_attempt_passes_the_message_on():
    incoming = parse_message(chat(50, trace="t9", path=clients.CHAT_PATH + "?a=1"))
    outgoing = parse_message(engines.encode_attempt_head(incoming, 1_500_000) + incoming.body)
    assert (outgoing.method, outgoing.path, outgoing.body) == (incoming.method, incoming.path, incoming.body)
    assert (outgoing.headers["x-trace-id"], outgoing.headers["x-expires-in-ms"]) == ("t9", "1500")


def test_an_attempt_passes_on_unknown_headers_but_no_hop_by_hop_headers():
    """Without its idempotency key, an engine could not tell a repeated request from a new one."""
    sent = {"Idempotency_Key": "k-1", "X_Customer": "t", "X_Anything": "a, b", "Connection": "close, X-Hop"}
    incoming = parse_message(chat(50, X_Hop="1", TE="trailers", Keep_Alive="5", **sent))
    outgoing = parse_message(engines.encode_attempt_head(incoming, 1_500_000) + incoming.body).headers
    assert (outgoing["idempotency-key"], outgoing["x-customer"], outgoing["x-anything"]) == (
        "k-1",
        "t",
        "a, b",
    )
    assert (
        not {"connection", "x-hop", "te", "keep-alive"} & set(outgoing)
        and outgoing["host"] == "backend.local"
    )


@pytest.mark.parametrize(
    ("status", "mark", "outcome"),
    [(202, "", (AttemptOutcome.PREFILLED, 0)), (500, "", (AttemptOutcome.ERROR, 0)),
     (503, "1", (AttemptOutcome.REJECTED, 0)), (504, "1", (AttemptOutcome.REJECTED, 0)),
     (503, "", (AttemptOutcome.ERROR, 0)), (410, "1", (AttemptOutcome.REJECTED, 1)),
     (400, "", (AttemptOutcome.ERROR, 0)), (302, "", (AttemptOutcome.ERROR, 0))],
)  # fmt: skip
def test_the_head_of_an_answer_gives_the_attempts_outcome(status, mark, outcome):
    observation = engines.observation_of(Message(status=status, headers={"x-never-ran": mark}))
    assert engines.OUTCOMES[observation] == outcome


def test_every_observation_has_an_outcome_and_few_prove_that_nothing_ran():
    not_run = {AttemptOutcome.UNREACHABLE, AttemptOutcome.NOT_SENT, AttemptOutcome.REJECTED}
    proofs = {observation for observation, (outcome, _) in engines.OUTCOMES.items() if outcome in not_run}
    assert set(engines.OUTCOMES) == set(Observation)
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
    assert engines.parse_load_report(text) == report


def test_events_pass_complete_and_unchanged_however_the_stream_is_split():
    stream = EVENT + b": Endpoint-Load-Metrics: TEXT queue=3\n\n" + EVENT + END
    for size in (1, 7, 50, len(stream)):
        events = engines.EventStream()
        parts = [events.feed(stream[at : at + size]) for at in range(0, len(stream), size)]
        assert b"".join(parts) == stream and events.is_complete and events.cached_tokens == 7
        assert all(not part or part.endswith(b"\n\n") for part in parts)
        assert events.report == LoadReport(queued=3)


@pytest.mark.parametrize(
    "data", [b"noise\n\n", b"data: {\n\n", b'data: {"x":1}\n\n', b"data: \xff\n\n", b"x" * 300_000]
)
def test_a_malformed_event_does_not_pass(data):
    events = engines.EventStream()
    assert events.feed(EVENT[:20]) == b""
    with pytest.raises(HttpError):
        events.feed(EVENT[20:] + data)


def test_informational_answers_are_skipped_and_a_second_answer_is_surplus():
    parser = AnswerParser()
    parser.feed(b"HTTP/1.1 103 Early\r\nx-never-ran: 1\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + PREFILLED)
    assert (parser.head.status, parser.complete, parser.has_surplus) == (202, True, False)
    assert "x-never-ran" not in parser.head.headers
    parser.feed(b"HTTP/1.1 500 Oh\r\ncontent-length: 2\r\n\r\nhi")
    assert parser.has_surplus and parser.head.status == 202 and parser.body() == b'{"cached_tokens": 5}'


def test_endless_informational_answers_are_an_error():
    with pytest.raises(HttpError):
        AnswerParser().feed(b"HTTP/1.1 102 Processing\r\n\r\n" * 20)


@pytest.mark.parametrize("line", [b"{", b"[]", b'{"rev": 1}', b'{"rev": 1, "all": true, "targets": {}}'])
def test_an_object_that_is_not_a_list_is_malformed(line):
    with pytest.raises(MalformedUpdateError):
        parse_update(line)


@pytest.mark.parametrize(
    ("malformed", "expected"),
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
def test_a_malformed_entry_does_not_affect_the_others(malformed, expected):
    found = parse_update(list_update(target("rd", "a:2"), malformed, target("wr", "a:3"))).entries
    described = [(entry.engine, entry.readiness, address) for entry, address in found]
    assert described == [("rd", "ready", "a:2"), *([expected] if expected else []), ("wr", "ready", "a:3")]
    assert all(entry.weight >= 0 and entry.up_since == 0 for entry, _ in found)


def test_an_entry_without_an_address_applies_only_to_a_known_engine():
    async def scenario(node):
        node.update_engines(target("wr", "", "draining"), target("wr2", "", "gone"), target("wr3", "x"))
        endpoints = {
            name: (endpoint.readiness, endpoint.link.address)
            for name, endpoint in node.host.endpoints.items()
        }
        async with Client(node.address) as client:
            await client.send(chat(100))
            return endpoints, (await client.answer())[0], set(node.host.router.engines)

    endpoints, status, known = run_with_node(scenario, wr=Engine())
    assert endpoints["wr"][0] == "draining" and set(endpoints) == known == {"wr"} and status == 503


def test_a_held_state_at_an_engine_that_returned_as_a_prefill_engine_is_released():
    async def scenario(node):
        back = (target(uid, node.addresses[uid], model=kind) for uid, kind in (("rd", "D"), ("wr", "P")))
        node.update_engines(*back)
        async with Client(node.address) as client:
            await client.send(chat(5000))
            await node.until(lambda: wr.lines("POST"))
        await node.until(lambda: wr.lines("DELETE"))  # the client has disconnected

    wr = Engine([HANG])
    run_with_node(scenario, rd=Engine(), wr=wr)
    assert len(wr.lines("DELETE")) == 1


def list_text(indent):
    return json.dumps(
        json.loads(list_update(target("rd", "a:1"), target("wr", "a:2"))), indent=indent
    ).encode()


@pytest.mark.parametrize(
    "text",
    [list_text(None), list_text(0), list_text(2), list_text(2).replace(b"\n", b"\r\n"),
     b'{"rev": 1, "all": true, "targets": [\n  ' + list_text(None).partition(b"[")[2]],
)  # fmt: skip
def test_an_object_may_be_indented_over_several_lines(text):
    assembler = UpdateAssembler()
    found = [assembler.feed(line) for line in (b"", *text.split(b"\n"), b"", *text.split(b"\n"), b"")]
    assert [[e.engine for e, _ in update.entries] for update in found if update] == [["rd", "wr"]] * 2


@pytest.mark.parametrize(
    "lines", [[b"hello}"], [b"{", b""], [b'{"rev":1,', b"}}"], [b"{}"], [b"x" * 3000] * 2000]
)
def test_lines_that_cannot_become_an_update_are_refused_at_once(lines):
    assembler = UpdateAssembler()
    with pytest.raises(MalformedUpdateError):
        for line in lines:
            assembler.feed(line)


def test_an_engines_start_time_is_converted_to_the_monotonic_clock():
    at = time.time_ns() // 1_000_000
    entry, _ = parse_update(list_update(target("e", "a:1", boot_ms=at), target("f", "a:1"))).entries[0]
    starts = StartTimes(wall_clock_offset())
    up_since = starts.up_since("e", entry.up_since, now(), wall_clock_offset())
    assert abs(up_since - time.monotonic_ns() // 1000) < 1_000_000


# Connections to engines.


def test_a_connection_with_unrequested_bytes_is_not_reused():
    async def scenario(script):
        engine = Engine(script)
        server = await asyncio.start_server(engine.connection, "127.0.0.1", 0)
        link = ConnectionPool("{}:{}".format(*server.sockets[0].getsockname()), 1.0)
        for _ in range(2):
            assert (await link.exchange(engines.PROBE_REQUEST, 1.0))[0].status == 202
            await asyncio.sleep(0.05)
        link.close()
        server.close()
        return engine.connections

    assert asyncio.run(scenario([PREFILLED])) == 1
    assert asyncio.run(scenario([PREFILLED + PREFILLED])) == 2
    assert asyncio.run(scenario([PREFILLED, 0.01, PREFILLED])) == 2


def test_idle_connections_that_the_engine_closed_are_swept():
    async def scenario():
        server = await asyncio.start_server(Engine([PREFILLED, CLOSE]).connection, "127.0.0.1", 0)
        link = ConnectionPool("{}:{}".format(*server.sockets[0].getsockname()), 1.0)
        await link.exchange(engines.PROBE_REQUEST, 1.0)
        await asyncio.sleep(0.05)
        link.close_expired()
        server.close()
        return link.idle_count

    assert asyncio.run(scenario()) == 0


def test_the_lifetime_of_idle_connections_halves_with_a_reset_and_grows_back():
    lasting = IdleLimit(8.0)
    assert lasting.current(1000.0) == 8.0
    lasting.shorten(0.4, 1000.0)
    assert lasting.current(1000.0) == 0.2
    lasting.shorten(5.0, 1000.0)  # on a connection taken before the first reset
    assert lasting.current(1000.0) == 0.2
    assert lasting.current(1010.0) == pytest.approx(0.4) and lasting.current(2000.0) == 8.0


def test_a_reset_of_a_reused_connection_shortens_the_lifetime_and_fails_no_request():
    class DropsSecondRequest(Engine):
        """Drops each connection when a second request arrives on it."""

        async def connection(self, reader, writer):
            self.connections += 1
            await self._answer_one(reader, writer)
            head = await reader.read(1000)
            self.dropped += head != b""
            writer.close()

        dropped = 0

    async def scenario(node):
        for n in range(6):
            assert (await exchange(node.address, chat(100, trace=f"t{n}")))[0] == 200
            await asyncio.sleep(0.1)

    one, two = DropsSecondRequest(), DropsSecondRequest()
    run_with_node(scenario, wr1=one, wr2=two)
    assert one.dropped + two.dropped == 1 and len(one.requests + two.requests) == 6


def test_a_connection_that_is_reset_as_it_opens_fails_no_attempt():
    class ResetsFirstConnection(Engine):
        async def connection(self, reader, writer):
            if self.connections < 2:
                self.connections += 1
                linger = struct.pack("ii", 1, 0)
                writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                return writer.transport.abort()
            return await super().connection(reader, writer)

    async def scenario(node):
        link = node.host.endpoints["wr"].link
        take = link.acquire

        async def late(fresh):
            connection = await take(fresh)
            await asyncio.sleep(0.05)  # so that the reset arrives before anything is written
            return connection

        link.acquire = late
        return (await exchange(node.address, chat(100, request_class="pay")))[0], node.host.router.engines[
            "wr"
        ].consecutive_failures

    wr = ResetsFirstConnection()
    assert run_with_node(scenario, wr=wr) == (200, 0) and len(wr.requests) == 1


def test_an_attempt_that_is_reset_after_it_was_written_may_have_run():
    class ResetsAfterRequest(Engine):
        async def connection(self, reader, writer):
            self.scripts = [[]]
            await self._answer_one(reader, writer)
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

    async def scenario(node):
        return [
            (await exchange(node.address, chat(100, request_class="pay", trace=f"t{n}")))[0] for n in range(5)
        ]

    one, two = ResetsAfterRequest(), ResetsAfterRequest()
    assert 503 not in run_with_node(scenario, wr1=one, wr2=two)[:2]
    ids = [fields["x-trace-id"] for _, fields in one.requests + two.requests]
    assert ids and len(ids) == len(set(ids))


def test_a_non_idempotent_request_goes_to_its_decode_engine_on_a_new_connection():
    async def scenario(node):
        for n in range(3):
            assert (await exchange(node.address, chat(5000, request_class="pay", trace=f"t{n}")))[0] == 200
            await asyncio.sleep(
                1.2 * MIN_IDLE
            )  # a connection rests before its reuse: a late second answer may arrive
        return rd.connections, wr.connections

    rd, wr = Engine([PREFILLED]), Engine()
    assert run_with_node(scenario, rd=rd, wr=wr) == (1, 3)


# Discovery.


class DiscoveryServer:
    """Answers each watch with the next of these texts, the last one repeatedly, and then falls silent."""

    def __init__(self, *texts):
        self.texts, self.asked = texts, []

    async def serve(self, reader, writer):
        path = (await reader.readuntil(b"\r\n\r\n")).split(b" ")[1].decode()
        text = self.texts[min(len(self.asked), len(self.texts) - 1)]
        self.asked.append(path.rpartition("=")[2])
        writer.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
        writer.write(encode_chunk(b"\n") + encode_chunk(text + b"\n"))
        await reader.read()
        writer.close()


def run_watch(*discoveries, until):
    """Moves a watch from each discovery server to the next as soon as it has received an update from one, and
    checks the versions received."""

    async def scenario():
        servers = [await asyncio.start_server(each.serve, "127.0.0.1", 0) for each in discoveries]
        addresses = [server.sockets[0].getsockname() for server in servers]
        received = []
        watch = Watch(addresses[0], 41, lambda update: received.append(update.version))
        task = asyncio.create_task(watch.run())
        async with asyncio.timeout(5):
            for at, address in enumerate(addresses):
                watch.set_address(address)
                while received != until[: at + 1]:
                    await asyncio.sleep(0.01)
        task.cancel()
        for server in servers:
            server.close()

    asyncio.run(scenario())


def test_a_watch_continues_at_another_address_from_its_current_version():
    old, new = (DiscoveryServer(list_update(target("rd", "a:1"), rev=rev)) for rev in (43, 50))
    run_watch(old, new, until=[43, 50])
    assert old.asked + new.asked == ["41", "43"]


@pytest.mark.parametrize("malformed", [b"no news}", b'{"rev": "x", "all": true, "targets": []}'])
def test_the_complete_list_is_requested_after_repeated_malformed_updates(malformed):
    discovery = DiscoveryServer(malformed, malformed, list_update(target("rd", "a:1"), rev=44))
    run_watch(discovery, until=[44])
    assert discovery.asked == ["41", "41", "0"]


# The host.


def test_a_short_prompt_is_prefilled_at_its_decode_engine_and_its_stream_passes_unchanged():
    wr, rd = Engine(), Engine([PREFILLED])
    status, _, body, whole = run_with_node(
        lambda node: exchange(node.address, chat(100, trace="t1")), wr=wr, rd=rd
    )
    assert (status, body, whole) == (200, EVENT + EVENT + END, True)
    assert not rd.requests and wr.requests[0][1]["x-trace-id"] == "t1"


def test_a_long_prompt_is_prefilled_at_a_prefill_engine_and_needs_no_release():
    wr, rd = Engine(), Engine([PREFILLED])
    status, _, _, whole = run_with_node(lambda node: exchange(node.address, chat(5000)), wr=wr, rd=rd)
    assert (status, whole) == (200, True)
    assert (
        len(rd.lines("POST")),
        len(wr.lines("POST")),
        rd.lines("DELETE") + wr.lines("DELETE"),
    ) == (1, 1, [])


@pytest.mark.parametrize("start_name", MALFORMED_STARTS)
def test_an_attempt_with_a_malformed_answer_may_have_run(start_name):
    """An idempotent request goes to another engine; a non-idempotent one fails at once."""

    async def scenario(node):
        first = await exchange(node.address, chat(100, request_class="pay", trace="p1"))
        return first, await exchange(node.address, chat(100, request_class="ask", trace="p2"))

    one, two = (
        Engine([MALFORMED_STARTS[start_name]], [STREAM]),
        Engine([MALFORMED_STARTS[start_name]], [STREAM]),
    )
    (status, *_), (later, _, body, whole) = run_with_node(scenario, wr1=one, wr2=two)
    assert status == 504 and (later, body, whole) == (200, EVENT + EVENT + END, True)
    assert [fields["x-trace-id"] for _, fields in one.requests + two.requests].count("p1") == 1


@pytest.mark.parametrize("after", [[CLOSE], [b"zz\r\nnoise"], [encode_chunk(b"noise\n\n")], [HANG]])
def test_a_broken_stream_ends_without_a_last_chunk(after):
    wr = Engine([HEAD + encode_chunk(EVENT), 0.05, *after])
    status, _, body, whole = run_with_node(lambda node: exchange(node.address, chat(100)), wr=wr)
    assert (status, body, whole) == (200, EVENT, False)


def test_a_disconnect_cancels_the_attempt_and_releases_the_held_state():
    async def scenario(node):
        async with Client(node.address) as client:
            await client.send(chat(5000))
            await node.until(lambda: rd.lines("POST"))
        await node.until(lambda: rd.disconnects and rd.lines("DELETE") and not node.host.pending_requests)

    rd = Engine([HANG])
    run_with_node(scenario, rd=rd, wr=Engine())
    assert rd.lines("DELETE") == ["DELETE /bootstrap/rooms/a1 HTTP/1.1"]


def test_a_release_goes_through_another_engine_if_the_holder_is_gone():
    async def scenario(node):
        async with Client(node.address) as client:
            await client.send(chat(5000))
            await node.until(lambda: rd.lines("POST"))
            node.servers[list(node.engines).index("rd")].close()
        await node.until(lambda: wr.lines("DELETE"))

    rd, wr = Engine([HANG]), Engine()
    run_with_node(scenario, rd=rd, wr=wr)
    assert wr.lines("DELETE") == ["DELETE /bootstrap/rooms/a1 HTTP/1.1"]


def test_a_release_reaches_a_zone_that_answers_though_a_silent_one_was_heard_from_last():
    async def scenario(node):
        node.update_engines(
            *(target(uid, at, az="a" if uid == "wr0" else "b") for uid, at in node.addresses.items())
        )
        for name in ("rd", "wr1", "wr2", "wr3"):
            node.host.endpoints[name].last_heard_at = 1 << 60  # zone b is cut off from now on
        async with Client(node.address) as client:
            await client.send(chat(5000))
            await node.until(lambda: rd.lines("POST"))
        began = time.monotonic()
        await node.until(lambda: near.lines("DELETE"))
        return time.monotonic() - began

    class Silent(Engine):
        async def connection(self, reader, writer):
            while await reader.read(1000):
                self.requests.append(("POST", {}))
            writer.close()

    rd, near = Silent(), Engine()
    assert (
        run_with_node(scenario, rd=rd, wr0=near, wr1=Silent(), wr2=Silent(), wr3=Silent())
        < 2.5 * host.RELEASE_TIMEOUT
    )


def test_an_answer_is_sent_within_the_clients_budget():
    began = time.monotonic()
    status, *_ = run_with_node(
        lambda node: exchange(node.address, chat(100, budget_ms="300")), wr=Engine([HANG])
    )
    assert status == 504 and 0.25 < time.monotonic() - began < 0.45


def test_a_request_refused_by_all_engines_is_rejected_at_once_with_a_retry_after():
    wr = Engine([REFUSED_NOT_RUN])
    began = time.monotonic()
    status, fields, *_ = run_with_node(
        lambda node: exchange(node.address, chat(100, request_class="pay")), wr=wr
    )
    assert status == 503 and 0 < float(fields["retry-after"]) <= 2.0 and time.monotonic() - began < 0.5


def test_a_failed_connection_proves_that_nothing_ran():
    async def scenario(node):
        node.servers[list(node.engines).index("wr1")].close()
        await asyncio.sleep(0.05)
        return [
            (await exchange(node.address, chat(100, request_class="pay", trace=f"t{n}")))[0] for n in range(4)
        ]

    assert run_with_node(scenario, wr1=Engine(), wr2=Engine()) == [200] * 4


def test_a_second_request_with_an_open_id_is_refused():
    async def scenario(node):
        async with Client(node.address) as first:
            await first.send(chat(100, trace="t1"))
            await node.until(lambda: wr.requests)
            status, *_ = await exchange(node.address, chat(100, trace="t1"))
            return status, (await first.answer())[0]

    wr = Engine([0.2, STREAM])
    assert run_with_node(scenario, wr=wr) == (409, 200) and len(wr.requests) == 1


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
        chat(budget_ms="soon"),
        b"\x16\x03\x01" * 30,
    ],
)
def test_malformed_input_gets_an_error_or_a_close_soon(data):
    async def scenario(node):
        async with Client(node.address) as client:
            await client.send(data)
            assert await client.closed(within=2.0)
        assert (await exchange(node.address, chat(100)))[0] == 200

    wr = Engine()
    run_with_node(scenario, wr=wr)
    assert len(wr.requests) == 1


def test_silent_connections_are_closed_for_new_clients():
    async def scenario(node):
        accepting = asyncio.create_task(node.client_listener.accept(listening_socket, node._tasks))
        silent_clients = [Client(address) for _ in range(30)]
        for client in silent_clients:
            await client.__aenter__()
        began = time.monotonic()
        status, *_ = await exchange(address, chat(100))
        took = time.monotonic() - began
        assert node.client_listener.connections <= 8
        for client in silent_clients:
            await client.__aexit__()
        accepting.cancel()
        return status, took

    from lifthead.node.serve import open_listening_socket

    listening_socket = open_listening_socket(("127.0.0.1", 0))
    address = "{}:{}".format(*listening_socket.getsockname())
    status, took = run_with_node(scenario, wr=Engine(), max_client_connections=8, first_request_timeout=30.0)
    listening_socket.close()
    assert status == 200 and took < 1.5


def test_a_slow_client_throttles_its_engine_and_gets_the_whole_answer():
    events = EVENT * 20_000
    wr = Engine([HEAD] + [encode_chunk(EVENT * 500)] * 40 + [encode_chunk(END) + b"0\r\n\r\n"])

    async def scenario(node):
        async with Client(node.address) as client:
            await client.send(chat(100))
            await asyncio.sleep(0.3)
            return await client.answer()

    assert run_with_node(scenario, wr=wr)[2:] == (events + END, True)


def test_gone_engines_are_forgotten(monkeypatch):
    monkeypatch.setattr(host, "FORGET_GONE_AFTER", 100_000)
    monkeypatch.setattr(host, "SWEEP_INTERVAL", 0.02)

    async def scenario(node):
        sweeping = asyncio.create_task(node.host.maintain_links())
        async with Client(node.address) as client:
            await client.send(chat(100))
            await node.until(lambda: wr.requests)
            node.update_engines(
                target("wr", node.addresses["wr"], "gone"), target("wr2", "127.0.0.1:1", "gone")
            )
            await node.until(lambda: set(node.host.endpoints) == {"wr"})
            assert (await client.answer())[3]
        await node.until(lambda: not node.host.endpoints)
        sweeping.cancel()

    wr = Engine([0.4, STREAM])
    run_with_node(scenario, wr=wr)


def test_connections_to_engines_stay_within_their_share_of_the_descriptors():
    async def scenario(node):
        max_connections = node.host.max_connections
        for n in range(3 * max_connections):
            link = node.host.endpoints[f"wr{n % 4}"].link
            connection = await link.acquire(fresh=True)
            await connection.send(engines.PROBE_REQUEST)
            await connection.read_whole_body()
            link.put_back(connection)
            if n % 10 == 0:
                node.host._enforce_connection_limit()
        await asyncio.gather(
            *(node.host._query_engine(f"wr{n % 4}", engines.PROBE_REQUEST, 2.0) for n in range(20))
        )
        return max_connections, sum(endpoint.link.idle_count for endpoint in node.host.endpoints.values())

    max_connections, idle = run_with_node(
        scenario, **{f"wr{n}": Engine([PREFILLED]) for n in range(4)}, sockets=100
    )
    assert idle <= max_connections


def test_idle_connections_are_closed_without_a_scan_of_all_engines():
    async def scenario(node):
        for n in (2, 0, 3, 1):
            connection = await (link := node.host.endpoints[f"wr{n}"].link).acquire(fresh=True)
            await connection.send(engines.PROBE_REQUEST)
            await connection.read_whole_body()
            link.put_back(connection)
        node.host.max_connections, node.host.endpoints = 2, None  # the engines are not scanned
        node.host._enforce_connection_limit()
        node.host.endpoints = {}
        return [link.address for link in node.host._idle_connections.values()], node.addresses

    left, listed = run_with_node(scenario, **{f"wr{n}": Engine([PREFILLED]) for n in range(4)})
    assert left == [listed["wr3"], listed["wr1"]]  # the longest idle ones were closed


# The program.


def test_a_reload_changes_the_discovery_address_and_the_connection_limits(tmp_path):
    async def scenario(node):
        reload, watch = asyncio.Event(), Watch(("127.0.0.1", 1), 0, node.host.on_list_update)
        path = tmp_path / "config.json"
        task = asyncio.create_task(reload_on_signal(path, reload, watch, node.client_listener, node.host))
        for text in ("{", json.dumps(config(discovery="127.0.0.1:2", limits={"sockets": 224}))):
            before = (watch.address, node.host.max_connections)
            path.write_text(text)
            reload.set()
            await asyncio.sleep(0.05)
        task.cancel()
        now = (watch.address, node.client_listener.limits.connections, node.host.max_connections)
        return before, now

    before, now = run_with_node(scenario, wr=Engine())
    assert before[0] == ("127.0.0.1", 1) and now == (("127.0.0.1", 2), 90, 110)


def test_the_program_serves_reloads_its_configuration_and_stops_without_losing_a_request(tmp_path):
    async def scenario():
        wr = Engine([0.6, STREAM])
        server = await asyncio.start_server(wr.connection, "127.0.0.1", 0)
        at = "{}:{}".format(*server.sockets[0].getsockname())
        path = tmp_path / "config.json"
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            listen = f"127.0.0.1:{free.getsockname()[1]}"
        config_document = config(listen=listen, known=json.loads(list_update(target("wr", at))))
        path.write_text(json.dumps(config_document))
        process = subprocess.Popen(
            [sys.executable, "-B", "-m", "lifthead.node"], env={**os.environ, "NODE_CONFIG": str(path)}
        )
        try:
            async with asyncio.timeout(15):
                while True:
                    try:
                        if (await exchange(listen, b"GET /ready HTTP/1.1\r\nhost: x\r\n\r\n"))[0] == 200:
                            break  # only after the timeout here, as discovery does not answer
                    except OSError:
                        pass
                    await asyncio.sleep(0.05)
                path.write_text("{")
                process.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.1)
                path.write_text(json.dumps(config_document))
                process.send_signal(signal.SIGHUP)
                async with Client(listen) as client:
                    await client.send(chat(100))
                    await asyncio.sleep(0.2)
                    process.send_signal(signal.SIGTERM)
                    late, early = (
                        await exchange(listen, chat(100, trace="late")),
                        await client.answer(),
                    )
                while process.poll() is None:
                    await asyncio.sleep(0.05)
        finally:
            process.kill()
            server.close()
        return early[0], early[3], late[0], late[3], process.returncode

    assert asyncio.run(scenario()) == (200, True, 200, True, 0)


def test_a_start_does_not_load_the_ssl_module():
    """A fleet starts hundreds of routers at once; in a full-size test one waited 20 s for processor time."""
    loaded = "import sys, lifthead.node.__main__; print(sys.modules['ssl'], sys.modules.get('_ssl'))"
    result = subprocess.run([sys.executable, "-B", "-c", loaded], capture_output=True, text=True)
    assert result.stdout.split() == ["None", "None"], result.stderr

"""The checker of the rules, on records doctored to break each in turn: every one must be caught."""

import json

import pytest

from lifthead.standins import verify

S = 1_000_000
FACTS = {
    "t": 0,
    "ev": "facts",
    "drain_grace": 250_000,
    "let_go_within": 300_000,
    "cold_share": 0.25,
    "warm_within": 10 * S,
    "tip_multiple": 2.0,
    "overload_for": 1 * S,
    "groups": {
        "chat": {"effect": "replayable", "keyed_within": "all", "keyed_for": 5 * S},
        "pay": {"effect": "non-replayable", "keyed_within": "all", "keyed_for": 5 * S},
        "mark": {"effect": "keyed", "keyed_within": "cell", "keyed_for": 2 * S},
    },
}
ROUTER = "127.0.0.1:1"


def day(group="chat"):
    """One clean req: read at rd, written at wr."""
    return {
        "facts": [FACTS],
        "stage": [{"t": 0, "ev": "begin"}, {"t": 90 * S, "ev": "over"}],
        "list": [
            {"t": 1, "ev": "told", "router": "r-0", "engine": name, "readiness": "ready"}
            for name in ("rd", "wr", "w2")
        ],
        "clients": [
            {
                "t": 10 * S,
                "ev": "want",
                "id": "c1",
                "group": group,
                "importance": 1.0,
                "target": S,
                "late_share": 0.1,
            },
            {
                "t": 10 * S,
                "ev": "ask",
                "id": "c1.0",
                "want": "c1",
                "group": group,
                "router": ROUTER,
                "budget": 5 * S,
                "streamed": True,
            },
            {
                "t": 12 * S,
                "ev": "answer",
                "id": "c1.0",
                "want": "c1",
                "how": "done",
                "status": 200,
                "first": 600_000,
                "router": ROUTER,
            },
        ],
        "engine-rd": [
            start("rd", "read"),
            *forward("r-0-aa-1.0", 10.01, 10.2, "read", reads=True),
            {"t": int(10.2 * S), "ev": "held", "id": "r-0-aa-1.0", "tokens": 9},
            {"t": int(10.4 * S), "ev": "taken", "id": "r-0-aa-1.0", "why": "taken"},
        ],
        "engine-wr": [start("wr"), *forward("r-0-aa-1.1", 10.21, 12.0, "done", ran=10.5)],
        "engine-w2": [start("w2", cell=1)],
    }


def start(name, role="write", cell=0, cold=False, at=0):
    return {"t": at, "ev": "start", "name": name, "role": role, "zone": "a", "cell": cell, "cold": cold}


def forward(name, at, until, how, reads=False, ran=None, client="c1.0", work=1000):
    made = [
        {
            "t": int(at * S),
            "ev": "forward",
            "id": name,
            "client": client,
            "group": "chat",
            "reads": reads,
            "work": work,
        }
    ]
    made += [{"t": int(ran * S), "ev": "ran", "id": name}] if ran else []
    return [*made, {"t": int(until * S), "ev": "end", "id": name, "how": how}]


def change(found, part, ev, **fields):
    next(line for line in found[part] if line["ev"] == ev).update(fields)


def drop(found, part, ev):
    found[part] = [line for line in found[part] if line["ev"] != ev]


def no_answer(found):
    drop(found, "clients", "answer")


def two_answers(found):
    found["clients"].append(dict(found["clients"][-1]))


def late(found):
    change(found, "clients", "answer", first=int(5.3 * S))


def late_refusal(found):
    change(found, "clients", "answer", t=16 * S, how="aborted", first=0)


def silent_end(found):
    change(found, "clients", "answer", how="cut")


def wrong_text(found):
    change(found, "clients", "answer", how="wrong")


def after_the_answer(found):
    found["engine-w2"] += forward("r-0-aa-1.2", 13, 13.1, "closed")


def two_out(found):
    found["engine-w2"] += forward("r-0-aa-1.2", 11, 11.9, "closed")


def ran_twice(found):
    found["engine-wr"] = [start("wr"), *forward("r-0-aa-1.1", 10.21, 10.5, "lost")]
    found["engine-w2"] += forward("r-0-aa-1.2", 10.6, 12.0, "done", ran=10.7)


def pushed_back_though_run(found):
    change(found, "clients", "answer", how="pushed back", first=0)


def ran_in_two_tries(found):
    found["clients"] += [
        {
            "t": 13 * S,
            "ev": "ask",
            "id": "c1.1",
            "want": "c1",
            "group": "pay",
            "router": ROUTER,
            "budget": S,
            "streamed": True,
        },
        {
            "t": 13 * S + 9,
            "ev": "answer",
            "id": "c1.1",
            "want": "c1",
            "how": "done",
            "status": 200,
            "first": 5,
            "router": ROUTER,
        },
    ]
    found["engine-w2"] += forward("r-0-aa-2.0", 13, 13.00001, "done", ran=13.000001, client="c1.1")


def keyed_elsewhere(found):
    ran_twice(found)


def keyed_too_late(found):
    found["engine-wr"] = [
        start("wr"),
        *forward("r-0-aa-1.1", 9.0, 9.5, "lost"),
        *forward("r-0-aa-1.2", 11.5, 12, "done"),
    ]


def to_a_draining(found):
    found["list"].append(
        {"t": int(9.7 * S), "ev": "told", "router": "r-0", "engine": "wr", "readiness": "draining"}
    )


def to_a_gone(found):
    found["list"].append(
        {"t": int(9.0 * S), "ev": "told", "router": "r-0", "engine": "rd", "readiness": "gone"}
    )


def drowned_cold(found):
    found["engine-w2"] = [start("w2", cold=True, at=20 * S)]
    for n in range(40):
        found["engine-w2"] += forward(
            f"r-0-aa-{n + 5}.0", 20.1 + n / 100, 20.2 + n / 100, "done", work=50_000, client=f"d{n}.0"
        )


def fell(found):
    found["engine-w2"].append({"t": 20 * S, "ev": "fell", "name": "w2"})


def left_pinned(found):
    found["engine-wr"] = [start("wr"), *forward("r-0-aa-1.1", 10.9, 12.0, "done", ran=10.95)]
    change(found, "engine-rd", "taken", t=int(10.92 * S))


def never_let_go(found):
    drop(found, "engine-rd", "taken")


def play(tmp_path, found):
    for name, lines in found.items():
        lines = sorted(lines, key=lambda line: line["t"]) if name != "facts" else lines
        (tmp_path / f"{name}.jsonl").write_text("".join(json.dumps(line) + "\n" for line in lines))
    return {breach.rule for breach in verify.find_breaches(verify.read_records(tmp_path))}


@pytest.mark.parametrize("group", ["chat", "pay", "mark"])
def test_a_clean_day_has_no_breach(tmp_path, group):
    assert play(tmp_path, day(group)) == set()
    summary = verify.summarize(tmp_path)
    assert summary["service"] == 1.0 and summary["done"] == 1 and summary["breaches"] == {}


@pytest.mark.parametrize(
    ("rule", "group", "doctor"),
    [
        (1, "chat", no_answer),
        (1, "chat", two_answers),
        (1, "chat", late),
        (1, "chat", late_refusal),
        (1, "chat", silent_end),
        (1, "chat", wrong_text),
        (1, "chat", after_the_answer),
        (2, "chat", two_out),
        (2, "pay", ran_twice),
        (2, "pay", pushed_back_though_run),
        (2, "pay", ran_in_two_tries),
        (2, "mark", keyed_elsewhere),
        (2, "mark", keyed_too_late),
        (2, "mark", pushed_back_though_run),
        (3, "chat", to_a_draining),
        (3, "chat", to_a_gone),
        (4, "chat", drowned_cold),
        (4, "chat", fell),
        (5, "chat", left_pinned),
        (5, "chat", never_let_go),
    ],
)
def test_each_breach_is_caught(tmp_path, rule, group, doctor):
    found = day(group)
    doctor(found)
    assert rule in play(tmp_path, found)


def killed(found):
    no_answer(found)
    found["clients"].append(
        {
            "t": 11 * S,
            "ev": "answer",
            "id": "c1.0",
            "want": "c1",
            "how": "broken",
            "status": 0,
            "first": 0,
            "router": ROUTER,
        }
    )
    never_let_go(found)
    found["stage"].append({"t": 11 * S, "ev": "router_killed", "name": "r-0", "address": ROUTER})


def ready_again(found):
    to_a_draining(found)
    found["list"].append(
        {"t": int(9.9 * S), "ev": "told", "router": "r-0", "engine": "wr", "readiness": "ready"}
    )


def engine_died(found):
    drop(found, "engine-rd", "taken")
    found["engine-rd"].append(start("rd", "read", cold=True, at=15 * S))
    found["stage"].append({"t": int(10.3 * S), "ev": "engine_end", "name": "rd", "how": "SIGKILL"})


def proven_not_run(found):
    found["engine-wr"] = [start("wr"), *forward("r-0-aa-1.1", 10.21, 10.3, "refused")]
    found["engine-w2"] += forward("r-0-aa-1.2", 10.31, 12.0, "done", ran=10.5)


@pytest.mark.parametrize(
    ("group", "doctor"),
    [
        ("chat", killed),
        ("chat", ready_again),
        ("chat", engine_died),
        ("pay", proven_not_run),
        ("chat", ran_twice),
    ],
)
def test_what_breaks_no_rule(tmp_path, group, doctor):
    found = day(group)
    doctor(found)
    assert play(tmp_path, found) == set()


def test_a_torn_last_line_is_left_out(tmp_path):
    play(tmp_path, day())
    with open(tmp_path / "engine-wr.jsonl", "a") as file:
        file.write('{"t": 5, "ev": "for')
    assert verify.find_breaches(verify.read_records(tmp_path)) == []

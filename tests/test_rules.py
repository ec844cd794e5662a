"""The checker of the rules, on records that break each rule in turn: it must report every breach."""

import json

import pytest

from lifthead.standins import verify

SECOND_US = 1_000_000
SETTINGS = {
    "t": 0,
    "ev": "facts",
    "drain_grace": 250_000,
    "let_go_within": 300_000,
    "cold_share": 0.25,
    "warm_within": 10 * SECOND_US,
    "tip_multiple": 2.0,
    "overload_for": 1 * SECOND_US,
    "groups": {
        "chat": {"effect": "replayable", "keyed_within": "all", "keyed_for": 5 * SECOND_US},
        "pay": {"effect": "non-replayable", "keyed_within": "all", "keyed_for": 5 * SECOND_US},
        "mark": {"effect": "keyed", "keyed_within": "cell", "keyed_for": 2 * SECOND_US},
    },
}
ROUTER = "127.0.0.1:1"


def clean_records(group="chat"):
    """The records of one request without a breach: prefilled at rd, decoded at wr."""
    return {
        "facts": [SETTINGS],
        "stage": [{"t": 0, "ev": "begin"}, {"t": 90 * SECOND_US, "ev": "over"}],
        "list": [
            {"t": 1, "ev": "told", "router": "r-0", "engine": name, "readiness": "ready"}
            for name in ("rd", "wr", "w2")
        ],
        "clients": [
            {
                "t": 10 * SECOND_US,
                "ev": "want",
                "id": "c1",
                "group": group,
                "importance": 1.0,
                "target": SECOND_US,
                "late_share": 0.1,
            },
            {
                "t": 10 * SECOND_US,
                "ev": "ask",
                "id": "c1.0",
                "want": "c1",
                "group": group,
                "router": ROUTER,
                "budget": 5 * SECOND_US,
                "streamed": True,
            },
            {
                "t": 12 * SECOND_US,
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
            engine_start("rd", "read"),
            *attempt_lines("r-0-aa-1.0", 10.01, 10.2, "read", reads=True),
            {"t": int(10.2 * SECOND_US), "ev": "held", "id": "r-0-aa-1.0", "tokens": 9},
            {"t": int(10.4 * SECOND_US), "ev": "taken", "id": "r-0-aa-1.0", "why": "taken"},
        ],
        "engine-wr": [engine_start("wr"), *attempt_lines("r-0-aa-1.1", 10.21, 12.0, "done", ran=10.5)],
        "engine-w2": [engine_start("w2", cell=1)],
    }


def engine_start(name, role="write", cell=0, cold=False, at=0):
    return {"t": at, "ev": "start", "name": name, "role": role, "zone": "a", "cell": cell, "cold": cold}


def attempt_lines(name, at, until, how, reads=False, ran=None, client="c1.0", work=1000):
    lines = [
        {
            "t": int(at * SECOND_US),
            "ev": "forward",
            "id": name,
            "client": client,
            "group": "chat",
            "reads": reads,
            "work": work,
        }
    ]
    lines += [{"t": int(ran * SECOND_US), "ev": "ran", "id": name}] if ran else []
    return [*lines, {"t": int(until * SECOND_US), "ev": "end", "id": name, "how": how}]


def update_line(records, file, ev, **fields):
    next(line for line in records[file] if line["ev"] == ev).update(fields)


def drop_lines(records, file, ev):
    records[file] = [line for line in records[file] if line["ev"] != ev]


def no_answer(records):
    drop_lines(records, "clients", "answer")


def two_answers(records):
    records["clients"].append(dict(records["clients"][-1]))


def late_answer(records):
    update_line(records, "clients", "answer", first=int(5.3 * SECOND_US))


def late_error(records):
    update_line(records, "clients", "answer", t=16 * SECOND_US, how="aborted", first=0)


def stream_cut(records):
    update_line(records, "clients", "answer", how="cut")


def wrong_text(records):
    update_line(records, "clients", "answer", how="wrong")


def attempt_after_the_answer(records):
    records["engine-w2"] += attempt_lines("r-0-aa-1.2", 13, 13.1, "closed")


def two_attempts_in_flight(records):
    records["engine-w2"] += attempt_lines("r-0-aa-1.2", 11, 11.9, "closed")


def ran_twice(records):
    records["engine-wr"] = [engine_start("wr"), *attempt_lines("r-0-aa-1.1", 10.21, 10.5, "lost")]
    records["engine-w2"] += attempt_lines("r-0-aa-1.2", 10.6, 12.0, "done", ran=10.7)


def rejected_though_run(records):
    update_line(records, "clients", "answer", how="pushed back", first=0)


def ran_in_two_requests(records):
    records["clients"] += [
        {
            "t": 13 * SECOND_US,
            "ev": "ask",
            "id": "c1.1",
            "want": "c1",
            "group": "pay",
            "router": ROUTER,
            "budget": SECOND_US,
            "streamed": True,
        },
        {
            "t": 13 * SECOND_US + 9,
            "ev": "answer",
            "id": "c1.1",
            "want": "c1",
            "how": "done",
            "status": 200,
            "first": 5,
            "router": ROUTER,
        },
    ]
    records["engine-w2"] += attempt_lines("r-0-aa-2.0", 13, 13.00001, "done", ran=13.000001, client="c1.1")


def key_unknown_in_other_cell(records):
    ran_twice(records)


def key_expired(records):
    records["engine-wr"] = [
        engine_start("wr"),
        *attempt_lines("r-0-aa-1.1", 9.0, 9.5, "lost"),
        *attempt_lines("r-0-aa-1.2", 11.5, 12, "done"),
    ]


def sent_to_draining(records):
    records["list"].append(
        {"t": int(9.7 * SECOND_US), "ev": "told", "router": "r-0", "engine": "wr", "readiness": "draining"}
    )


def sent_to_gone(records):
    records["list"].append(
        {"t": int(9.0 * SECOND_US), "ev": "told", "router": "r-0", "engine": "rd", "readiness": "gone"}
    )


def cold_engine_overloaded(records):
    records["engine-w2"] = [engine_start("w2", cold=True, at=20 * SECOND_US)]
    for n in range(40):
        records["engine-w2"] += attempt_lines(
            f"r-0-aa-{n + 5}.0", 20.1 + n / 100, 20.2 + n / 100, "done", work=50_000, client=f"d{n}.0"
        )


def cold_engine_failed(records):
    records["engine-w2"].append({"t": 20 * SECOND_US, "ev": "fell", "name": "w2"})


def held_too_long(records):
    records["engine-wr"] = [engine_start("wr"), *attempt_lines("r-0-aa-1.1", 10.9, 12.0, "done", ran=10.95)]
    update_line(records, "engine-rd", "taken", t=int(10.92 * SECOND_US))


def never_released(records):
    drop_lines(records, "engine-rd", "taken")


def rules_broken(tmp_path, records):
    for name, lines in records.items():
        lines = sorted(lines, key=lambda line: line["t"]) if name != "facts" else lines
        (tmp_path / f"{name}.jsonl").write_text("".join(json.dumps(line) + "\n" for line in lines))
    return {breach.rule for breach in verify.find_breaches(verify.read_records(tmp_path))}


@pytest.mark.parametrize("group", ["chat", "pay", "mark"])
def test_clean_records_have_no_breach(tmp_path, group):
    assert rules_broken(tmp_path, clean_records(group)) == set()
    summary = verify.summarize(tmp_path)
    assert summary["service"] == 1.0 and summary["done"] == 1 and summary["breaches"] == {}


@pytest.mark.parametrize(
    ("rule", "group", "alter"),
    [
        (1, "chat", no_answer),
        (1, "chat", two_answers),
        (1, "chat", late_answer),
        (1, "chat", late_error),
        (1, "chat", stream_cut),
        (1, "chat", wrong_text),
        (1, "chat", attempt_after_the_answer),
        (2, "chat", two_attempts_in_flight),
        (2, "pay", ran_twice),
        (2, "pay", rejected_though_run),
        (2, "pay", ran_in_two_requests),
        (2, "mark", key_unknown_in_other_cell),
        (2, "mark", key_expired),
        (2, "mark", rejected_though_run),
        (3, "chat", sent_to_draining),
        (3, "chat", sent_to_gone),
        (4, "chat", cold_engine_overloaded),
        (4, "chat", cold_engine_failed),
        (5, "chat", held_too_long),
        (5, "chat", never_released),
    ],
)
def test_each_breach_is_caught(tmp_path, rule, group, alter):
    records = clean_records(group)
    alter(records)
    assert rule in rules_broken(tmp_path, records)


def router_killed(records):
    no_answer(records)
    records["clients"].append(
        {
            "t": 11 * SECOND_US,
            "ev": "answer",
            "id": "c1.0",
            "want": "c1",
            "how": "broken",
            "status": 0,
            "first": 0,
            "router": ROUTER,
        }
    )
    never_released(records)
    records["stage"].append({"t": 11 * SECOND_US, "ev": "router_killed", "name": "r-0", "address": ROUTER})


def ready_again(records):
    sent_to_draining(records)
    records["list"].append(
        {"t": int(9.9 * SECOND_US), "ev": "told", "router": "r-0", "engine": "wr", "readiness": "ready"}
    )


def engine_died(records):
    drop_lines(records, "engine-rd", "taken")
    records["engine-rd"].append(engine_start("rd", "read", cold=True, at=15 * SECOND_US))
    records["stage"].append({"t": int(10.3 * SECOND_US), "ev": "engine_end", "name": "rd", "how": "SIGKILL"})


def proven_not_run(records):
    records["engine-wr"] = [engine_start("wr"), *attempt_lines("r-0-aa-1.1", 10.21, 10.3, "refused")]
    records["engine-w2"] += attempt_lines("r-0-aa-1.2", 10.31, 12.0, "done", ran=10.5)


@pytest.mark.parametrize(
    ("group", "alter"),
    [
        ("chat", router_killed),
        ("chat", ready_again),
        ("chat", engine_died),
        ("pay", proven_not_run),
        ("chat", ran_twice),
    ],
)
def test_excused_cases_break_no_rule(tmp_path, group, alter):
    records = clean_records(group)
    alter(records)
    assert rules_broken(tmp_path, records) == set()


def test_a_truncated_last_line_is_left_out(tmp_path):
    rules_broken(tmp_path, clean_records())
    with open(tmp_path / "engine-wr.jsonl", "a") as file:
        file.write('{"t": 5, "ev": "for')
    assert verify.find_breaches(verify.read_records(tmp_path)) == []

from pathlib import Path

import pytest

from lifthead.deployment import derive, script
from lifthead.deployment.durations import parse_duration

GOOD = """
kind("r", role = "read", memory = 1000)
kind("w", role = "write", memory = 1000)
engine("r1", zone = "a", kind = "r")
engine("w1", zone = "a", kind = "w")
group("g", models = ["m"], target = "1s", deadline = "2s")
tenant("t", keys = ["12345678"], share_per_s = 2.0)
router("one", zone = "a")
"""


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("kind('a', role='red', memory=1)", "x.star:1:1: kind, field role"),
        ("\nkind('a', role='read', memory=0)", "x.star:2:1: kind, field memory: Expected `int` >= 1"),
        ("kind('a', roel='read', memory=1)", "x.star:1:1: kind: Object contains unknown field `roel`"),
        ("kind()", "required field `name`"),
        ("group('g', models=['m'], target=5, deadline='5s')", "field target: expected a time in quotes"),
        ("group('g', models=['m'], target='5x', deadline='5s')", "expected a time such as 250ms"),
        ("x = [1\n", "x.star:2:1: syntax error"),
        ("def f():\n  for i in range(100000000):\n    pass\nf()", "too many steps"),
        ("x = ['a' * 1000000 for i in range(10000)]", "too much memory"),
        ("while True:\n  pass", "'while' not supported"),
        ("def f(): f()\nf()", "recurs"),
        ("load('a.star', 'b')", "load() not allowed"),
        ("open('x')", "name 'open' is not defined"),
        (GOOD + "kind('r', role='read', memory=1)", "kind 'r' is described twice"),
        (GOOD + "rules()\nrules()", "rules() is called twice"),
        (GOOD + "engine('w2', zone='a', kind='no')", "engine w2, field kind"),
        (GOOD + "group('h', models=['m'], target='1s', deadline='2s')", "group h, field models"),
        (GOOD + "tenant('u', keys=['12345678'], share_per_s=1.0)", "tenant u, field keys"),
        (GOOD.replace('role = "write"', 'role = "read"'), "no engine decodes"),
        (GOOD.replace("router(", "dict(router=").replace('"one"', '"one"'), "no call of router()"),
        (
            GOOD + "".join(f"engine('{n}', zone='a', kind='w', address='h:1')\n" for n in "xy"),
            "engine y, field address: h:1 belongs to x",
        ),
    ],
)
def test_errors_name_the_position_and_the_field(text, message):
    with pytest.raises(script.ScriptError) as problem:
        script.run(text, "x.star")
    assert message in str(problem.value) and "\n" not in str(problem.value)


def test_the_start_settings_derived_from_a_script():
    settings = derive.deployment(script.run(GOOD, "x.star"), "one", 5)
    assert (settings.zone, settings.routers, settings.seed, settings.role_by_kind) == (
        "a",
        1,
        5,
        {"r": "read", "w": "write"},
    )
    assert settings.request_classes["g"].ttft_target == 1_000_000 and settings.tenants["t"].quota_per_s == 2.0


def test_the_printed_keys_of_the_start_settings_stay_when_fields_are_renamed():
    printed = derive.printable(derive.deployment(script.run(GOOD, "x.star"), "one", 5))
    assert list(printed) == [
        "zone",
        "routers",
        "tick",
        "seed",
        "groups",
        "tenants",
        "roles",
        "memory",
        "writers_read",
        "let_go_by",
        "cold_share",
        "warm_within",
        "tip_multiple",
        "overload_for",
        "max_forwards",
        "may_cancel",
        "may_probe",
        "may_hold_off",
        "max_hold_off",
        "reports_on_probe",
        "must_ask",
        "ask_within",
        "silent_losses",
    ]
    assert list(printed["groups"]) == ["g"]
    assert list(printed["groups"]["g"]) == [
        "name",
        "effect",
        "keyed_within",
        "keyed_for",
        "target",
        "target_per_1000",
        "deadline",
        "token_target",
        "importance",
        "late_share",
    ]


@pytest.mark.parametrize("path", ["/no/such.star", "."])
def test_a_script_that_cannot_be_read(path):
    with pytest.raises(script.ScriptError, match="can't be read"):
        script.read(path)


@pytest.mark.parametrize("path", sorted(Path("examples").glob("*.star")), ids=str)
def test_the_examples_are_valid_scripts(path):
    assert script.read(path).crowd


@pytest.mark.parametrize(("text", "value"), [("250ms", 250_000), ("1.5s", 1_500_000), ("2m30s", 150_000_000)])
def test_durations(text, value):
    assert parse_duration(text) == value


@pytest.mark.parametrize("text", ["", "5", "ms", "5 s s", "-1s", "1e3s"])
def test_malformed_durations(text):
    with pytest.raises(ValueError, match="expected a time"):
        parse_duration(text)

"""The host for the simulator: replies to batches of events, and errors for malformed lines."""

import io

import pytest

from lifthead.instance_settings import MalformedError
from lifthead.simhost.serve import serve

INIT = (
    "INIT Router=0 Nonce64=5 Zone=a Dcs=a Flavors=P,D FamilyInfo.RoleByKind=read,write "
    "FamilyInfo.KvTokens=9000,9000 FamilyInfo.LocalRead=true New.Thing=7 "
    "Grades.count=1 Grades.0.Name=chat Grades.0.Effect=safe "
    "Grades.0.Target=1000000 PolicyLimits.MaxAttempts=4 ReplicasOfMe=1 Rules.OverloadFor=1000000"
)  # fmt: skip
ENGINE_LIST = (
    "SHEET List=3 MembersList=2\nM Engine=e:1 Sku=P Readiness=live\n"
    "M Engine=e:2 Sku=D Readiness=live Odd=1"
)  # fmt: skip
LIST_CHANGED = "BACKENDS_CHANGED Router=0 How=restored Rev=1 List=3"
DEMAND = "DEMAND Router=0 Id=9 Budget=900000 Cls=chat Talk=aa NMax=50 NPrompt="


def answers(*batches):
    out = io.StringIO()
    text = "".join(f"FRAME T={1000 * n}\n{batch}\nYOUR_TURN\n\n" for n, batch in enumerate(batches, 1))
    serve(io.StringIO(text), out)
    return [answer.strip().split("\n") for answer in out.getvalue().split("NEXT\n")[:-1]]


@pytest.mark.parametrize(("prompt", "engine"), [("600", "e:2"), ("6000.0", "e:1")])
def test_a_request_is_routed_by_the_length_of_its_prompt(prompt, engine):
    reply = answers("", f"{INIT}\n{ENGINE_LIST}\n{LIST_CHANGED}", DEMAND + prompt)
    assert reply[0] == [""]
    assert f"ROUTE Router=0 Id=9 Engine={engine} AbandonAt=903000" in reply[2]


def test_an_instance_starts_empty_after_a_halt_and_a_list_number_may_be_reused():
    other = ENGINE_LIST.replace("e:", "f:")
    started = f"{INIT}\n{ENGINE_LIST}\n{LIST_CHANGED}"
    reply = answers(started, f"HALT Router=0\n{INIT}\n{other}\n{LIST_CHANGED}", DEMAND + "600")
    assert "Engine=f:2" in reply[2][-1]


@pytest.mark.parametrize("late_event", ["EXPIRED Router=0 Id=5", "ALARM Router=0 Label=20"])
def test_an_event_for_a_finished_request_is_ignored(late_event):
    assert answers(f"{INIT}\n{ENGINE_LIST}\n{LIST_CHANGED}", late_event)[1] == [""]


@pytest.mark.parametrize(
    ("line", "message"),
    [
        ("DEMAND Router=0 Id", "name=value"),
        ("DEMAND Router=4 Id=1", "no INIT"),
        ("ENDED Router=0 Id=x Engine=e Ending=done", "not a number"),
        ("ENDED Router=0 Id=1 Engine=e Ending=odd", "not known"),
        ("DEMAND Id=1", "no Router"),
        ("FRAME T=1", "inside a batch"),
        ("SHEET List=1 MembersList=1\nDEMAND Router=0", "M line"),
    ],
)
def test_a_malformed_line_is_reported(line, message):
    with pytest.raises(MalformedError, match=message):
        answers(INIT, line)

"""Reads batches, calls the module's instances, and writes what they do."""

from dataclasses import replace
from typing import TextIO

from lifthead.control import Router
from lifthead.simhost import wire
from lifthead.terms import Fields, MalformedError, deployment_of, flag, named, required, whole


class WireHost:
    """The host that one instance acts through: each call becomes a line of the reply."""

    def __init__(self, router: str, clock: list[int], reply: list[str]) -> None:
        self._at = f" Router={router} "
        self._clock = clock
        self._reply = reply

    def now(self) -> int:
        return self._clock[0]

    def start_attempt(self, request_id: int, engine: str, abandon_at: int, send_by: int) -> None:
        self._reply.append(f"ROUTE{self._at}Id={request_id} Engine={engine} AbandonAt={abandon_at}")

    def cancel_attempt(self, request_id: int, number: int) -> None:
        self._reply.append(f"ABORT_ATTEMPT{self._at}Id={request_id} Try={number}")

    def release_state(self, request_id: int) -> None:
        self._reply.append(f"FREE_STATE{self._at}Id={request_id}")

    def reject(self, request_id: int, retry_after: int) -> None:
        self._reply.append(f"OVERLOAD_REPLY{self._at}Id={request_id} HoldOff={retry_after}")

    def fail(self, request_id: int) -> None:
        self._reply.append(f"REPORT_FAILURE{self._at}Id={request_id}")

    def set_timer(self, after: int, key: int) -> None:
        self._reply.append(f"AFTER{self._at}FromNow={after} Label={key}")

    def probe(self, engine: str) -> None:
        self._reply.append(f"POLL{self._at}Engine={engine}")

    def watch_engines(self) -> None:
        self._reply.append(f"OBSERVE{self._at}Want=1")


class Sim:
    """All instances of this process. They share the clock and the pipe, and nothing that decides."""

    def __init__(self) -> None:
        self.clock = [0]
        self.reply: list[str] = []
        self.routers: dict[str, Router] = {}
        self.sheets: dict[str, list] = {}

    def event(self, name: str, fields: Fields) -> None:
        number = required(fields, "Router")
        if name == "INIT":
            host = WireHost(number, self.clock, self.reply)
            self.routers[number] = Router(host, replace(deployment_of(fields), silent_losses=False))
            return
        router = self.routers.get(number)
        if router is None:
            raise MalformedError(f"{name} names Router={number}, which has had no INIT")
        if name == "HALT":
            del self.routers[number]
        elif name == "DEMAND":
            router.on_request(wire.demand_of(fields))
        elif name == "ENDED":
            router.on_attempt_ended(
                whole(fields, "Id"),
                whole(fields, "Try", 0),
                required(fields, "Engine"),
                named(wire.ENDINGS, fields, "Ending"),
                whole(fields, "Took", 0),
                whole(fields, "Remark", 0),
                flag(fields, "Settled"),
                wire.report_of(fields),
            )
        elif name == "ESTABLISHED":
            took = whole(fields, "Took", 0)
            router.on_first_token(whole(fields, "Id"), whole(fields, "Try", 0), took)
        elif name == "EXPIRED":
            router.on_client_left(whole(fields, "Id"))
        elif name == "ALARM":
            router.on_timer(whole(fields, "Label"))
        elif name == "ECHO":
            router.on_load_report(required(fields, "Engine"), wire.report_of(fields))
        elif name == "BACKENDS_CHANGED":
            how = required(fields, "How")
            if how == "unavailable":
                router.on_engine_list_unavailable()
            elif how in ("update", "replace", "restored"):
                sheet = self.sheets.get(fields.get("List", "0"))
                if sheet is None:
                    raise MalformedError("BACKENDS_CHANGED names a list that was never sent")
                router.on_engine_list(sheet, whole_list=how != "update")
            else:
                raise MalformedError(f"How={how[:40]} is not known")


def serve(lines: TextIO, out: TextIO) -> None:
    sim = Sim()
    number, in_batch, entries_due, sheet = 0, False, 0, []
    for raw in lines:
        number += 1
        line = raw.rstrip("\r\n")
        try:
            if entries_due:
                sheet.append(wire.entry_of(line))
                entries_due -= 1
                continue
            if not line.strip():
                continue
            name, fields = wire.fields_of(line)
            if name == "FRAME":
                if in_batch:
                    raise MalformedError("FRAME inside a batch")
                sim.clock[0] = whole(fields, "T")
                in_batch = True
            elif not in_batch:
                raise MalformedError(f"'{line[:120]}' outside a batch")
            elif name == "YOUR_TURN":
                sim.reply.append("NEXT\n")
                out.write("\n".join(sim.reply))
                out.flush()
                sim.reply.clear()
                in_batch = False
            elif name == "SHEET":
                sheet = sim.sheets[fields.get("List", "0")] = []
                entries_due = whole(fields, "MembersList", 0)
            elif "Router" in fields:
                sim.event(name, fields)
            elif name in ("INIT", "DEMAND", "ENDED", "BACKENDS_CHANGED"):
                raise MalformedError(f"{name} has no Router")
        except MalformedError as problem:
            raise MalformedError(f"line {number}: {problem}") from None
    if in_batch:
        raise MalformedError(f"line {number}: input ended inside a batch")

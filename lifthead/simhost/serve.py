"""Reads batches of events from the simulator, passes them to instances of the decision module, and writes the
calls that these make."""

from dataclasses import replace
from typing import TextIO

from lifthead.control import Router
from lifthead.instance_settings import (
    Fields,
    MalformedError,
    bool_field,
    int_field,
    lookup_field,
    parse_deployment,
    required_field,
)
from lifthead.simhost import wire


class WireHost:
    """The host of one instance: each call of the decision module becomes a line of the reply."""

    def __init__(self, router: str, clock: list[int], reply: list[str]) -> None:
        self._router_field = f" Router={router} "
        self._clock = clock
        self._reply = reply

    def now(self) -> int:
        return self._clock[0]

    def start_attempt(self, request_id: int, engine: str, abandon_at: int, send_by: int) -> None:
        self._reply.append(f"ROUTE{self._router_field}Id={request_id} Engine={engine} AbandonAt={abandon_at}")

    def cancel_attempt(self, request_id: int, number: int) -> None:
        self._reply.append(f"ABORT_ATTEMPT{self._router_field}Id={request_id} Try={number}")

    def release_state(self, request_id: int) -> None:
        self._reply.append(f"FREE_STATE{self._router_field}Id={request_id}")

    def reject(self, request_id: int, retry_after: int) -> None:
        self._reply.append(f"OVERLOAD_REPLY{self._router_field}Id={request_id} HoldOff={retry_after}")

    def fail(self, request_id: int) -> None:
        self._reply.append(f"REPORT_FAILURE{self._router_field}Id={request_id}")

    def set_timer(self, after: int, key: int) -> None:
        self._reply.append(f"AFTER{self._router_field}FromNow={after} Label={key}")

    def probe(self, engine: str) -> None:
        self._reply.append(f"POLL{self._router_field}Engine={engine}")

    def watch_engines(self) -> None:
        self._reply.append(f"OBSERVE{self._router_field}Want=1")


class Instances:
    """All instances of this process. They share the clock and the reply, but no decision state."""

    def __init__(self) -> None:
        self.clock = [0]
        self.reply: list[str] = []
        self.routers: dict[str, Router] = {}
        self.engine_lists: dict[str, list] = {}

    def handle(self, name: str, fields: Fields) -> None:
        router_id = required_field(fields, "Router")
        if name == "INIT":
            host = WireHost(router_id, self.clock, self.reply)
            self.routers[router_id] = Router(host, replace(parse_deployment(fields), silent_losses=False))
            return
        router = self.routers.get(router_id)
        if router is None:
            raise MalformedError(f"{name} names Router={router_id}, which has had no INIT")
        if name == "HALT":
            del self.routers[router_id]
        elif name == "DEMAND":
            router.on_request(wire.parse_request(fields))
        elif name == "ENDED":
            router.on_attempt_ended(
                int_field(fields, "Id"),
                int_field(fields, "Try", 0),
                required_field(fields, "Engine"),
                lookup_field(wire.OUTCOMES, fields, "Ending"),
                int_field(fields, "Took", 0),
                int_field(fields, "Remark", 0),
                bool_field(fields, "Settled"),
                wire.parse_load_report(fields),
            )
        elif name == "ESTABLISHED":
            took_us = int_field(fields, "Took", 0)
            router.on_first_token(int_field(fields, "Id"), int_field(fields, "Try", 0), took_us)
        elif name == "EXPIRED":
            router.on_client_left(int_field(fields, "Id"))
        elif name == "ALARM":
            router.on_timer(int_field(fields, "Label"))
        elif name == "ECHO":
            router.on_load_report(required_field(fields, "Engine"), wire.parse_load_report(fields))
        elif name == "BACKENDS_CHANGED":
            change = required_field(fields, "How")
            if change == "unavailable":
                router.on_engine_list_unavailable()
            elif change in ("update", "replace", "restored"):
                engine_list = self.engine_lists.get(fields.get("List", "0"))
                if engine_list is None:
                    raise MalformedError("BACKENDS_CHANGED names a list that was never sent")
                router.on_engine_list(engine_list, whole_list=change != "update")
            else:
                raise MalformedError(f"How={change[:40]} is not known")


def serve(lines: TextIO, out: TextIO) -> None:
    instances = Instances()
    line_number, in_batch, entries_due, engine_list = 0, False, 0, []
    for raw_line in lines:
        line_number += 1
        line = raw_line.rstrip("\r\n")
        try:
            if entries_due:
                engine_list.append(wire.parse_engine_entry(line))
                entries_due -= 1
                continue
            if not line.strip():
                continue
            name, fields = wire.parse_line(line)
            if name == "FRAME":
                if in_batch:
                    raise MalformedError("FRAME inside a batch")
                instances.clock[0] = int_field(fields, "T")
                in_batch = True
            elif not in_batch:
                raise MalformedError(f"'{line[:120]}' outside a batch")
            elif name == "YOUR_TURN":
                instances.reply.append("NEXT\n")
                out.write("\n".join(instances.reply))
                out.flush()
                instances.reply.clear()
                in_batch = False
            elif name == "SHEET":
                engine_list = instances.engine_lists[fields.get("List", "0")] = []
                entries_due = int_field(fields, "MembersList", 0)
            elif "Router" in fields:
                instances.handle(name, fields)
            elif name in ("INIT", "DEMAND", "ENDED", "BACKENDS_CHANGED"):
                raise MalformedError(f"{name} has no Router")
        except MalformedError as error:
            raise MalformedError(f"line {line_number}: {error}") from None
    if in_batch:
        raise MalformedError(f"line {line_number}: input ended inside a batch")

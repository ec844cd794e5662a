"""The `lifthead` command. Thin: each sub-command calls its package and prints what comes back.

Exit codes: 0 done; 1 the answer is no (a rule broken, a router dead); 2 bad use or bad settings.
"""

import asyncio
import secrets
import sys
from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer

from lifthead.deployment import derive, script
from lifthead.deployment.fleet import Fleet
from lifthead.lab import command as lab
from lifthead.ledger import command as ledger
from lifthead.output import print_json, print_table

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    help="A router for language-model servers.",
)
app.add_typer(lab.app, name="lab")
app.add_typer(ledger.app, name="ledger")
RunDir = Annotated[Path, typer.Option("--run", help="Run directory: admin sockets and records.")]
AsJson = Annotated[bool, typer.Option("--json", help="One JSON document, for scripts.")]
DEFAULT_RUN = Path(".lifthead")
STAGE = "stage.ctl"  # admin socket of `up`, beside the routers'


def main() -> None:
    app()


def _fleet(path: Path) -> Fleet:
    try:
        return script.read(path)
    except script.ScriptError as problem:
        typer.echo(str(problem), err=True)
        raise typer.Exit(2) from None


@app.command()
def check(file: Path, as_json: AsJson = False) -> None:
    """Print what a settings script says, and the figures that follow from it."""
    fleet = _fleet(file)
    derived = {
        name: msgspec.to_builtins(derive.deployment(fleet, name, 0), enc_hook=int) for name in fleet.routers
    }
    if as_json:
        return print_json({"fleet": fleet, "derived": derived})
    for title, part in (
        ("engines", fleet.engines),
        ("endpoint groups", fleet.groups),
        ("tenants", fleet.tenants),
        ("routers", fleet.routers),
    ):
        rows = [msgspec.to_builtins(each, enc_hook=int) for each in part.values()]
        for row in rows:
            row.pop("keys", None)
        print_table(rows, title)
    print_table(
        [
            {"figure": key, "value": value}
            for key, value in next(iter(derived.values())).items()
            if not isinstance(value, dict)
        ],
        "what a router starts with",
    )
    return None


@app.command()
def serve(
    file: Path,
    router: Annotated[
        str, typer.Option(help="Which router() of the file to be; the only one if left out.")
    ] = "",
    engine_list: Annotated[
        str, typer.Option("--list", help="URL of a pushed list; else the file's engines.")
    ] = "",
    engines_file: Annotated[
        str, typer.Option("--engines", help="Watched file of engines, taken whole or not at all.")
    ] = "",
    run: RunDir = DEFAULT_RUN,
    log: Annotated[str, typer.Option(help="File for the log; else standard error.")] = "",
    take_over: Annotated[
        bool, typer.Option("--take-over", help="Take a running router's sockets; it ends its streams.")
    ] = False,
    seed: Annotated[int, typer.Option(help="Seed of the decisions' chance; 0: drawn.")] = 0,
) -> None:
    """Run one router until SIGTERM; then answer all it holds and exit 0."""
    from lifthead.daemon import serve as daemon
    from lifthead.ledger.keeper import LockedError

    fleet = _fleet(file)
    name = router or (next(iter(fleet.routers)) if len(fleet.routers) == 1 else "")
    if name not in fleet.routers:
        typer.echo(f"--router: expected one of {list(fleet.routers)}", err=True)
        raise typer.Exit(2)
    out, drawn = daemon.logger(log or None), seed or secrets.randbits(63)
    watched = Path(engines_file) if engines_file else None
    problems: list[str] = []
    try:
        asyncio.run(daemon.serve(
            fleet, name, engine_list, run, drawn, out, engine_file=watched, take_over=take_over
        ))  # fmt: skip
    except* (LockedError, OSError) as group:  # a port or a ledger that another process has
        problems = [str(problem) for problem in group.exceptions]
    if problems:
        typer.echo(f"{name}: {problems[0]}", err=True)
        raise typer.Exit(2)


@app.command()
def engine(
    file: Path,
    name: str,
    address: Annotated[
        str, typer.Option(help="Where to listen; port 0: the system chooses.")
    ] = "127.0.0.1:0",
    cold: Annotated[bool, typer.Option(help="Start cold.")] = False,
    record: Annotated[str, typer.Option(help="File for the traffic record.")] = "",
    seed: int = 1,
) -> None:
    """Run one stand-in engine of a settings script until SIGTERM."""
    from lifthead.standins import engine as standin

    fleet = _fleet(file)
    if name not in fleet.engines:
        typer.echo(f"expected one of {list(fleet.engines)}", err=True)
        raise typer.Exit(2)
    import os

    def say(at: str) -> None:
        print(msgspec.json.encode({"name": name, "address": at, "pid": os.getpid()}).decode(), flush=True)

    asyncio.run(standin.run(fleet, name, address, cold, record or None, seed, say))


def _ask(run: Path, question: dict[str, Any], only: str = "") -> dict[str, Any]:
    from lifthead.fleet import admin

    paths = {name: path for name, path in admin.sockets(run).items() if not only or name == only}
    if not paths:
        typer.echo(
            f"{run}: no router{f' {only!r}' if only else ''} there, expected its admin socket NAME.sock",
            err=True,
        )
        raise typer.Exit(2)
    return asyncio.run(admin.ask_all(paths, question))


def _one(run: Path, name: str, question: dict[str, Any], as_json: bool) -> None:
    said = _ask(run, question, name)[name]
    if said is None:
        typer.echo(f"{name}: dead, or it does not answer", err=True)
        raise typer.Exit(1)
    print_json(said) if as_json else print_table([said], name)


@app.command()
def routers(run: RunDir = DEFAULT_RUN, as_json: AsJson = False) -> None:
    """Each router and its state; exit 1 if one is dead."""
    said = _ask(run, {"ask": "state"})
    rows = [{"name": name, "state": "dead"} if one is None else one for name, one in said.items()]
    if as_json:
        print_json(rows)
    else:
        shown = ("name", "zone", "state", "reqs", "connections", "engines", "list_age_s", "pid", "base_url")
        print_table([{key: row.get(key) for key in shown} for row in rows], "routers")
    if any(one is None for one in said.values()):
        raise typer.Exit(1)


@app.command()
def engines(
    run: RunDir = DEFAULT_RUN,
    router: Annotated[str, typer.Option(help="Only this router's view.")] = "",
    as_json: AsJson = False,
) -> None:
    """Each router's view of the engines."""
    said = _ask(run, {"ask": "engines"}, router)
    if as_json:
        return print_json(said)
    for name, rows in said.items():
        print_table(rows or [], f"{name} {'(dead)' if rows is None else ''}")
    return None


@app.command()
def members(run: RunDir = DEFAULT_RUN, as_json: AsJson = False) -> None:
    """Each router's sources of engines: the file's generation, what is held back, who said what."""
    said = _ask(run, {"ask": "members"})
    if as_json:
        return print_json(said)
    for name, found in said.items():
        if found is None:
            typer.echo(f"{name}: dead")
            continue
        print_table([found["file"]] if found["file"] else [], f"{name}: file")
        print_table(found["sources"], f"{name}: sources")
        print_table(found["engines"], f"{name}: engines")
    return None


def _all(run: Path, question: dict[str, Any], as_json: bool) -> None:
    """Asks every router; exit 1 if one is dead or did not take it."""
    said = _ask(run, question)
    rows = [
        {
            "router": name,
            "taken": bool(found and found.get("taken")),
            "why": (found.get("why") or found.get("error", "")) if found else "dead",
            "digest": found.get("digest") if found else None,
            "generation": found.get("generation") if found else None,
        }
        for name, found in said.items()
    ]
    print_json(rows) if as_json else print_table(rows, "routers")
    if not all(row["taken"] for row in rows):
        raise typer.Exit(1)


@app.command()
def apply(
    file: Annotated[str, typer.Argument(help="File of engines; left out: what is held back.")] = "",
    confirm: Annotated[str, typer.Option(help="Digest of a listing that takes much away.")] = "",
    run: RunDir = DEFAULT_RUN,
    as_json: AsJson = False,
) -> None:
    """Have every router take a file of engines, or confirm the one that it holds back."""
    question: dict[str, Any] = {"ask": "apply", "confirm": confirm}
    if file:
        try:
            question["text"] = Path(file).read_text()
        except (OSError, UnicodeDecodeError) as problem:
            typer.echo(f"{file}: can't be read: {problem}", err=True)
            raise typer.Exit(2) from None
    _all(run, question, as_json)


@app.command("drain-engines")
def drain_engines(
    selector: Annotated[
        str, typer.Argument(help="Names, zone:A, cell:3, kind:K, with commas; none: progress.")
    ] = "",
    limit: Annotated[str, typer.Option(help="Streams that would outlive this are moved, such as 30s.")] = "",
    undo: bool = False,
    force: Annotated[bool, typer.Option(help="Also where no writer would be left.")] = False,
    run: RunDir = DEFAULT_RUN,
    as_json: AsJson = False,
) -> None:
    """Have every router drain engines, take that back, or tell how far it is; exit 1 if one did not."""
    from lifthead.deployment.durations import micros

    question: dict[str, Any] = {"ask": "drain engines", "undo": undo, "force": force}
    if selector:
        question["selector"] = selector
    try:
        question["limit"] = micros(limit) if limit else 0
    except ValueError as problem:
        typer.echo(f"--limit: {problem}", err=True)
        raise typer.Exit(2) from None
    question["limit"] = int(question["limit"])
    said = _ask(run, question)
    if as_json:
        print_json(said)
    for name, found in said.items() if not as_json else ():
        if found is None or not found["taken"]:
            typer.echo(f"{name}: {found['why'] if found else 'dead'}")
        else:
            print_table(found["engines"], f"{name}: draining")
    if not all(found and found["taken"] for found in said.values()):
        raise typer.Exit(1)


@app.command()
def roll(
    selector: Annotated[
        str, typer.Argument(help="Engines: names, zone:A, cell:3, kind:K, with commas; `-`: none.")
    ] = "",
    restart: Annotated[str, typer.Option(help="Command that restarts an engine; {name} is its name.")] = "",
    routers: Annotated[str, typer.Option(help="Routers after the engines: names with commas, or all.")] = "",
    restart_router: Annotated[str, typer.Option(help="Command that restarts a router.")] = "",
    floor: Annotated[float, typer.Option(min=0, max=1, help="Part of each role that serves on.")] = 0.7,
    at_once: Annotated[int, typer.Option(min=1, help="Engines away at a time, at most.")] = 1,
    limit: Annotated[str, typer.Option(help="Streams that would outlive this are moved, such as 30s.")] = "",
    pause_over: Annotated[float, typer.Option(help="Share of missed answers that pauses the roll.")] = 0.1,
    back_within: Annotated[str, typer.Option(help="Time for an engine to come back.")] = "60s",
    resume: Annotated[bool, typer.Option("--resume", help="Go on with a roll that was begun.")] = False,
    forget: Annotated[bool, typer.Option("--forget", help="Drop a begun roll; drains stay.")] = False,
    run: RunDir = DEFAULT_RUN,
    as_json: AsJson = False,
) -> None:
    """Restart engines and routers in turn, drained before and cold after; exit 1 if it could not go on."""
    from lifthead.deployment.durations import micros
    from lifthead.members import rolling
    from lifthead.members.drains import SelectorError, select_by_labels
    from lifthead.members.roll import Plan, refusal

    async def play(place: rolling.RollFile) -> str:
        kept = place.read()
        if forget:
            place.forget()
            return ""
        if resume != (kept is not None):
            raise rolling.RollBusyError(
                f"{place.path}: a roll is not over: --resume or --forget" if kept else "no roll to resume"
            )
        if kept is None:
            lookout = rolling.FleetObserver(run)
            facts = await lookout.observe()
            engines = [] if selector == "-" else select_by_labels(selector, lookout.labels)
            chosen = sorted(facts.routers) if routers == "all" else [*filter(None, routers.split(","))]
            if (engines and not restart) or (chosen and not restart_router):
                raise ValueError("expected --restart for engines and --restart-router for routers")
            plan = Plan(
                engines, chosen, floor, at_once, int(micros(limit)) if limit else 0, pause_over,
                int(micros(back_within)),
            )  # fmt: skip
            if why := refusal(plan, facts):
                raise ValueError(why)
            kept = rolling.SavedRoll(plan, restart, restart_router)
        return await rolling.RollRunner(run, place, kept, say).run()

    def say(text: str) -> None:
        print_json({"said": text}) if as_json else typer.echo(text)

    try:
        run.mkdir(parents=True, exist_ok=True)
        with rolling.RollFile(run) as place:
            failed = asyncio.run(play(place))
    except (rolling.RollBusyError, SelectorError, ValueError, OSError) as problem:
        typer.echo(str(problem), err=True)
        raise typer.Exit(2) from None
    if failed:
        typer.echo(f"stopped: {failed}; mend it, then --resume", err=True)
        raise typer.Exit(1)


@app.command()
def restart(name: str, run: RunDir = DEFAULT_RUN) -> None:
    """Restart an engine or router of `lifthead up`; returns once it is up."""
    from lifthead.fleet import admin

    try:
        said = asyncio.run(admin.ask(run / STAGE, {"ask": "restart", "name": name}, 90.0))
    except (OSError, TimeoutError) as problem:
        typer.echo(f"{run / STAGE}: no answer: {problem!r}", err=True)
        raise typer.Exit(1) from None
    if why := said.get("error"):
        typer.echo(why, err=True)
        raise typer.Exit(1)


@app.command()
def rollback(
    to: Annotated[int, typer.Option(help="Generation; left out: the one before.")] = 0,
    run: RunDir = DEFAULT_RUN,
    as_json: AsJson = False,
) -> None:
    """Have every router go back to an earlier generation of its file of engines."""
    _all(run, {"ask": "rollback", "to": to}, as_json)


@app.command()
def diff(file: Path, now: Path, settings: Path, as_json: AsJson = False) -> None:
    """What taking FILE in place of NOW would do; exit 1 if it would be refused or held back."""
    from lifthead.members.listing import compare_listings, make_listing

    fleet = _fleet(settings)
    try:
        then, before = (make_listing(script.engines(path.read_text(), str(path))) for path in (file, now))
    except (script.ScriptError, OSError, UnicodeDecodeError) as problem:
        typer.echo(str(problem), err=True)
        raise typer.Exit(2) from None
    found = compare_listings(before, then, fleet)
    if as_json:
        print_json(found.as_dict() | {"digest": then.digest})
    else:
        print_table(
            [{"what": key, "engines": str(value)} for key, value in found.as_dict().items()],
            f"digest {then.digest}",
        )
    if found.refusal or found.confirmation_reason:
        raise typer.Exit(1)


@app.command()
def drain(name: str, run: RunDir = DEFAULT_RUN, undo: bool = False, as_json: AsJson = False) -> None:
    """Have a router take no more reqs; balancers are told `drain`."""
    _one(run, name, {"ask": "drain", "undo": undo}, as_json)


@app.command()
def stop(name: str, run: RunDir = DEFAULT_RUN, as_json: AsJson = False) -> None:
    """Have a router answer all it holds and exit."""
    _one(run, name, {"ask": "stop"}, as_json)


@app.command()
def up(file: Path, run: RunDir = DEFAULT_RUN, seed: int = 1, as_json: AsJson = False) -> None:
    """Start stand-in engines, a pushed list and the routers of a script; run until SIGTERM."""
    import functools
    import signal

    from lifthead.fleet import admin
    from lifthead.standins.stage import Stage

    async def hold() -> None:
        fleet = _fleet(file)
        run.mkdir(parents=True, exist_ok=True)
        stage, over = Stage(fleet, file.resolve(), run, seed), asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, over.set)
        try:
            await stage.start()
            handler = functools.partial(admin.serve, {"restart": stage.restart})
            desk = await asyncio.start_unix_server(handler, str(run / STAGE))
            line = stage.line()
            (run / "up.json").write_bytes(msgspec.json.encode(line))
            if as_json:
                print(msgspec.json.encode(line).decode(), flush=True)
            else:
                print_table(line["routers"], "routers")
                print_table(line["engines"], "engines")
            await over.wait()
            desk.close()
            (run / STAGE).unlink(missing_ok=True)
            await stage.close()
        finally:
            await stage.abandon()

    asyncio.run(hold())


@app.command()
def day(
    file: Path,
    out: Annotated[Path, typer.Option(help="Directory for the traffic records.")],
    seed: int = 1,
    as_json: AsJson = False,
) -> None:
    """Play a scripted day on real processes and check the rules; exit 1 if one is broken."""
    from lifthead.standins import day as days

    fleet = _fleet(file)
    try:
        summary = asyncio.run(days.play(fleet, file, out, seed))
    except ValueError as problem:
        typer.echo(f"{file}: {problem}", err=True)
        raise typer.Exit(2) from None
    print_json(summary) if as_json else print_table(
        [{"what": key, "figure": str(value)} for key, value in summary.items()], f"{file.name}, seed {seed}"
    )
    if summary["breaches"]:
        raise typer.Exit(1)


@app.command()
def verify(directory: Path, as_json: AsJson = False) -> None:
    """Check the five rules from a day's traffic records alone; exit 1 if one is broken."""
    from lifthead.standins import verify as checker

    try:
        traffic = checker.read(directory)
        found = checker.breaches(traffic)
    except (OSError, KeyError) as problem:
        typer.echo(f"{directory}: not a day's records: {problem!r}", err=True)
        raise typer.Exit(2) from None
    counts = {str(rule): sum(breach.rule == rule for breach in found) for rule in range(1, 6)}
    if as_json:
        print_json(
            {
                "reqs": len(traffic.asks),
                "forwards": sum(map(len, traffic.forwards.values())),
                "breaches": {rule: count for rule, count in counts.items() if count},
            }
        )
    else:
        for breach in found:
            typer.echo(f"rule {breach.rule}, {breach.req}: {breach.why}")
            for line in breach.lines:
                typer.echo(f"    {msgspec.json.encode(line).decode()}")
        print_table(
            [{"rule": rule, "breaches": count} for rule, count in counts.items()], f"{len(traffic.asks)} reqs"
        )
    if found:
        raise typer.Exit(1)


if __name__ == "__main__":
    sys.exit(main())

"""The `lifthead` command. Each sub-command calls its package and prints the result.

Exit codes: 0 success; 1 a negative result (a rule is broken, a router is dead); 2 wrong usage or settings.
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
RunDir = Annotated[Path, typer.Option("--run", help="Run directory, with the admin sockets and records.")]
AsJson = Annotated[bool, typer.Option("--json", help="Print one JSON document, for scripts.")]
DEFAULT_RUN = Path(".lifthead")
TEST_FLEET_SOCKET = "stage.ctl"  # admin socket of `up`, in the run directory


def main() -> None:
    app()


def _read_settings(path: Path) -> Fleet:
    try:
        return script.read(path)
    except script.ScriptError as problem:
        typer.echo(str(problem), err=True)
        raise typer.Exit(2) from None


@app.command()
def check(file: Path, as_json: AsJson = False) -> None:
    """Print the settings of a script and the values that are derived from them."""
    fleet = _read_settings(file)
    derived = {name: derive.printable(derive.deployment(fleet, name, 0)) for name in fleet.routers}
    if as_json:
        return print_json({"fleet": fleet, "derived": derived})
    for title, part in (
        ("engines", fleet.engines),
        ("request classes", fleet.groups),
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
        "derived settings of a router",
    )
    return None


@app.command()
def serve(
    file: Path,
    router: Annotated[
        str, typer.Option(help="Which router() of the file to run; may be left out if there is only one.")
    ] = "",
    engine_list: Annotated[
        str,
        typer.Option(
            "--list", help="URL of a service that pushes the list of engines; default: the file's engines."
        ),
    ] = "",
    engines_file: Annotated[
        str,
        typer.Option(
            "--engines", help="File of engines to watch; each version is applied whole or not at all."
        ),
    ] = "",
    run: RunDir = DEFAULT_RUN,
    log: Annotated[str, typer.Option(help="File for the log; default: standard error.")] = "",
    take_over: Annotated[
        bool,
        typer.Option(
            "--take-over", help="Take over the sockets of a running router, which finishes its streams."
        ),
    ] = False,
    seed: Annotated[int, typer.Option(help="Seed of the random numbers in decisions; 0: a random seed.")] = 0,
) -> None:
    """Run one router until SIGTERM; then finish its pending requests and exit 0."""
    from lifthead.daemon import serve as daemon
    from lifthead.ledger.writer import LockedError

    fleet = _read_settings(file)
    name = router or (next(iter(fleet.routers)) if len(fleet.routers) == 1 else "")
    if name not in fleet.routers:
        typer.echo(f"--router: expected one of {list(fleet.routers)}", err=True)
        raise typer.Exit(2)
    logger, drawn_seed = daemon.configure_logging(log or None), seed or secrets.randbits(63)
    watched = Path(engines_file) if engines_file else None
    problems: list[str] = []
    try:
        asyncio.run(daemon.serve(
            fleet, name, engine_list, run, drawn_seed, logger, engine_file=watched, take_over=take_over
        ))  # fmt: skip
    except* (LockedError, OSError) as group:  # another process uses the port or the ledger
        problems = [str(problem) for problem in group.exceptions]
    if problems:
        typer.echo(f"{name}: {problems[0]}", err=True)
        raise typer.Exit(2)


@app.command()
def engine(
    file: Path,
    name: str,
    address: Annotated[
        str, typer.Option(help="Address to listen on; with port 0 the system chooses a port.")
    ] = "127.0.0.1:0",
    cold: Annotated[bool, typer.Option(help="Start with a cold engine.")] = False,
    record: Annotated[str, typer.Option(help="File for the traffic record.")] = "",
    seed: int = 1,
) -> None:
    """Run one stand-in engine of a settings script until SIGTERM."""
    from lifthead.standins import engine as standin

    fleet = _read_settings(file)
    if name not in fleet.engines:
        typer.echo(f"expected one of {list(fleet.engines)}", err=True)
        raise typer.Exit(2)
    import os

    def say(at: str) -> None:
        print(msgspec.json.encode({"name": name, "address": at, "pid": os.getpid()}).decode(), flush=True)

    asyncio.run(standin.run(fleet, name, address, cold, record or None, seed, say))


def _ask_routers(run: Path, question: dict[str, Any], only: str = "") -> dict[str, Any]:
    from lifthead.fleet import admin

    paths = {name: path for name, path in admin.socket_paths(run).items() if not only or name == only}
    if not paths:
        typer.echo(
            f"{run}: no router{f' {only!r}' if only else ''} there, expected its admin socket NAME.sock",
            err=True,
        )
        raise typer.Exit(2)
    return asyncio.run(admin.ask_all(paths, question))


def _ask_one(run: Path, name: str, question: dict[str, Any], as_json: bool) -> None:
    answer = _ask_routers(run, question, name)[name]
    if answer is None:
        typer.echo(f"{name}: dead or not answering", err=True)
        raise typer.Exit(1)
    print_json(answer) if as_json else print_table([answer], name)


@app.command()
def routers(run: RunDir = DEFAULT_RUN, as_json: AsJson = False) -> None:
    """Show each router and its state; exit 1 if one is dead."""
    answers = _ask_routers(run, {"ask": "state"})
    rows = [{"name": name, "state": "dead"} if state is None else state for name, state in answers.items()]
    if as_json:
        print_json(rows)
    else:
        shown = ("name", "zone", "state", "reqs", "connections", "engines", "list_age_s", "pid", "base_url")
        print_table([{key: row.get(key) for key in shown} for row in rows], "routers")
    if any(state is None for state in answers.values()):
        raise typer.Exit(1)


@app.command()
def engines(
    run: RunDir = DEFAULT_RUN,
    router: Annotated[str, typer.Option(help="Show only the view of this router.")] = "",
    as_json: AsJson = False,
) -> None:
    """Show each router's view of the engines."""
    answers = _ask_routers(run, {"ask": "engines"}, router)
    if as_json:
        return print_json(answers)
    for name, rows in answers.items():
        print_table(rows or [], f"{name} {'(dead)' if rows is None else ''}")
    return None


@app.command()
def members(run: RunDir = DEFAULT_RUN, as_json: AsJson = False) -> None:
    """Show each router's sources of engines: the file's generation, what is held back, each source's list."""
    answers = _ask_routers(run, {"ask": "members"})
    if as_json:
        return print_json(answers)
    for name, answer in answers.items():
        if answer is None:
            typer.echo(f"{name}: dead")
            continue
        print_table([answer["file"]] if answer["file"] else [], f"{name}: file")
        print_table(answer["sources"], f"{name}: sources")
        print_table(answer["engines"], f"{name}: engines")
    return None


def _change_all(run: Path, question: dict[str, Any], as_json: bool) -> None:
    """Sends a change to every router; exit 1 if one is dead or refuses it."""
    answers = _ask_routers(run, question)
    rows = [
        {
            "router": name,
            "taken": bool(answer and answer.get("taken")),
            "why": (answer.get("why") or answer.get("error", "")) if answer else "dead",
            "digest": answer.get("digest") if answer else None,
            "generation": answer.get("generation") if answer else None,
        }
        for name, answer in answers.items()
    ]
    print_json(rows) if as_json else print_table(rows, "routers")
    if not all(row["taken"] for row in rows):
        raise typer.Exit(1)


@app.command()
def apply(
    file: Annotated[str, typer.Argument(help="File of engines; default: the file that is held back.")] = "",
    confirm: Annotated[str, typer.Option(help="Digest of a file that removes many engines.")] = "",
    run: RunDir = DEFAULT_RUN,
    as_json: AsJson = False,
) -> None:
    """Apply a file of engines on every router, or confirm the one that is held back."""
    question: dict[str, Any] = {"ask": "apply", "confirm": confirm}
    if file:
        try:
            question["text"] = Path(file).read_text()
        except (OSError, UnicodeDecodeError) as problem:
            typer.echo(f"{file}: can't be read: {problem}", err=True)
            raise typer.Exit(2) from None
    _change_all(run, question, as_json)


@app.command("drain-engines")
def drain_engines(
    selector: Annotated[
        str,
        typer.Argument(
            help="Names, zone:A, cell:3 or kind:K, separated by commas; default: show the progress."
        ),
    ] = "",
    limit: Annotated[
        str, typer.Option(help="Time limit such as 30s; streams that would run longer are moved.")
    ] = "",
    undo: bool = False,
    force: Annotated[bool, typer.Option(help="Drain even if no decode engine would be left.")] = False,
    run: RunDir = DEFAULT_RUN,
    as_json: AsJson = False,
) -> None:
    """Drain engines on every router, undo that, or show the progress; exit 1 if a router did not."""
    from lifthead.deployment.durations import parse_duration

    question: dict[str, Any] = {"ask": "drain engines", "undo": undo, "force": force}
    if selector:
        question["selector"] = selector
    try:
        question["limit"] = parse_duration(limit) if limit else 0
    except ValueError as problem:
        typer.echo(f"--limit: {problem}", err=True)
        raise typer.Exit(2) from None
    question["limit"] = int(question["limit"])
    answers = _ask_routers(run, question)
    if as_json:
        print_json(answers)
    for name, answer in answers.items() if not as_json else ():
        if answer is None or not answer["taken"]:
            typer.echo(f"{name}: {answer['why'] if answer else 'dead'}")
        else:
            print_table(answer["engines"], f"{name}: draining")
    if not all(answer and answer["taken"] for answer in answers.values()):
        raise typer.Exit(1)


@app.command()
def roll(
    selector: Annotated[
        str, typer.Argument(help="Engines: names, zone:A, cell:3 or kind:K, separated by commas; `-`: none.")
    ] = "",
    restart: Annotated[
        str, typer.Option(help="Command that restarts an engine; {name} stands for its name.")
    ] = "",
    routers: Annotated[
        str, typer.Option(help="Routers to restart after the engines: names separated by commas, or all.")
    ] = "",
    restart_router: Annotated[str, typer.Option(help="Command that restarts a router.")] = "",
    floor: Annotated[
        float, typer.Option(min=0, max=1, help="Fraction of the engines of each role that must keep serving.")
    ] = 0.7,
    at_once: Annotated[int, typer.Option(min=1, help="Most engines that may be down at a time.")] = 1,
    limit: Annotated[
        str, typer.Option(help="Time limit such as 30s; streams that would run longer are moved.")
    ] = "",
    pause_over: Annotated[
        float, typer.Option(help="Share of late, rejected or failed answers that pauses the roll.")
    ] = 0.1,
    back_within: Annotated[str, typer.Option(help="Time limit for an engine to come back.")] = "60s",
    resume: Annotated[bool, typer.Option("--resume", help="Continue a roll that was interrupted.")] = False,
    forget: Annotated[
        bool, typer.Option("--forget", help="Forget an interrupted roll; its drains remain.")
    ] = False,
    run: RunDir = DEFAULT_RUN,
    as_json: AsJson = False,
) -> None:
    """Restart engines and routers in turn, with a drain before and a slow start after; exit 1 if it stops."""
    from lifthead.deployment.durations import parse_duration
    from lifthead.members import rolling
    from lifthead.members.drains import SelectorError, select_by_labels
    from lifthead.members.roll import Plan, refusal

    async def run_or_resume(roll_file: rolling.RollFile) -> str:
        saved = roll_file.read()
        if forget:
            roll_file.forget()
            return ""
        if resume != (saved is not None):
            raise rolling.RollBusyError(
                f"{roll_file.path}: a roll is not finished: use --resume or --forget"
                if saved
                else "there is no roll to resume"
            )
        if saved is None:
            observer = rolling.FleetObserver(run)
            facts = await observer.observe()
            engines = [] if selector == "-" else select_by_labels(selector, observer.labels)
            selected_routers = (
                sorted(facts.routers) if routers == "all" else [*filter(None, routers.split(","))]
            )
            if (engines and not restart) or (selected_routers and not restart_router):
                raise ValueError("expected --restart for engines and --restart-router for routers")
            plan = Plan(
                engines, selected_routers, floor, at_once, int(parse_duration(limit)) if limit else 0,
                pause_over, int(parse_duration(back_within)),
            )  # fmt: skip
            if why := refusal(plan, facts):
                raise ValueError(why)
            saved = rolling.SavedRoll(plan, restart, restart_router)
        return await rolling.RollRunner(run, roll_file, saved, print_progress).run()

    def print_progress(text: str) -> None:
        print_json({"said": text}) if as_json else typer.echo(text)

    try:
        run.mkdir(parents=True, exist_ok=True)
        with rolling.RollFile(run) as roll_file:
            failure = asyncio.run(run_or_resume(roll_file))
    except (rolling.RollBusyError, SelectorError, ValueError, OSError) as problem:
        typer.echo(str(problem), err=True)
        raise typer.Exit(2) from None
    if failure:
        typer.echo(f"stopped: {failure}; fix the cause, then use --resume", err=True)
        raise typer.Exit(1)


@app.command()
def restart(name: str, run: RunDir = DEFAULT_RUN) -> None:
    """Restart an engine or router of `lifthead up` and wait until it is up."""
    from lifthead.fleet import admin

    try:
        answer = asyncio.run(admin.ask(run / TEST_FLEET_SOCKET, {"ask": "restart", "name": name}, 90.0))
    except (OSError, TimeoutError) as problem:
        typer.echo(f"{run / TEST_FLEET_SOCKET}: no answer: {problem!r}", err=True)
        raise typer.Exit(1) from None
    if why := answer.get("error"):
        typer.echo(why, err=True)
        raise typer.Exit(1)


@app.command()
def rollback(
    to: Annotated[int, typer.Option(help="Generation; default: the previous one.")] = 0,
    run: RunDir = DEFAULT_RUN,
    as_json: AsJson = False,
) -> None:
    """Go back to an earlier generation of the file of engines on every router."""
    _change_all(run, {"ask": "rollback", "to": to}, as_json)


@app.command()
def diff(file: Path, now: Path, settings: Path, as_json: AsJson = False) -> None:
    """Show what replacing NOW by FILE would change; exit 1 if it would be refused or held back."""
    from lifthead.members.listing import compare_listings, make_listing

    fleet = _read_settings(settings)
    try:
        proposed, current = (
            make_listing(script.read_engines(path.read_text(), str(path))) for path in (file, now)
        )
    except (script.ScriptError, OSError, UnicodeDecodeError) as problem:
        typer.echo(str(problem), err=True)
        raise typer.Exit(2) from None
    changes = compare_listings(current, proposed, fleet)
    if as_json:
        print_json(changes.as_dict() | {"digest": proposed.digest})
    else:
        print_table(
            [{"what": key, "engines": str(value)} for key, value in changes.as_dict().items()],
            f"digest {proposed.digest}",
        )
    if changes.refusal or changes.confirmation_reason:
        raise typer.Exit(1)


@app.command()
def drain(name: str, run: RunDir = DEFAULT_RUN, undo: bool = False, as_json: AsJson = False) -> None:
    """Make a router accept no more requests; its health check tells balancers `drain`."""
    _ask_one(run, name, {"ask": "drain", "undo": undo}, as_json)


@app.command()
def stop(name: str, run: RunDir = DEFAULT_RUN, as_json: AsJson = False) -> None:
    """Make a router finish its pending requests and exit."""
    _ask_one(run, name, {"ask": "stop"}, as_json)


@app.command()
def up(file: Path, run: RunDir = DEFAULT_RUN, seed: int = 1, as_json: AsJson = False) -> None:
    """Start the stand-in engines, the list service and the routers of a script; run until SIGTERM."""
    import functools
    import signal

    from lifthead.fleet import admin
    from lifthead.standins.local_fleet import LocalFleet

    async def run_fleet() -> None:
        fleet = _read_settings(file)
        run.mkdir(parents=True, exist_ok=True)
        test_fleet, stop_requested = LocalFleet(fleet, file.resolve(), run, seed), asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, stop_requested.set)
        try:
            await test_fleet.start()
            handler = functools.partial(admin.serve, {"restart": test_fleet.restart})
            admin_server = await asyncio.start_unix_server(handler, str(run / TEST_FLEET_SOCKET))
            line = test_fleet.describe()
            (run / "up.json").write_bytes(msgspec.json.encode(line))
            if as_json:
                print(msgspec.json.encode(line).decode(), flush=True)
            else:
                print_table(line["routers"], "routers")
                print_table(line["engines"], "engines")
            await stop_requested.wait()
            admin_server.close()
            (run / TEST_FLEET_SOCKET).unlink(missing_ok=True)
            await test_fleet.stop()
        finally:
            await test_fleet.kill_all()

    asyncio.run(run_fleet())


@app.command()
def day(
    file: Path,
    out: Annotated[Path, typer.Option(help="Directory for the traffic records.")],
    seed: int = 1,
    as_json: AsJson = False,
) -> None:
    """Run a scripted scenario on real processes and check the rules; exit 1 if one is broken."""
    from lifthead.standins import day as scenarios

    fleet = _read_settings(file)
    try:
        summary = asyncio.run(scenarios.run_scenario(fleet, file, out, seed))
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
    """Check the five rules from the traffic records of a scenario; exit 1 if one is broken."""
    from lifthead.standins import verify as checker

    try:
        traffic = checker.read_records(directory)
        breaches = checker.find_breaches(traffic)
    except (OSError, KeyError) as problem:
        typer.echo(f"{directory}: not a day's records: {problem!r}", err=True)
        raise typer.Exit(2) from None
    counts = {str(rule): sum(breach.rule == rule for breach in breaches) for rule in range(1, 6)}
    if as_json:
        print_json(
            {
                "reqs": len(traffic.requests),
                "forwards": sum(map(len, traffic.attempts.values())),
                "breaches": {rule: count for rule, count in counts.items() if count},
            }
        )
    else:
        for breach in breaches:
            typer.echo(f"rule {breach.rule}, {breach.request}: {breach.reason}")
            for line in breach.lines:
                typer.echo(f"    {msgspec.json.encode(line).decode()}")
        print_table(
            [{"rule": rule, "breaches": count} for rule, count in counts.items()],
            f"{len(traffic.requests)} reqs",
        )
    if breaches:
        raise typer.Exit(1)


if __name__ == "__main__":
    sys.exit(main())

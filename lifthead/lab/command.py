"""`lifthead lab`: thin, as the rest of the command line. All its figures are simulated."""

import os
import sys
from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer

from lifthead.deployment.script import ScriptError

app = typer.Typer(no_args_is_help=True, help="Play fleets in simulated time. All figures are simulated.")
AsJson = Annotated[bool, typer.Option("--json", help="One JSON document, for scripts.")]
Control = Annotated[str, typer.Option(help="Another text of control.py to decide by.")]
WORKERS = os.cpu_count() or 1


def _fail(problem: object) -> typer.Exit:
    typer.echo(str(problem), err=True)
    return typer.Exit(2)


def _show(found: dict[str, Any], as_json: bool) -> None:
    if as_json:
        typer.echo(msgspec.json.encode(found, enc_hook=int).decode())
        return
    for key, value in found.items():
        typer.echo(f"{key:>16}  {value}")


@app.command()
def run(
    file: Path,
    seed: int = 1,
    records: Annotated[str, typer.Option(help="Directory for traffic records, for `lifthead verify`.")] = "",
    control: Control = "",
    as_json: AsJson = False,
) -> None:
    """Play a script's day once."""
    from lifthead.lab.run import Variant, play

    try:
        _show(play(Variant(str(file), control), seed, records), as_json)
    except (ScriptError, ValueError, OSError) as problem:
        raise _fail(problem) from None


@app.command()
def compare(
    one: Path,
    two: Path,
    control_one: Control = "",
    control_two: Control = "",
    pairs: Annotated[int, typer.Option(min=1, help="Paired seeds at most.")] = 30,
    within: Annotated[float, typer.Option(help="Half-width of the interval that is enough.")] = 0.002,
    key: Annotated[str, typer.Option(help="The figure to compare.")] = "service",
    workers: int = WORKERS,
    out: Annotated[str, typer.Option(help="Directory for days.parquet and manifest.json.")] = "",
    as_json: AsJson = False,
) -> None:
    """TWO beside ONE on paired seeds; exit 1 if TWO is worse and the interval is clear of 0."""
    from lifthead.lab import run as runs

    variants = [runs.Variant(str(one), control_one), runs.Variant(str(two), control_two)]
    try:
        found, rows = runs.compare(*variants, pairs, within, workers, key=key)
        if out:
            runs.keep(rows, Path(out), sys.argv[1:], variants)
    except (ScriptError, ValueError, OSError, KeyError) as problem:
        raise _fail(problem) from None
    means = {
        name: sum(row[key] for row in rows if row["variant"] == name) / found.pairs for name in ("A", "B")
    }
    _show(
        {"figure": key, "one": means["A"], "two": means["B"], "difference": found.mean,
         "within": found.half, "pairs": found.pairs, "differs": found.differs},
        as_json,
    )  # fmt: skip
    if found.differs and found.mean < 0:
        raise typer.Exit(1)


@app.command()
def search(
    file: Path,
    control: Control = "",
    tries: Annotated[int, typer.Option(min=1, help="Days to draw at most; shrinking plays more.")] = 100,
    most: Annotated[int, typer.Option(min=1, help="Troubles a day at most.")] = 4,
    length: Annotated[str, typer.Option(help="Of a day's arrivals.")] = "12s",
    under: Annotated[float, typer.Option(help="Service under which a day is bad.")] = 0.0,
    seed: int = 1,
    as_json: AsJson = False,
) -> None:
    """Look for a bad day and shrink it; exit 1 if there is one."""
    from lifthead.deployment.durations import parse_duration
    from lifthead.lab.run import Variant
    from lifthead.lab.search import Bounds, Found
    from lifthead.lab.search import search as look

    try:
        bounds = Bounds(most=most, length=int(parse_duration(length)), service=under)
        found = look(Variant(str(file), control), bounds, tries, seed)
    except (ScriptError, ValueError, OSError) as problem:
        raise _fail(problem) from None
    if not isinstance(found, Found):
        return _show({"tried": found, "found": "no bad day"}, as_json)
    breaches = sorted(set(found.breaches))
    _show(
        {"tried": found.tried, "service": found.service, "breaches": breaches, "day": found.script()}, as_json
    )
    raise typer.Exit(1)


@app.command()
def fit(file: Path, records: Path, seed: int = 1, as_json: AsJson = False) -> None:
    """Overheads of processes, from the RECORDS of a real quiet day of FILE, and the error that is left."""
    from lifthead.deployment import script
    from lifthead.lab.fit import fit as fitted
    from lifthead.standins import verify

    try:
        overheads, errors = fitted(verify.read_records(records), script.read(file), seed)
    except (ScriptError, ValueError, OSError, KeyError) as problem:
        raise _fail(problem) from None
    _show(
        {f"{key}_us": value for key, value in vars(overheads).items()}
        | {f"{key}_off": round(value, 3) for key, value in errors.items()},
        as_json,
    )

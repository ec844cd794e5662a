"""The command `lifthead lab`. All its figures are simulated."""

import os
import sys
from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer

from lifthead.deployment.script import ScriptError

app = typer.Typer(no_args_is_help=True, help="Run fleets in simulated time. All figures are simulated.")
JsonOption = Annotated[bool, typer.Option("--json", help="One JSON document, for scripts.")]
ControlOption = Annotated[str, typer.Option(help="Another source file of control.py to use for decisions.")]
DEFAULT_WORKERS = os.cpu_count() or 1


def _fail(error: object) -> typer.Exit:
    typer.echo(str(error), err=True)
    return typer.Exit(2)


def _show(values: dict[str, Any], as_json: bool) -> None:
    if as_json:
        typer.echo(msgspec.json.encode(values, enc_hook=int).decode())
        return
    for key, value in values.items():
        typer.echo(f"{key:>16}  {value}")


@app.command()
def run(
    file: Path,
    seed: int = 1,
    records: Annotated[str, typer.Option(help="Directory for traffic records, for `lifthead verify`.")] = "",
    control: ControlOption = "",
    as_json: JsonOption = False,
) -> None:
    """Simulate the scenario of a script once."""
    from lifthead.lab.run import Variant, simulate

    try:
        _show(simulate(Variant(str(file), control), seed, records), as_json)
    except (ScriptError, ValueError, OSError) as error:
        raise _fail(error) from None


@app.command()
def compare(
    one: Path,
    two: Path,
    control_one: ControlOption = "",
    control_two: ControlOption = "",
    pairs: Annotated[int, typer.Option(min=1, help="Maximum number of paired seeds.")] = 30,
    within: Annotated[
        float, typer.Option(help="Stop at this half-width of the confidence interval.")
    ] = 0.002,
    key: Annotated[str, typer.Option(help="The figure to compare.")] = "service",
    workers: int = DEFAULT_WORKERS,
    out: Annotated[str, typer.Option(help="Directory for days.parquet and manifest.json.")] = "",
    as_json: JsonOption = False,
) -> None:
    """Compare TWO with ONE on paired seeds; exit 1 if TWO is worse and the interval excludes 0."""
    from lifthead.lab import run as experiments

    variants = [experiments.Variant(str(one), control_one), experiments.Variant(str(two), control_two)]
    try:
        interval, rows = experiments.compare(*variants, pairs, within, workers, key=key)
        if out:
            experiments.save_results(rows, Path(out), sys.argv[1:], variants)
    except (ScriptError, ValueError, OSError, KeyError) as error:
        raise _fail(error) from None
    means = {
        name: sum(row[key] for row in rows if row["variant"] == name) / interval.pairs for name in ("A", "B")
    }
    _show(
        {
            "figure": key,
            "one": means["A"],
            "two": means["B"],
            "difference": interval.mean,
            "within": interval.half_width,
            "pairs": interval.pairs,
            "differs": interval.differs,
        },
        as_json,
    )
    if interval.differs and interval.mean < 0:
        raise typer.Exit(1)


@app.command()
def search(
    file: Path,
    control: ControlOption = "",
    tries: Annotated[
        int, typer.Option(min=1, help="Maximum number of scenarios to generate; shrinking runs more.")
    ] = 100,
    most: Annotated[int, typer.Option(min=1, help="Maximum number of faults in a scenario.")] = 4,
    length: Annotated[str, typer.Option(help="How long clients arrive in a scenario.")] = "12s",
    under: Annotated[float, typer.Option(help="Service under which a scenario is bad.")] = 0.0,
    seed: int = 1,
    as_json: JsonOption = False,
) -> None:
    """Search for a bad scenario and shrink it; exit 1 if there is one."""
    from lifthead.deployment.durations import parse_duration
    from lifthead.lab.run import Variant
    from lifthead.lab.search import BadScenario, Bounds
    from lifthead.lab.search import search as find_bad_scenario

    try:
        bounds = Bounds(max_faults=most, arrival_duration=int(parse_duration(length)), min_service=under)
        found = find_bad_scenario(Variant(str(file), control), bounds, tries, seed)
    except (ScriptError, ValueError, OSError) as error:
        raise _fail(error) from None
    if not isinstance(found, BadScenario):
        return _show({"tried": found, "found": "no bad scenario"}, as_json)
    violations = sorted(set(found.violations))
    _show(
        {
            "tried": found.scenarios_tried,
            "service": found.service,
            "breaches": violations,
            "day": found.script(),
        },
        as_json,
    )
    raise typer.Exit(1)


@app.command()
def fit(file: Path, records: Path, seed: int = 1, as_json: JsonOption = False) -> None:
    """Fit process overheads to the RECORDS of a real quiet scenario of FILE; show the remaining error."""
    from lifthead.deployment import script
    from lifthead.lab.fit import fit as fit_overheads
    from lifthead.standins import verify

    try:
        overheads, errors = fit_overheads(verify.read_records(records), script.read(file), seed)
    except (ScriptError, ValueError, OSError, KeyError) as error:
        raise _fail(error) from None
    _show(
        {f"{key}_us": value for key, value in vars(overheads).items()}
        | {f"{key}_off": round(value, 3) for key, value in errors.items()},
        as_json,
    )

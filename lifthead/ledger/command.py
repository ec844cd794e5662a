"""`lifthead ledger`: reads and corrects a router's ledger while that router does not run.

Exit codes are those of `lifthead.cli`.
"""

import asyncio
import time
from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer

from lifthead.output import print_json, print_table

AsJson = Annotated[bool, typer.Option("--json", help="One JSON document, for scripts.")]
app = typer.Typer(no_args_is_help=True, help="A router's ledger, while that router does not run.")
LedgerDir = Annotated[Path, typer.Option("--dir", help="The ledger's directory.")]
DEFAULT_LEDGER = Path(".lifthead/ledger")


def _open(path: Path) -> Any:
    from lifthead.ledger.writer import LockedError, open_journal

    if not path.is_dir():
        typer.echo(f"{path}: no ledger in this directory", err=True)
        raise typer.Exit(2)
    try:
        return open_journal(path)
    except LockedError as problem:
        typer.echo(str(problem), err=True)
        raise typer.Exit(2) from None


def _enter(journal: Any, entry: Any, as_json: bool) -> None:
    """Appends an operator's entry to a ledger; exit 2 if it does not fit."""
    from lifthead.ledger.book import RefusedError

    try:
        journal.book.check(entry)
        journal.append([entry])
    except (RefusedError, OSError) as problem:
        typer.echo(str(problem), err=True)
        raise typer.Exit(2) from None
    print_json(entry) if as_json else print_table([msgspec.to_builtins(entry)], "entered")


@app.command()
def show(directory: LedgerDir = DEFAULT_LEDGER, as_json: AsJson = False) -> None:
    """Totals by period, tenant and request class, and what is closed and exported."""
    journal = _open(directory)
    rows = [
        {"period": period, "tenant": tenant, "group": group, **msgspec.to_builtins(each)}
        for (period, tenant, group), each in sorted(journal.book.sums.items())
    ]
    if as_json:
        return print_json(
            {
                "ledger": journal.name,
                "entries": journal.book.last,
                "exported": journal.book.exported,
                "closed": sorted(journal.book.closed),
                "missing": journal.missing,
                "sums": rows,
            }
        )
    return print_table(
        rows, f"ledger {journal.name}: {journal.book.last} entries, {journal.book.exported} exported"
    )


@app.command()
def close(period: str, directory: LedgerDir = DEFAULT_LEDGER, as_json: AsJson = False) -> None:
    """Close a period: it gets no more entries; late ones count in the next period."""

    from lifthead.ledger.entries import Closed

    journal, at = _open(directory), time.time_ns() // 1000
    _enter(journal, Closed(id=f"{journal.name}-close-{period}", at=at, period=period), as_json)


@app.command()
def correct(
    tenant: Annotated[str, typer.Argument()] = "",
    group: Annotated[str, typer.Argument()] = "",
    of: Annotated[str, typer.Option(help="The corrected period, which may be closed.")] = "",
    reqs: int = 0,
    prompt: int = 0,
    answer: int = 0,
    why: Annotated[str, typer.Option(help="The reason, stored in the entry.")] = "",
    reverses: Annotated[str, typer.Option(help="Id of a correction to reverse.")] = "",
    zone: Annotated[str, typer.Option(help="Time zone of the periods.")] = "UTC",
    by: Annotated[str, typer.Option(help="month or day.")] = "month",
    directory: LedgerDir = DEFAULT_LEDGER,
    as_json: AsJson = False,
) -> None:
    """Enter a correction in the open period, or reverse one."""
    import uuid

    from lifthead.ledger.book import RefusedError
    from lifthead.ledger.entries import Correction, period_of

    journal, at = _open(directory), time.time_ns() // 1000
    correction_id, current_period = f"{journal.name}-fix-{uuid.uuid4().hex[:12]}", period_of(at, zone, by)
    if not why or not (reverses or (tenant and group and of)):
        typer.echo(
            "correct: expected TENANT GROUP --of PERIOD --why TEXT, or --reverses ID --why TEXT", err=True
        )
        raise typer.Exit(2)
    if reverses:
        try:
            entry = journal.book.reversal(reverses, correction_id, at, current_period, why)
        except RefusedError as problem:
            typer.echo(str(problem), err=True)
            raise typer.Exit(2) from None
    else:
        entry = Correction(
            id=correction_id,
            at=at,
            period=journal.book.open_period(current_period),
            of_period=of,
            tenant=tenant,
            group=group,
            reqs=reqs,
            prompt=prompt,
            answer=answer,
            why=why,
        )
    _enter(journal, entry, as_json)


@app.command("export")
def export_(
    to: Annotated[str, typer.Option(help="A directory, or the URL of a billing system.")],
    directory: LedgerDir = DEFAULT_LEDGER,
    as_json: AsJson = False,
) -> None:
    """Export what has not been accepted yet; exit 1 if a batch was not accepted."""

    from lifthead.ledger import export, writer

    journal, batches = _open(directory), []
    while True:
        planned, data, manifest = writer.plan_batch(journal, time.time_ns() // 1000)
        if planned is None:
            break
        if to.startswith("http://"):
            if not asyncio.run(export.deliver(to, data, manifest)):
                typer.echo(f"batch {planned.id} was not accepted: run the command again", err=True)
                raise typer.Exit(1)
        else:
            export.write_files(Path(to), data, manifest)
        writer.record_delivery(journal, planned, time.time_ns() // 1000)
        batches.append(manifest)
    print_json(batches) if as_json else print_table(batches, "landed")


@app.command()
def reconcile(
    exports: Annotated[list[Path], typer.Argument(help="Batches (Parquet) of any routers.")],
    engines: Annotated[list[Path], typer.Option("--engine", help="Usage records of engines (JSON lines).")],
    as_json: AsJson = False,
) -> None:
    """Compare exports with the engines' own counts; exit 1 if a difference is not explained."""
    from lifthead.ledger import export
    from lifthead.ledger.reconcile import ConflictError, MergedEntries, compare
    from lifthead.standins.record import lines

    merged = MergedEntries()
    try:
        for path in exports:
            merged.add(export.read_entries(path))
        decoded = {
            line["id"]: line["tokens"] for path in engines for line in lines(path) if line["ev"] == "wrote"
        }
    except (ConflictError, OSError, ValueError) as problem:
        typer.echo(str(problem), err=True)
        raise typer.Exit(2) from None
    report = compare(merged, decoded)
    sums = [
        {
            "period": period,
            "tenant": tenant,
            "reqs": counts[0],
            "prompt": counts[1],
            "answer": counts[2],
            "agree": report.agree.get(tenant, 0),
        }
        for (period, tenant), counts in sorted(merged.sums().items())
    ]
    differ = [
        {
            "req": each.request_id,
            "tenant": each.tenant,
            "ours": each.ours,
            "theirs": each.theirs,
            "why": each.why,
        }
        for each in report.differ
    ]
    if as_json:
        print_json({"sums": sums, "differ": differ})
    else:
        print_table(sums, "billed")
        print_table(differ, "differences")
    if any(each.why in ("not explained", "an engine's count is missing") for each in report.differ):
        raise typer.Exit(1)


@app.command("verify")
def verify_ledger(directory: LedgerDir = DEFAULT_LEDGER, as_json: AsJson = False) -> None:
    """Read a whole ledger; exit 1 if entries are missing."""
    journal = _open(directory)
    summary = {"ledger": journal.name, "entries": journal.book.last, "missing": journal.missing}
    print_json(summary) if as_json else print_table([summary], str(directory))
    if journal.missing:
        raise typer.Exit(1)

"""Output of the command line: tables for people, one JSON document for scripts."""

from typing import Any

import msgspec
import typer
from rich.console import Console
from rich.table import Table


def print_json(value: Any) -> None:
    """Prints one JSON document to standard output."""
    typer.echo(msgspec.json.encode(value, enc_hook=int).decode())


def print_table(rows: list[dict[str, Any]], title: str) -> None:
    """Prints a table; all rows have the same keys, which become the column headings."""
    table = Table(title=title, title_justify="left")
    for column in rows[0] if rows else ():
        table.add_column(column.replace("_", " "))
    for row in rows:
        table.add_row(
            *(
                "-" if value is None else f"{value:.1f}" if isinstance(value, float) else str(value)
                for value in row.values()
            )
        )
    Console().print(table)

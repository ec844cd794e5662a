"""Names that leave the process stay: what clients, engines, peers, operators and stored files know by name.

tests/outer_names.txt lists them by the file that uses them, with the sentences that clients are sent and that
metrics show. A rename inside the program that takes one along breaks a protocol, a settings file, a stored
record or an operator's dashboard without any other sign.
"""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
LIST = Path(__file__).parent / "outer_names.txt"


def names_by_file():
    """The names of each file of the list, in the order of the list."""
    found, file = {}, None
    for line in LIST.read_text().splitlines():
        if line.startswith("# "):
            file = line[2:]
            found[file] = []
        elif line:
            found[file].append(line)
    return found


@pytest.mark.parametrize("file", names_by_file())
def test_outer_names_stand_in_the_file_that_uses_them(file):
    text = (ROOT / file).read_text()
    missing = [
        name for name in names_by_file()[file] if not re.search(rf"(?<!\w){re.escape(name)}(?!\w)", text)
    ]
    assert not missing

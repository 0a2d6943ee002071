"""Makes scratch copies of the repository with one mechanism switched off.

`python -m bench ablate` lists the mechanisms; with a name and a new folder it clones
the repository there, switches the mechanism off and commits it, so
that the users' bench can measure the copy. The product itself has no such switches.
"""

import pathlib
import subprocess
import typing

ROOT = pathlib.Path(__file__).resolve().parent.parent


class Edit(typing.NamedTuple):
    """Replacement that switches a mechanism off.

    Attributes
    ----------
    text : str
        Text that occurs exactly once in the sources.
    replacement : str
        Text in its place.
    """

    text: str
    replacement: str


MECHANISMS = {
    "hedges": Edit(
        "call.possible_runs >= exchange.route.attempts_max\n"
        "            or now >= exchange.deadline",
        "True",
    ),
    "hedges after 2.5 medians": Edit("\nMEDIAN_FACTOR = 2.5", "\nMEDIAN_FACTOR = 1.8"),
    "score: slowness": Edit("score = standing.slowness *", "score = 1.0 *"),
    "score: load": Edit("(1 + standing.in_flight / max(1, standing.slots))", "1.0"),
    "score: errors": Edit("\nERROR_FACTOR = 12.0", "\nERROR_FACTOR = 0.0"),
    "score: stalls": Edit("\nSTALL_PENALTY = 6.0", "\nSTALL_PENALTY = 0.0"),
    "score: zone": Edit("\nOTHER_ZONE_PENALTY = 3.0", "\nOTHER_ZONE_PENALTY = 0.0"),
    "pauses count once": Edit("ratio > 1.0 and started <= self.observed_at", "False"),
    "batches": Edit("\nBATCH_SHARDS_MIN = 3", "\nBATCH_SHARDS_MIN = 10_000"),
    "answer before the objective": Edit(
        "partial_at <= now < objective_at or now >= late_at", "now >= late_at"
    ),
    "wait for full servers": Edit(
        "if self._can_wait_for_server(now, exchange, call):\n",
        "if False:\n",
    ),
    "queue at full servers": Edit(
        "\nSERVER_QUEUE_MAX = 1\n", "\nSERVER_QUEUE_MAX = 10_000\n"
    ),
    "pause after a shed request": Edit("\nSHED_PAUSE_S = 0.05", "\nSHED_PAUSE_S = 0.0"),
    "budget for failed requests": Edit("\nHEDGE_SHARE = 0.7", "\nHEDGE_SHARE = 1.0"),
    "strong instances are advertised": Edit(
        "chosen = local[: _count_sufficient(local, load)]", "chosen = local"
    ),
    "digests of the zone only": Edit(
        "not near and member.zone != self.own.zone", "False"
    ),
    "pause between reads": Edit("\nPAUSE_SHARE = 0.15", "\nPAUSE_SHARE = 0.0"),
}


class AblationError(Exception):
    """A mechanism is unknown, or its text is not in the sources exactly once."""


def find_source(edit: Edit, root: pathlib.Path) -> pathlib.Path:
    """Return the only source file that holds the text of an edit.

    Raises
    ------
    AblationError
        No file or several files hold it, or one holds it several times.
    """
    found = []
    for folder in ("acacialatch", "platform"):
        for path in sorted((root / folder).rglob("*.py")):
            found += [path] * path.read_text().count(edit.text)
    if len(found) != 1:
        raise AblationError(f"{edit.text.strip()!r} occurs {len(found)} times")
    return found[0]


def make_copy(name: str = "", folder: str = "") -> None:
    """Clone the repository without a mechanism; without a name, list the mechanisms.

    Parameters
    ----------
    name : str
        Key of `MECHANISMS`.
    folder : str
        New folder of the copy.

    Raises
    ------
    AblationError
        The mechanism is unknown or not in the sources.
    subprocess.CalledProcessError
        Git failed.
    """
    if not name:
        print("\n".join(MECHANISMS))
        return
    if name not in MECHANISMS:
        raise AblationError(f"{name!r} is no mechanism; allowed: {list(MECHANISMS)}")
    subprocess.run(["git", "clone", "--quiet", str(ROOT), folder], check=True)
    edit = MECHANISMS[name]
    path = find_source(edit, pathlib.Path(folder))
    path.write_text(path.read_text().replace(edit.text, edit.replacement))
    subprocess.run(
        ["git", "-C", folder, "commit", "--quiet", "-am", f"Trial: without {name}"],
        check=True,
    )

"""Generates the example configuration texts at the sizes of both deployments.

Run from the root of the repository: `python -m examples.generate`.
"""

import pathlib
import typing

DIRECTORY = pathlib.Path(__file__).resolve().parent
FIRST_PORT = 7001


class Shape(typing.NamedTuple):
    """Limits of the backend servers of one or more groups; times in milliseconds."""

    name: str
    slots: int
    connections: int
    connect_ms: int
    cold_requests: int


class Group(typing.NamedTuple):
    """Leaf services that share one index, each with the same number of replicas."""

    index: str
    keys: int
    services: int
    replicas: int
    shape: str


class Deployment(typing.NamedTuple):
    """Everything that differs between the two examples.

    `search` is a composite service, which depends on the groups in
    `search_dependencies`.
    """

    file: str
    title: str
    zones: tuple[str, ...]
    first_network: int  # third byte of the addresses in the first zone
    deadlines_ms: tuple[int, int, int, int]  # full page, its limit, urgent, lookup
    shapes: tuple[Shape, ...]
    groups: tuple[Group, ...]
    search: str
    search_dependencies: tuple[str, ...]


DEPLOYMENTS = (
    Deployment(
        "fiji.toml",
        "Fiji Public Machining Access Authority",
        ("lautoka", "nadi", "ba", "sigatoka"),
        1,
        (2000, 10000, 150, 30000),
        (Shape("desk", 3, 30, 6, 2), Shape("ledger", 4, 100, 1, 3)),
        (
            Group("booking-desk", 65536, 20, 2, "desk"),
            Group("tooling-register", 65536, 30, 2, "desk"),
            Group("workshop-ledger", 65536, 1, 6, "ledger"),
            Group("apprentice-roll", 65536, 1, 4, "ledger"),
        ),
        "lathe-hours",
        ("booking-desk", "tooling-register"),
    ),
    Deployment(
        "prairie.toml",
        "Prairie Brushwork Co-operative",
        ("regina", "saskatoon", "winnipeg", "brandon"),
        11,
        (1000, 5000, 100, 30000),
        (Shape("desk", 2, 25, 6, 2), Shape("portal", 4, 45, 1, 3)),
        (
            Group("dispatch-desk", 65536, 20, 2, "desk"),
            Group("dues-ledger", 65536, 30, 2, "desk"),
            Group("customer-portal", 65536, 1, 5, "portal"),
            Group("supply-board", 65536, 1, 4, "portal"),
        ),
        "painter-search",
        ("dispatch-desk", "dues-ledger"),
    ),
)


def render(deployment: Deployment) -> str:
    """Return the configuration text of one deployment."""
    page, page_max, urgent, lookup = deployment.deadlines_ms
    parts = [
        "# Written by examples/generate.py; change it there.\n"
        f'title = "{deployment.title}"\n'
        "# Usual number of entry instances plus one, so that a replacement may"
        " overlap.\n"
        "entry_instances_max = 9\n"
        f"zones = [{_format_names(deployment.zones)}]\n"
        "zones_out = []\n",
        "[kinds.full_page]\n"
        f"deadline_ms = {page}\ndeadline_max_ms = {page_max}\nfloor = [1, 1]\n",
        f"[kinds.urgent]\ndeadline_ms = {urgent}\n",
        f"[kinds.lookup]\ndeadline_ms = {lookup}\n",
        "[policy]\nhedge_budget = [1, 20]\nretry_tokens = 10\nentry_lifetime_s = 2\n",
    ]
    parts += [
        f"[indexes.{group.index}]\nkeys = {group.keys}\npartition_map = 1\n"
        for group in deployment.groups
    ]
    parts += [
        f"[shapes.{shape.name}]\n"
        f"slots = {shape.slots}\nconnections = {shape.connections}\n"
        f"connect_ms = {shape.connect_ms}\ncold_requests = {shape.cold_requests}\n"
        "cold_window_ms = 1000\nwarm_up_ms = 3000\nwarm_after_requests = 4\n"
        for shape in deployment.shapes
    ]
    parts.append(_render_composite(deployment.search, deployment.search_dependencies))
    parts += _render_groups(deployment)
    return "\n".join(parts)


def _format_names(names: typing.Iterable[str]) -> str:
    return ", ".join(f'"{name}"' for name in names)


def _render_composite(name: str, depends_on: typing.Iterable[str]) -> str:
    lines = "".join(f'  "{dependency}",\n' for dependency in depends_on)
    return f"[services.{name}]\ndepends_on = [\n{lines}]\n"


def _render_groups(deployment: Deployment) -> list[str]:
    parts = []
    leaf_number = 0  # counts over all groups of the deployment
    for group in deployment.groups:
        names = [f"{group.index}-{i + 1:02}" for i in range(group.services)]
        if group.services == 1:
            names = [group.index]
        else:
            parts.append(_render_composite(group.index, names))
        for i, name in enumerate(names):
            parts.append(_render_leaf(deployment, group, name, i, leaf_number))
            leaf_number += 1
    return parts


def _render_leaf(
    deployment: Deployment, group: Group, name: str, i: int, leaf_number: int
) -> str:
    replicas = "".join(
        f'  {{ address = "{address}", zone = "{zone}" }},\n'
        for address, zone in _place_replicas(deployment, group, leaf_number)
    )
    return (
        f"[services.{name}]\n"
        f'index = "{group.index}"\n'
        f"start = {_find_boundary(group, i)}\n"
        f"end = {_find_boundary(group, i + 1)}\n"
        f'shape = "{group.shape}"\n'
        f"replicas = [\n{replicas}]\n"
    )


def _find_boundary(group: Group, i: int) -> int:
    return (group.keys * i + group.services // 2) // group.services


def _place_replicas(
    deployment: Deployment, group: Group, leaf_number: int
) -> list[tuple[str, str]]:
    """Return address and zone of each replica of a leaf service."""
    zones = len(deployment.zones)
    placements = []
    for j in range(group.replicas):
        # With two replicas, successive leaf services use all pairs of zones, so that
        # the load of a lost zone is spread over all others.
        step = 1 + leaf_number // zones % (zones - 1) if group.replicas == 2 else 1
        zone = (leaf_number + j * step) % zones
        host = f"127.0.{deployment.first_network + zone}.{1 + j // zones}"
        placements.append(
            (f"{host}:{FIRST_PORT + leaf_number}", deployment.zones[zone])
        )
    return placements


def main() -> None:
    """Write all example texts to `DIRECTORY`."""
    for deployment in DEPLOYMENTS:
        path = DIRECTORY / deployment.file
        path.write_text(render(deployment), encoding="utf-8")


if __name__ == "__main__":
    main()

"""Choice of the key ranges and index versions that a query reads."""

import typing

from acacialatch import attempts, model


def list_parts(
    configuration: model.Configuration, query: model.Query
) -> tuple[attempts.Part, ...]:
    """Return the parts of a query in the order of the configuration text.

    A query with a key has the one part, of one key, for each index that it reaches.

    Parameters
    ----------
    configuration : model.Configuration
        Configuration in force.
    query : model.Query
        Query whose service exists in the configuration.
    """
    if query.key is not None:
        return list_key_parts(configuration, query.service, query.key)
    return tuple(
        _make_part(configuration, service, service.keys)
        for service in configuration.list_leaves(query.service)
    )


def make_plan(
    configuration: model.Configuration,
    revision: int,
    query: model.Query,
    list_versions: typing.Callable[[str], typing.Mapping[str, tuple[int, ...]]],
    lowest: typing.Mapping[str, int],
) -> attempts.Plan | None:
    """Return what a query reads, or None while an index has no known version.

    Parameters
    ----------
    configuration : model.Configuration
        Configuration in force.
    revision : int
        Its revision.
    query : model.Query
        Query whose service exists in the configuration.
    list_versions : callable
        Returns the versions of an index by address of the listed servers.
    lowest : mapping of str to int
        Lowest version accepted for each index.
    """
    parts = list_parts(configuration, query)
    held = {
        index: list_versions(index)
        for index in dict.fromkeys(part.index for part in parts)
    }
    versions = pin_versions(configuration, parts, held, lowest)
    return None if versions is None else attempts.Plan(revision, parts, versions)


def list_key_parts(
    configuration: model.Configuration, name: str, key: int
) -> tuple[attempts.Part, ...]:
    """Return a part for one key in each index that the service `name` reaches."""
    return tuple(
        _make_part(configuration, service, model.KeyRange(key, key + 1))
        for service in configuration.list_leaves(name)
        if service.keys.start <= key < service.keys.end
    )


def _make_part(
    configuration: model.Configuration, service: model.Service, keys: model.KeyRange
) -> attempts.Part:
    index = configuration.indexes[service.index]
    return attempts.Part(service.name, index.name, keys, index.partition_map)


def pin_versions(
    configuration: model.Configuration,
    parts: typing.Sequence[attempts.Part],
    held: typing.Mapping[str, typing.Mapping[str, tuple[int, ...]]],
    lowest: typing.Mapping[str, int],
) -> attempts.Versions | None:
    """Choose one version for each index.

    The newest version that some replica of every leaf is known to hold is taken,
    else the newest known one.

    Parameters
    ----------
    configuration : model.Configuration
        Configuration in force.
    parts : sequence of attempts.Part
        Parts of the query.
    held : mapping
        Versions by index and by address of the usable replicas.
    lowest : mapping of str to int
        Lowest version accepted for each index.

    Returns
    -------
    tuple or None
        Pairs of index and version; None if an index has no known version.
    """
    pinned = []
    for index in dict.fromkeys(part.index for part in parts):
        services = [part.service for part in parts if part.index == index]
        version = _pin_version(
            configuration, services, held.get(index, {}), lowest.get(index, 0)
        )
        if version is None:
            return None
        pinned.append((index, version))
    return tuple(pinned)


def _pin_version(
    configuration: model.Configuration,
    services: typing.Sequence[str],
    held: typing.Mapping[str, tuple[int, ...]],
    lowest: int,
) -> int | None:
    common: set[int] | None = None
    known: set[int] = set()
    for name in services:
        leaf = {
            version
            for replica in configuration.services[name].replicas
            for version in held.get(replica.address, ())
            if version >= lowest
        }
        known |= leaf
        # A leaf of which nothing is known does not narrow the choice.
        if leaf:
            common = leaf if common is None else common & leaf
    if common:
        return max(common)
    return max(known, default=None)

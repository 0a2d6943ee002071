"""Choice of the key ranges and index versions that a query reads."""

import typing

from acacialatch import attempts, model


def list_parts(
    configuration: model.Configuration, query: model.Query
) -> tuple[attempts.Part, ...]:
    """Return the parts of a query, in the order of the configuration text.

    A query with a key has one part, of this key alone, for each index that its service
    contains.

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
    min_versions: typing.Mapping[str, int],
) -> attempts.Plan | None:
    """Return the plan of a query, or None while an index has no known version.

    Parameters
    ----------
    configuration : model.Configuration
        Configuration in force.
    revision : int
        Revision of the configuration.
    query : model.Query
        Query whose service exists in the configuration.
    list_versions : callable
        Returns the versions of an index that each server holds, by address.
    min_versions : mapping of str to int
        Lowest version accepted for each index.
    """
    parts = list_parts(configuration, query)
    versions_by_index = {
        index: list_versions(index)
        for index in dict.fromkeys(part.index for part in parts)
    }
    versions = pin_versions(configuration, parts, versions_by_index, min_versions)
    return None if versions is None else attempts.Plan(revision, parts, versions)


def list_key_parts(
    configuration: model.Configuration, name: str, key: int
) -> tuple[attempts.Part, ...]:
    """Return a part for one key in each index that the service `name` contains."""
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
    versions_by_index: typing.Mapping[str, typing.Mapping[str, tuple[int, ...]]],
    min_versions: typing.Mapping[str, int],
) -> attempts.Versions | None:
    """Choose the version of each index that a query reads.

    This is the newest version that at least one replica of every leaf service is known
    to hold, or the newest known version if there is none.

    Parameters
    ----------
    configuration : model.Configuration
        Configuration in force.
    parts : sequence of attempts.Part
        Parts of the query.
    versions_by_index : mapping
        Versions that each replica is known to hold, by index and address.
    min_versions : mapping of str to int
        Lowest version accepted for each index.

    Returns
    -------
    tuple or None
        Pairs of index and version; None if an index has no known version.
    """
    pinned = []
    for index in dict.fromkeys(part.index for part in parts):
        services = [part.service for part in parts if part.index == index]
        version = _choose_version(
            configuration,
            services,
            versions_by_index.get(index, {}),
            min_versions.get(index, 0),
        )
        if version is None:
            return None
        pinned.append((index, version))
    return tuple(pinned)


def _choose_version(
    configuration: model.Configuration,
    services: typing.Sequence[str],
    versions_by_address: typing.Mapping[str, tuple[int, ...]],
    min_version: int,
) -> int | None:
    common: set[int] | None = None
    known: set[int] = set()
    for name in services:
        leaf_versions = {
            version
            for replica in configuration.services[name].replicas
            for version in versions_by_address.get(replica.address, ())
            if version >= min_version
        }
        known |= leaf_versions
        # A leaf service without any known version does not restrict the choice.
        if leaf_versions:
            common = leaf_versions if common is None else common & leaf_versions
    if common:
        return max(common)
    return max(known, default=None)

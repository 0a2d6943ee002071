"""Which shards of a query another entry instance asks, near their servers."""

import typing

BATCH_MIN = 3
"""Fewest shards that are worth a message to another entry instance."""


def group_by_zone(
    candidates: typing.Sequence[frozenset[str]],
    own_zone: str,
    zones: typing.Sequence[str],
) -> dict[str, list[int]]:
    """Return the shards to ask through each other availability zone.

    Traffic between zones is dear. A server in another zone that is asked by an entry
    instance there costs a share of one message instead of a request and a reply.
    Shards with a server in the own zone, and few in a group, are asked directly.

    Parameters
    ----------
    candidates : sequence of frozenset of str
        For each shard the availability zones with a usable server.
    own_zone : str
        Availability zone of this entry instance.
    zones : sequence of str
        Zones with an entry instance that can ask, in the order of preference among
        equal ones.
    """
    left = {
        index
        for index, found in enumerate(candidates)
        if found and own_zone not in found
    }
    groups: dict[str, list[int]] = {}
    free = [zone for zone in zones if zone != own_zone]
    while free:
        covered = {
            zone: [index for index in left if zone in candidates[index]]
            for zone in free
        }
        best = max(free, key=lambda zone: len(covered[zone]))
        if len(covered[best]) < BATCH_MIN:
            break
        groups[best] = sorted(covered[best])
        left.difference_update(covered[best])
        free.remove(best)
    return groups

"""Choice of the shards of a query that are sent to other entry instances as batches."""

import typing

BATCH_SHARDS_MIN = 3
"""Fewest shards for which a message to another entry instance pays off."""


def group_by_zone(
    candidates: typing.Sequence[frozenset[str]],
    local_zone: str,
    zones: typing.Sequence[str],
) -> dict[str, list[int]]:
    """Return the indexes of the shards to send as a batch to each other zone.

    Traffic between zones is expensive. A batch to an entry instance in another zone
    costs one message and one reply for all its shards. Shards with a server in the
    local zone, and shards of groups that are too small, are left out; they are asked
    directly. The zone that covers the most of the remaining shards is taken first, so
    that few batches are sent.

    Parameters
    ----------
    candidates : sequence of frozenset of str
        For each shard the availability zones with a usable server.
    local_zone : str
        Availability zone of this entry instance.
    zones : sequence of str
        Zones with an entry instance that accepts batches. Among zones that cover
        equally many shards the first one is preferred.
    """
    unassigned = {
        index
        for index, shard_zones in enumerate(candidates)
        if shard_zones and local_zone not in shard_zones
    }
    groups: dict[str, list[int]] = {}
    unused = [zone for zone in zones if zone != local_zone]
    while unused:
        covered = {
            zone: [index for index in unassigned if zone in candidates[index]]
            for zone in unused
        }
        best = max(unused, key=lambda zone: len(covered[zone]))
        if len(covered[best]) < BATCH_SHARDS_MIN:
            break
        groups[best] = sorted(covered[best])
        unassigned.difference_update(covered[best])
        unused.remove(best)
    return groups

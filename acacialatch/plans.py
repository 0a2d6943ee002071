"""Validation of plans before a query uses them."""

from acacialatch import attempts, model


def check_plan(plan: attempts.Plan) -> str | None:
    """Return why a plan is invalid, or None.

    A plan is invalid if a service or the version of an index occurs twice, an index has
    no version or two partition maps, a range is empty, or two parts share a key.
    """
    services = [part.service for part in plan.parts]
    if len(set(services)) < len(services):
        return "a leaf service occurs twice"
    versions = dict(plan.versions)
    if len(versions) < len(plan.versions):
        return "an index has two versions"
    maps: dict[str, int] = {}
    for part in plan.parts:
        if part.index not in versions:
            return f"index {part.index!r} has no version"
        if maps.setdefault(part.index, part.partition_map) != part.partition_map:
            return f"index {part.index!r} has two partition maps"
        if part.keys.start >= part.keys.end:
            return f"the range of {part.service!r} is empty"
    return _check_shared_keys(plan)


def _check_shared_keys(plan: attempts.Plan) -> str | None:
    ends: dict[str, int] = {}
    for part in sorted(plan.parts, key=lambda part: part.keys):
        if part.keys.start < ends.get(part.index, part.keys.start):
            return f"two parts of index {part.index!r} share keys"
        ends[part.index] = part.keys.end
    return None


def check_successor(old: attempts.Plan, new: attempts.Plan) -> str | None:
    """Return why a query may not restart with a new plan, or None.

    The new plan must be valid, newer in the version or the partition map of at least
    one index, older in none, and must cover every key of the old plan.
    """
    problem = check_plan(new)
    if problem is not None:
        return problem
    if new.revision < old.revision:
        return "the configuration revision is older"
    versions = dict(new.versions)
    newer = False
    for index, version in old.versions:
        if versions.get(index, version - 1) < version:
            return f"the version of index {index!r} is older or missing"
        newer = newer or versions[index] > version
    before, after = _list_maps(old), _list_maps(new)
    for index, number in before.items():
        if after.get(index, number) < number:
            return f"the partition map of index {index!r} is older"
        newer = newer or after.get(index, number) > number
    if not newer:
        return "no version and no partition map is newer"
    return _check_keys_covered(old, new)


def _list_maps(plan: attempts.Plan) -> dict[str, int]:
    return {part.index: part.partition_map for part in plan.parts}


def _check_keys_covered(old: attempts.Plan, new: attempts.Plan) -> str | None:
    kept = _merge_ranges(new)
    for index, ranges in _merge_ranges(old).items():
        for keys in ranges:
            if not any(
                keys.start >= other.start and keys.end <= other.end
                for other in kept.get(index, ())
            ):
                return f"keys {keys.start}-{keys.end} of index {index!r} are lost"
    return None


def _merge_ranges(plan: attempts.Plan) -> dict[str, list[model.KeyRange]]:
    merged: dict[str, list[model.KeyRange]] = {}
    for part in sorted(plan.parts, key=lambda part: part.keys):
        ranges = merged.setdefault(part.index, [])
        if ranges and ranges[-1].end == part.keys.start:
            ranges[-1] = model.KeyRange(ranges[-1].start, part.keys.end)
        else:
            ranges.append(part.keys)
    return merged

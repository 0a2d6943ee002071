"""Configuration service and instance list."""

import abc
import typing

import result

from acacialatch import messages


class ListedInstance(typing.NamedTuple):
    """One instance in the platform's list."""

    name: str
    role: str
    zone: str
    address: str
    peer_address: str
    state: str


class ConfigurationSource(abc.ABC):
    """Configuration service."""

    @abc.abstractmethod
    async def read(
        self, after: int, wait_s: float
    ) -> result.Result[messages.ConfigurationText | None, str]:
        """Return the text newer than `after`."""


class InstanceSource(abc.ABC):
    """Instance list."""

    @abc.abstractmethod
    async def list(self) -> result.Result[tuple[ListedInstance, ...], str]:
        """Return the instances."""

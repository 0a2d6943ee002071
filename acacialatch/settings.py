"""Parser and checks of the settings file of one process."""

import re
import typing

import result

from acacialatch import tables

TEXT_SIZE_MAX = 100_000  # bytes
PEERS_MAX = 64  # addresses used while the platform is down
RECORD_RATE_DEFAULT = 100  # records per second
RECORD_BYTES_DEFAULT = 1_000_000  # bytes per second
RECORD_RATE_MAX = 100_000  # records per second
RECORD_BYTES_MAX = 100_000_000  # bytes per second
PATH_SIZE_MAX = 4096  # characters

URL_ALLOWED = 'a URL with an IP number and a port, as "http://127.0.0.1:7600/config"'
LOG_PATH_ALLOWED = '"-" for standard error, or an absolute path'
STANDARD_ERROR = "-"

_URL = re.compile(r"http://([^/?#@\s]+)((?:/[A-Za-z0-9._~-]+)*)/?")
_KEYS = (
    "name",
    "zone",
    "caller_address",
    "peer_address",
    "configuration_service",
    "instance_list",
    "peers",
    "statsd_address",
    "record_rate_per_s",
    "record_bytes_per_s",
    "log_path",
)
# Keys that only one of the two kinds of file has, at the start of a line.
_SETTINGS_LINE = re.compile(
    r"^[ \t]*(?:caller_address|peer_address|configuration_service|instance_list)\b"
    r"[ \t]*=",
    re.MULTILINE,
)
_CONFIGURATION_LINE = re.compile(
    r"^[ \t]*(?:(?:entry_instances_max|zones|zones_out)\b[ \t]*="
    r"|\[(?:kinds|policy|indexes|shapes|services)[.\]])",
    re.MULTILINE,
)


class Url(typing.NamedTuple):
    """Location of a service of the platform.

    Attributes
    ----------
    address : str
        IP address and port.
    path : str
        Path that starts with `/`.
    """

    address: str
    path: str


class Settings(typing.NamedTuple):
    """Checked settings of one process.

    Attributes
    ----------
    name : str
        Name of the entry instance.
    zone : str
        Availability zone in which it runs.
    caller_address : str
        IP address and port for callers.
    peer_address : str
        IP address and port for other entry instances.
    configuration_service : Url
        Location of the configuration text.
    instance_list : Url
        Location of the platform's list of instances.
    peers : tuple of str
        Peer addresses used while the platform is down.
    statsd_address : str or None
        IP address and UDP port for metrics; None sends none.
    record_rate_per_s : int
        Most explanation records written per second; 0 writes none.
    record_bytes_per_s : int
        Most bytes of explanation records written per second.
    log_path : str
        File of the log; `"-"` is standard error.
    """

    name: str
    zone: str
    caller_address: str
    peer_address: str
    configuration_service: Url
    instance_list: Url
    peers: tuple[str, ...] = ()
    statsd_address: str | None = None
    record_rate_per_s: int = RECORD_RATE_DEFAULT
    record_bytes_per_s: int = RECORD_BYTES_DEFAULT
    log_path: str = STANDARD_ERROR


def parse(
    text: bytes, name: str = "settings"
) -> result.Result[Settings, tuple[tables.Problem, ...]]:
    """Parse and check a settings text.

    Parameters
    ----------
    text : bytes
        Content of the settings file.
    name : str
        File, for problems.

    Returns
    -------
    Result
        The settings, or every problem found.
    """
    parsed = tables.parse_toml(text, name, TEXT_SIZE_MAX)
    if isinstance(parsed, result.Err):
        return parsed
    problems = tables.Problems(name)
    reader = tables.Reader(problems, "", parsed.ok_value, _KEYS)
    settings = _read_settings(reader)
    if problems.list_all():
        return result.Err(problems.list_all())
    return result.Ok(settings)


def _read_settings(reader: tables.Reader) -> Settings:
    """Read all keys; the value is valid only if no problem was added."""
    name = reader.read_text("name", tables.is_name, tables.NAME_ALLOWED)
    zone = reader.read_text("zone", tables.is_name, tables.NAME_ALLOWED)
    caller = _read_address(reader, "caller_address")
    peer = _read_address(reader, "peer_address")
    if caller is not None and caller == peer:
        reader.refuse("peer_address", "an address other than caller_address")
    service = _read_url(reader, "configuration_service")
    instances = _read_url(reader, "instance_list")
    peers = reader.read_texts(
        "peers", tables.is_address, tables.ADDRESS_ALLOWED, default=()
    )
    if peers and len(peers) > PEERS_MAX:
        reader.refuse("peers", f"at most {PEERS_MAX} addresses")
    statsd = None
    if reader.has("statsd_address"):
        statsd = _read_address(reader, "statsd_address")
    rate = reader.read_integer(
        "record_rate_per_s", 0, RECORD_RATE_MAX, RECORD_RATE_DEFAULT
    )
    size = reader.read_integer(
        "record_bytes_per_s", 0, RECORD_BYTES_MAX, RECORD_BYTES_DEFAULT
    )
    log_path = reader.read_text("log_path", _is_path, LOG_PATH_ALLOWED, STANDARD_ERROR)
    return Settings(
        name=name or "",
        zone=zone or "",
        caller_address=caller or "",
        peer_address=peer or "",
        configuration_service=service,
        instance_list=instances,
        peers=peers or (),
        statsd_address=statsd,
        record_rate_per_s=rate or 0,
        record_bytes_per_s=size or 0,
        log_path=log_path or STANDARD_ERROR,
    )


def _read_address(reader: tables.Reader, key: str) -> str | None:
    return reader.read_text(key, tables.is_address, tables.ADDRESS_ALLOWED)


def _read_url(reader: tables.Reader, key: str) -> Url:
    text = reader.read_text(
        key, lambda value: _split_url(value) is not None, URL_ALLOWED
    )
    return _split_url(text or "") or Url("", "")


def _split_url(text: str) -> Url | None:
    match = _URL.fullmatch(text)
    if match is None or not tables.is_address(match[1]):
        return None
    return Url(match[1], match[2] or "/")


def _is_path(value: str) -> bool:
    absolute = value.startswith("/") and value.isprintable()
    return value == STANDARD_ERROR or (absolute and len(value) <= PATH_SIZE_MAX)


def is_settings(text: bytes) -> bool:
    """Return whether `text` looks like a settings file and not a configuration.

    Works on broken texts too, so that the right parser reports what is wrong. A
    text that looks like neither counts as a configuration.
    """
    decoded = text[:TEXT_SIZE_MAX].decode("utf-8", "replace")
    settings_lines = len(_SETTINGS_LINE.findall(decoded))
    return settings_lines > len(_CONFIGURATION_LINE.findall(decoded))

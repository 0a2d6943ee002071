"""Parser and validation of the settings file of one process."""

import re
import typing

import result

from acacialatch import tables

TEXT_MAX_BYTES = 100_000
PEERS_MAX = 64
RECORD_RATE_DEFAULT = 100  # records per second
RECORD_BYTES_DEFAULT = 1_000_000  # bytes per second
RECORD_RATE_MAX = 100_000  # records per second
RECORD_BYTES_MAX = 100_000_000  # bytes per second
PATH_LENGTH_MAX = 4096  # characters

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
# Lines with keys that occur in only one of the two kinds of file.
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
    """URL of a service of the platform.

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
        URL of the configuration text.
    instance_list : Url
        URL of the platform's list of instances.
    peers : tuple of str
        Peer addresses used while the platform is down.
    statsd_address : str or None
        IP address and UDP port to which metrics are sent; None disables them.
    record_rate_per_s : int
        Most explanation records written per second; 0 disables them.
    record_bytes_per_s : int
        Most bytes of explanation records written per second.
    log_path : str
        Path of the log file; `"-"` is standard error.
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
    """Parse and validate a settings text.

    Parameters
    ----------
    text : bytes
        Content of the settings file.
    name : str
        Name of the file shown in problems.

    Returns
    -------
    Result
        The settings, or every problem found.
    """
    parsed = tables.parse_toml(text, name, TEXT_MAX_BYTES)
    if isinstance(parsed, result.Err):
        return parsed
    problems = tables.Problems(name)
    reader = tables.Reader(problems, "", parsed.ok_value, _KEYS)
    settings = _read_settings(reader)
    if problems.list_all():
        return result.Err(problems.list_all())
    return result.Ok(settings)


def _read_settings(reader: tables.Reader) -> Settings:
    """Read all keys; the result is valid only if no problem was added."""
    name = reader.read_text("name", tables.is_name, tables.NAME_ALLOWED)
    zone = reader.read_text("zone", tables.is_name, tables.NAME_ALLOWED)
    caller = _read_address(reader, "caller_address")
    peer = _read_address(reader, "peer_address")
    if caller is not None and caller == peer:
        reader.add_problem("peer_address", "an address other than caller_address")
    service = _read_url(reader, "configuration_service")
    instances = _read_url(reader, "instance_list")
    peers = reader.read_texts(
        "peers", tables.is_address, tables.ADDRESS_ALLOWED, default=()
    )
    if peers and len(peers) > PEERS_MAX:
        reader.add_problem("peers", f"at most {PEERS_MAX} addresses")
    statsd = None
    if reader.has_key("statsd_address"):
        statsd = _read_address(reader, "statsd_address")
    rate = reader.read_integer(
        "record_rate_per_s", 0, RECORD_RATE_MAX, RECORD_RATE_DEFAULT
    )
    size = reader.read_integer(
        "record_bytes_per_s", 0, RECORD_BYTES_MAX, RECORD_BYTES_DEFAULT
    )
    log_path = reader.read_text(
        "log_path", _is_log_path, LOG_PATH_ALLOWED, STANDARD_ERROR
    )
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
        key, lambda value: _parse_url(value) is not None, URL_ALLOWED
    )
    return _parse_url(text or "") or Url("", "")


def _parse_url(text: str) -> Url | None:
    """Return the parts of a URL; None unless it has an IP address and a port."""
    match = _URL.fullmatch(text)
    if match is None or not tables.is_address(match[1]):
        return None
    return Url(match[1], match[2] or "/")


def _is_log_path(value: str) -> bool:
    is_absolute = value.startswith("/") and value.isprintable()
    return value == STANDARD_ERROR or (is_absolute and len(value) <= PATH_LENGTH_MAX)


def is_settings(text: bytes) -> bool:
    """Return whether `text` is a settings file rather than a configuration.

    The keys at the start of its lines decide. This works for invalid TOML too, so that
    the right parser reports the problems. A text with the keys of neither counts as a
    configuration.
    """
    decoded = text[:TEXT_MAX_BYTES].decode("utf-8", "replace")
    settings_lines = len(_SETTINGS_LINE.findall(decoded))
    return settings_lines > len(_CONFIGURATION_LINE.findall(decoded))

"""Strict parsing and validation of TOML texts.

Texts are checked before they are passed to tomllib, so that the verdict does not
depend on the depth of the caller's stack or on limits of the interpreter.
"""

import ipaddress
import re
import tomllib
import typing

import result

NESTING_MAX = 32  # arrays and inline tables; tomllib recurses once per level
DOTS_PER_LINE_MAX = 64  # tomllib takes quadratic time for dotted keys
NUMBER_DIGITS_MAX = 100  # int() rejects longer decimals, by a limit set per process
VALUE_LENGTH_MAX = 80  # characters of a value shown in a problem
INTEGER_MAX = 2**53 - 1  # largest integer that every JSON reader represents exactly

NAME_ALLOWED = "1 to 64 of the characters A-Z a-z 0-9 _ -"
ADDRESS_ALLOWED = (
    "an IP number in canonical form with a port from 1 to 65535,"
    ' as "127.0.0.1:7001" or "[::1]:7001"'
)

_NAME = re.compile(r"[A-Za-z0-9_-]{1,64}")
_ADDRESS = re.compile(r"(?:\[([0-9a-f:]+)\]|([0-9.]+)):([1-9][0-9]{0,4})")
_PORT_MAX = 65535
# An unterminated string matches up to the end of its line or of the text, which keeps
# the matching time linear.
_STRING_OR_COMMENT = re.compile(
    r'"""(?:\\.|[^\\])*?(?:"{3,5}|\Z)'
    r"|'''.*?(?:'{3,5}|\Z)"
    r'|"(?:\\[^\n]|[^"\\\n])*+"?'
    r"|'[^'\n]*+'?"
    r"|#[^\n]*+",
    re.DOTALL,
)
_LONG_NUMBER = re.compile(rf"[0-9_]{{{NUMBER_DIGITS_MAX + 1}}}")


class Problem(typing.NamedTuple):
    """One reason why a text is invalid.

    Attributes
    ----------
    source : str
        Name of the file or text.
    key : str
        Key within the text, or the position as `"line 3, column 7"`.
    value : str
        The value, shortened, or a phrase for what was found.
    allowed : str
        Values that are allowed there.
    """

    source: str
    key: str
    value: str
    allowed: str

    def describe(self) -> str:
        """Return the problem as one line of text."""
        return f"{self.source}: {self.key}: found {self.value}; allowed: {self.allowed}"


class Problems:
    """Collects the problems of one text, in the order in which they are found."""

    def __init__(self, source: str):
        self.source = source
        self._found: list[Problem] = []

    def add(self, key: str, value: object, allowed: str) -> None:
        """Add a problem with a value, which is shortened."""
        self._found.append(Problem(self.source, key, format_value(value), allowed))

    def add_finding(self, key: str, found: str, allowed: str) -> None:
        """Add a problem for which `found` is a phrase instead of a value."""
        self._found.append(Problem(self.source, key, found, allowed))

    def list_all(self) -> tuple[Problem, ...]:
        """Return all problems found so far."""
        return tuple(self._found)


def format_value(value: object) -> str:
    """Return `value` as text of bounded length for an error message."""
    if isinstance(value, dict):
        return f"a table of {len(value)} keys"
    if isinstance(value, list):
        return f"a list of {len(value)} values"
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, int) and abs(value) > INTEGER_MAX:
        # repr() of a long hexadecimal integer may exceed the limit of the interpreter.
        return f"an integer of {value.bit_length()} bits"
    if not isinstance(value, (str, int, float)):
        return f"a {type(value).__name__}"
    text = repr(value[: VALUE_LENGTH_MAX + 1] if isinstance(value, str) else value)
    return text if len(text) <= VALUE_LENGTH_MAX else text[:VALUE_LENGTH_MAX] + "..."


def is_name(value: str) -> bool:
    """Return whether `value` is a name that can be used in paths, logs and metrics."""
    return _NAME.fullmatch(value) is not None


def is_address(value: str) -> bool:
    """Return whether `value` is an IP address in canonical form with a port.

    Unspecified, multicast and IPv4-mapped addresses are rejected: they do not identify
    one server, or are a second notation of its address.
    """
    match = _ADDRESS.fullmatch(value)
    if match is None or int(match[3]) > _PORT_MAX:
        return False
    host = match[1] or match[2]
    try:
        number = ipaddress.ip_address(host)
    except ValueError:
        return False
    bracketed = match[1] is not None
    if str(number) != host or (number.version == 6) != bracketed:
        return False
    mapped = number.version == 6 and number.ipv4_mapped is not None
    return not (number.is_unspecified or number.is_multicast or mapped)


def parse_toml(
    text: bytes, source: str, max_bytes: int
) -> result.Result[dict[str, typing.Any], tuple[Problem, ...]]:
    """Parse a TOML text after checking its size, encoding and limits.

    Parameters
    ----------
    text : bytes
        The text.
    source : str
        Name of the file or text shown in problems.
    max_bytes : int
        Largest size, in bytes.

    Returns
    -------
    Result
        The top-level table, or a tuple with the first problem.
    """
    problems = Problems(source)
    if len(text) > max_bytes:
        found = f"{len(text)} bytes"
        problems.add_finding("whole text", found, f"at most {max_bytes} bytes")
        return result.Err(problems.list_all())
    try:
        decoded = text.decode("utf-8")
    except UnicodeDecodeError as error:
        problems.add_finding(f"byte {error.start}", "a byte that is not UTF-8", "UTF-8")
        return result.Err(problems.list_all())
    _check_limits(decoded, problems)
    if problems.list_all():
        return result.Err(problems.list_all())
    try:
        return result.Ok(tomllib.loads(decoded))
    except ValueError as error:
        detail, _, position = str(error).rpartition(" (at ")
        position = position.rstrip(")")
        # tomllib names no line for an error at the end of the text.
        if not position.startswith("line "):
            lines = decoded.replace("\r\n", "\n").split("\n")
            position = f"line {len(lines)}, column {len(lines[-1]) + 1}"
        found = f"broken TOML: {detail or error}"
        problems.add_finding(position, found, "TOML 1.0")
        return result.Err(problems.list_all())


def _check_limits(text: str, problems: Problems) -> None:
    """Add a problem for the first line with nesting, keys or numbers above the limits.

    Strings and comments do not count.
    """

    def keep_newlines(match: re.Match[str]) -> str:
        return "\n" * match[0].count("\n")

    stripped = _STRING_OR_COMMENT.sub(keep_newlines, text)
    depth = 0
    for number, line in enumerate(stripped.split("\n"), 1):
        deepest = depth
        for bracket in re.findall(r"[\[\]{}]", line):
            depth = depth + 1 if bracket in "[{" else max(0, depth - 1)
            deepest = max(deepest, depth)
        if deepest > NESTING_MAX:
            problems.add_finding(
                f"line {number}", f"nesting of {deepest}", f"at most {NESTING_MAX}"
            )
            return
        if line.count(".") > DOTS_PER_LINE_MAX:
            problems.add_finding(
                f"line {number}",
                f"{line.count('.')} dots outside strings",
                f"at most {DOTS_PER_LINE_MAX}",
            )
            return
        if _LONG_NUMBER.search(line):
            problems.add_finding(
                f"line {number}", "a long number", f"at most {NUMBER_DIGITS_MAX} digits"
            )
            return


class Reader:
    """Reads the values of one table and reports unknown keys and invalid values.

    For a missing or invalid value, a method adds a problem and returns None, so that
    reading goes on and all problems are found.

    Parameters
    ----------
    problems : Problems
        Receives the problems found.
    path : str
        Key of the table; empty for the top level.
    table : dict
        The table.
    allowed : tuple of str
        All allowed keys.
    """

    def __init__(
        self,
        problems: Problems,
        path: str,
        table: dict[str, typing.Any],
        allowed: tuple[str, ...],
    ):
        self.problems = problems
        self.path = path
        self.table = table
        for key in table:
            if key not in allowed:
                found = f"unknown key {format_value(key)}"
                problems.add_finding(path or "top level", found, ", ".join(allowed))

    def has_key(self, key: str) -> bool:
        """Return whether the table has `key`."""
        return key in self.table

    def make_key_path(self, key: str) -> str:
        """Return the path of `key` from the top level, to be shown in a problem."""
        return f"{self.path}.{key}" if self.path else key

    def add_problem(self, key: str, allowed: str) -> None:
        """Add a problem for the value of `key` or for its absence."""
        key_path = self.make_key_path(key)
        if key in self.table:
            self.problems.add(key_path, self.table[key], allowed)
        else:
            self.problems.add_finding(key_path, "nothing", allowed)

    def read_text(
        self,
        key: str,
        is_allowed: typing.Callable[[str], bool],
        allowed: str,
        default: str | None = None,
    ) -> str | None:
        """Return the string at `key` if it is allowed.

        Parameters
        ----------
        key : str
            Key in this table.
        is_allowed : callable
            Returns whether a string is allowed.
        allowed : str
            Description of the allowed strings, shown in problems.
        default : str or None
            Value for a missing key; None makes the key required.
        """
        if default is not None and key not in self.table:
            return default
        value = self.table.get(key)
        if isinstance(value, str) and is_allowed(value):
            return value
        self.add_problem(key, allowed)
        return None

    def read_integer(
        self, key: str, low: int, high: int, default: int | None = None
    ) -> int | None:
        """Return the integer at `key` if it lies in `[low, high]`."""
        if default is not None and key not in self.table:
            return default
        value = self.table.get(key)
        if is_integer(value) and low <= value <= high:
            return value
        self.add_problem(key, f"an integer from {low} to {high}")
        return None

    def read_fraction(
        self, key: str, denominator_max: int, default: tuple[int, int]
    ) -> tuple[int, int] | None:
        """Return the fraction `[numerator, denominator]` from 0 to 1 at `key`."""
        if key not in self.table:
            return default
        value = self.table[key]
        if (
            isinstance(value, list)
            and len(value) == 2
            and all(is_integer(part) for part in value)
            and 0 <= value[0] <= value[1]
            and 1 <= value[1] <= denominator_max
        ):
            return (value[0], value[1])
        self.problems.add_finding(
            self.make_key_path(key),
            ", ".join(format_value(part) for part in value[:3])
            if isinstance(value, list)
            else format_value(value),
            "[numerator, denominator] with 0 <= numerator <= denominator"
            f" and 1 <= denominator <= {denominator_max}",
        )
        return None

    def read_texts(
        self,
        key: str,
        is_allowed: typing.Callable[[str], bool],
        allowed: str,
        default: tuple[str, ...] | None = None,
    ) -> tuple[str, ...] | None:
        """Return the allowed strings of the list at `key`, each once.

        Invalid and repeated elements are reported and left out.
        """
        if default is not None and key not in self.table:
            return default
        value = self.table.get(key)
        if not isinstance(value, list):
            self.add_problem(key, f"a list; each value: {allowed}")
            return None
        kept: dict[str, None] = {}
        for position, element in enumerate(value):
            key_path = f"{self.make_key_path(key)}[{position}]"
            if not isinstance(element, str) or not is_allowed(element):
                self.problems.add(key_path, element, allowed)
            elif element in kept:
                self.problems.add(key_path, element, "each value once")
            else:
                kept[element] = None
        return tuple(kept)

    def read_table(
        self, key: str, allowed: tuple[str, ...], required: bool = True
    ) -> "Reader | None":
        """Return a reader for the table at `key`.

        None if it is invalid, or missing and not required.
        """
        if key not in self.table and not required:
            return None
        value = self.table.get(key)
        if not isinstance(value, dict):
            self.add_problem(key, "a table")
            return None
        return Reader(self.problems, self.make_key_path(key), value, allowed)

    def read_named_tables(
        self, key: str, allowed: tuple[str, ...]
    ) -> dict[str, "Reader"]:
        """Return readers for the tables `[key.NAME]` by name, in order of the text.

        Invalid ones are reported and left out; at least one table is required.
        """
        value = self.table.get(key)
        if not isinstance(value, dict) or not value:
            self.add_problem(key, f"tables [{key}.NAME], at least one")
            return {}
        readers = {}
        for name, table in value.items():
            if not is_name(name):
                self.problems.add(f"{key}.NAME", name, NAME_ALLOWED)
            elif not isinstance(table, dict):
                self.problems.add(f"{key}.{name}", table, "a table")
            else:
                readers[name] = Reader(self.problems, f"{key}.{name}", table, allowed)
        return readers


def is_integer(value: object) -> typing.TypeGuard[int]:
    """Return whether `value` is an integer and not a bool."""
    return isinstance(value, int) and not isinstance(value, bool)

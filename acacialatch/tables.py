"""Strict reading of TOML tables with typed problems.

Texts are checked before they reach tomllib, so that the verdict does not depend
on the depth of the caller's stack or on the interpreter's limits.
"""

import ipaddress
import re
import tomllib
import typing

import result

NESTING_MAX = 32  # arrays and inline tables; tomllib recurses once per level
DOTS_PER_LINE_MAX = 64  # tomllib needs quadratic time in the parts of a dotted key
DIGITS_MAX = 100  # int() refuses long decimals at a limit set per process
SHOWN_VALUE_MAX = 80  # characters of a value that a problem shows
INTEGER_MAX = 2**53 - 1  # largest integer that every JSON reader keeps exactly

NAME_ALLOWED = "1 to 64 of the characters A-Z a-z 0-9 _ -"
ADDRESS_ALLOWED = (
    "an IP number in canonical form with a port from 1 to 65535,"
    ' as "127.0.0.1:7001" or "[::1]:7001"'
)

_NAME = re.compile(r"[A-Za-z0-9_-]{1,64}")
_ADDRESS = re.compile(r"(?:\[([0-9a-f:]+)\]|([0-9.]+)):([1-9][0-9]{0,4})")
_PORT_MAX = 65535
# An unterminated string ends at its line or text, which keeps matching linear.
_STRING_OR_COMMENT = re.compile(
    r'"""(?:\\.|[^\\])*?(?:"{3,5}|\Z)'
    r"|'''.*?(?:'{3,5}|\Z)"
    r'|"(?:\\[^\n]|[^"\\\n])*+"?'
    r"|'[^'\n]*+'?"
    r"|#[^\n]*+",
    re.DOTALL,
)
_LONG_NUMBER = re.compile(rf"[0-9_]{{{DIGITS_MAX + 1}}}")


class Problem(typing.NamedTuple):
    """One reason why a text is refused.

    Attributes
    ----------
    source : str
        File or text.
    key : str
        Key within the text, or the position as `"line 3, column 7"`.
    value : str
        Value as found, shortened.
    allowed : str
        What is allowed there.
    """

    source: str
    key: str
    value: str
    allowed: str

    def describe(self) -> str:
        """Return the problem as one line of text."""
        return f"{self.source}: {self.key}: found {self.value}; allowed: {self.allowed}"


class Problems:
    """Collects the problems of one text in the order in which they are found."""

    def __init__(self, source: str):
        self.source = source
        self._found: list[Problem] = []

    def add(self, key: str, value: object, allowed: str) -> None:
        """Add a problem; `value` is shown shortened."""
        self._found.append(Problem(self.source, key, show(value), allowed))

    def add_found(self, key: str, found: str, allowed: str) -> None:
        """Add a problem whose finding is a phrase and not one value."""
        self._found.append(Problem(self.source, key, found, allowed))

    def list_all(self) -> tuple[Problem, ...]:
        """Return all problems found so far."""
        return tuple(self._found)


def show(value: object) -> str:
    """Return `value` for an error message, in a bounded number of characters."""
    if isinstance(value, dict):
        return f"a table of {len(value)} keys"
    if isinstance(value, list):
        return f"a list of {len(value)} values"
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, int) and abs(value) > INTEGER_MAX:
        # str() of a huge hexadecimal integer can exceed the limit of int().
        return f"an integer of {value.bit_length()} bits"
    if not isinstance(value, (str, int, float)):
        return f"a {type(value).__name__}"
    shown = repr(value[: SHOWN_VALUE_MAX + 1] if isinstance(value, str) else value)
    return shown if len(shown) <= SHOWN_VALUE_MAX else shown[:SHOWN_VALUE_MAX] + "..."


def is_name(value: str) -> bool:
    """Return whether `value` is a name usable in paths, logs and metrics."""
    return _NAME.fullmatch(value) is not None


def is_address(value: str) -> bool:
    """Return whether `value` is an IP number in canonical form with a port.

    Unspecified, multicast and IPv4-mapped numbers are not addresses of one server.
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
    text: bytes, source: str, size_max: int
) -> result.Result[dict[str, typing.Any], tuple[Problem, ...]]:
    """Parse TOML text.

    Parameters
    ----------
    text : bytes
        The text.
    source : str
        File or text, for problems.
    size_max : int
        Most bytes allowed.

    Returns
    -------
    Result
        The table, or one problem.
    """
    problems = Problems(source)
    if len(text) > size_max:
        found = f"{len(text)} bytes"
        problems.add_found("whole text", found, f"at most {size_max} bytes")
        return result.Err(problems.list_all())
    try:
        decoded = text.decode("utf-8")
    except UnicodeDecodeError as error:
        problems.add_found(f"byte {error.start}", "a byte that is not UTF-8", "UTF-8")
        return result.Err(problems.list_all())
    _check_limits(decoded, problems)
    if problems.list_all():
        return result.Err(problems.list_all())
    try:
        return result.Ok(tomllib.loads(decoded))
    except ValueError as error:
        detail, _, position = str(error).rpartition(" (at ")
        position = position.rstrip(")")
        if not position.startswith("line "):  # tomllib gives no line at the end
            lines = decoded.replace("\r\n", "\n").split("\n")
            position = f"line {len(lines)}, column {len(lines[-1]) + 1}"
        found = f"broken TOML: {detail or error}"
        problems.add_found(position, found, "TOML 1.0")
        return result.Err(problems.list_all())


def _check_limits(text: str, problems: Problems) -> None:
    """Add problems for nesting, keys and numbers that tomllib cannot bear."""

    def blank(match: re.Match[str]) -> str:
        return "\n" * match[0].count("\n")

    stripped = _STRING_OR_COMMENT.sub(blank, text)
    depth = 0
    for number, line in enumerate(stripped.split("\n"), 1):
        deepest = depth
        for bracket in re.findall(r"[\[\]{}]", line):
            depth = depth + 1 if bracket in "[{" else max(0, depth - 1)
            deepest = max(deepest, depth)
        if deepest > NESTING_MAX:
            problems.add_found(
                f"line {number}", f"nesting of {deepest}", f"at most {NESTING_MAX}"
            )
            return
        if line.count(".") > DOTS_PER_LINE_MAX:
            problems.add_found(
                f"line {number}",
                f"{line.count('.')} dots outside strings",
                f"at most {DOTS_PER_LINE_MAX}",
            )
            return
        if _LONG_NUMBER.search(line):
            problems.add_found(
                f"line {number}", "a long number", f"at most {DIGITS_MAX} digits"
            )
            return


class Reader:
    """Reads the keys of one table and reports every unknown or wrong one.

    A method returns None for a value that is missing or wrong after it has added
    a problem, so that reading goes on and all problems are found.

    Parameters
    ----------
    problems : Problems
        Where problems are added.
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
                found = f"unknown key {show(key)}"
                problems.add_found(path or "top level", found, ", ".join(allowed))

    def has(self, key: str) -> bool:
        """Return whether the table has `key`."""
        return key in self.table

    def name_key(self, key: str) -> str:
        """Return the full path of `key` for a problem."""
        return f"{self.path}.{key}" if self.path else key

    def refuse(self, key: str, allowed: str) -> None:
        """Add a problem for the value of `key`, or for its absence."""
        full = self.name_key(key)
        if key in self.table:
            self.problems.add(full, self.table[key], allowed)
        else:
            self.problems.add_found(full, "nothing", allowed)

    def read_text(
        self,
        key: str,
        accepts: typing.Callable[[str], bool],
        allowed: str,
        default: str | None = None,
    ) -> str | None:
        """Return the string at `key` if `accepts` it.

        Parameters
        ----------
        key : str
            Key in this table.
        accepts : callable
            Whether a string is allowed.
        allowed : str
            What is allowed, for problems.
        default : str or None
            Value of a missing key; with None the key is required.
        """
        if default is not None and key not in self.table:
            return default
        value = self.table.get(key)
        if isinstance(value, str) and accepts(value):
            return value
        self.refuse(key, allowed)
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
        self.refuse(key, f"an integer from {low} to {high}")
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
        self.problems.add_found(
            self.name_key(key),
            ", ".join(show(part) for part in value[:3])
            if isinstance(value, list)
            else show(value),
            "[numerator, denominator] with 0 <= numerator <= denominator"
            f" and 1 <= denominator <= {denominator_max}",
        )
        return None

    def read_texts(
        self,
        key: str,
        accepts: typing.Callable[[str], bool],
        allowed: str,
        default: tuple[str, ...] | None = None,
    ) -> tuple[str, ...] | None:
        """Return the list of different strings at `key` that `accepts` allows.

        Wrong or repeated elements are reported and left out.
        """
        if default is not None and key not in self.table:
            return default
        value = self.table.get(key)
        if not isinstance(value, list):
            self.refuse(key, f"a list; each value: {allowed}")
            return None
        kept: dict[str, None] = {}
        for position, element in enumerate(value):
            full = f"{self.name_key(key)}[{position}]"
            if not isinstance(element, str) or not accepts(element):
                self.problems.add(full, element, allowed)
            elif element in kept:
                self.problems.add(full, element, "each value once")
            else:
                kept[element] = None
        return tuple(kept)

    def read_table(
        self, key: str, allowed: tuple[str, ...], required: bool = True
    ) -> "Reader | None":
        """Return a reader for the table at `key`."""
        if key not in self.table and not required:
            return None
        value = self.table.get(key)
        if not isinstance(value, dict):
            self.refuse(key, "a table")
            return None
        return Reader(self.problems, self.name_key(key), value, allowed)

    def read_named_tables(
        self, key: str, allowed: tuple[str, ...]
    ) -> dict[str, "Reader"]:
        """Return readers for the tables under `key`, by name, in order of the text."""
        value = self.table.get(key)
        if not isinstance(value, dict) or not value:
            self.refuse(key, f"tables [{key}.NAME], at least one")
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
    """Return whether `value` is an integer; a bool is not."""
    return isinstance(value, int) and not isinstance(value, bool)

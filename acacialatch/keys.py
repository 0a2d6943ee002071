"""Idempotency keys: issuing them and judging keys that come back.

The text of a key is `k1~issuer~incarnation~serial~issued_us~mac`. The MAC covers
the text before it, so each key has exactly one valid spelling.
"""

import collections
import enum
import hmac
import re
import typing

import result

from acacialatch import errors

KEY_LIFETIME_S = 600.0

# After its lifetime a key is remembered for as long again, so that a used key is
# told from an unused one. Later, "not run" can no longer be shown to be true.
KEY_MEMORY_S = 2 * KEY_LIFETIME_S

# Keys remembered at once. The two-year size has 68,000 queries/s over 470 entry
# instances, 145 per second each; the limit allows a key for each of them.
KEYS_MAX = 175_000

KEY_TEXT_MAX = 256
INCARNATION_BYTES = 16
SECRET_BYTES_MIN = 32

_MICROSECONDS_PER_S = 1_000_000
_ISSUER = r"[A-Za-z0-9_.:\[\]-]{1,64}"
_SIGNED = rf"k1~({_ISSUER})~([0-9a-f]{{32}})~([0-9]{{1,20}})~([0-9]{{1,20}})"
_KEY_PATTERN = re.compile(rf"({_SIGNED})~([0-9a-f]{{64}})")
_OTHER_FORMAT_PATTERN = re.compile(r"k[0-9]{1,3}~[!-~]+")


class Verdict(enum.Enum):
    """What a key is to the entry instance that judges it."""

    VALID = "valid"
    EXPIRED = "expired"
    FORGOTTEN = "forgotten"
    FORGED = "forged"
    WRONG_INCARNATION = "wrong_incarnation"
    WRONG_ISSUER = "wrong_issuer"


class Key(typing.NamedTuple):
    """A well-formed key, not yet judged.

    Attributes
    ----------
    issuer : str
        Identifier of the issuing entry instance.
    incarnation : str
        Incarnation of the issuer, as 32 hexadecimal digits.
    serial : int
        Number of the key within the incarnation.
    issued_at : float
        Time of issue on the issuer's monotonic clock, in seconds.
    signed : str
        Text that the MAC covers.
    mac : str
        HMAC-SHA-256, as 64 hexadecimal digits.
    """

    issuer: str
    incarnation: str
    serial: int
    issued_at: float
    signed: str
    mac: str

    def expires_at(self) -> float:
        """Return the end of the lifetime on the issuer's clock, in seconds."""
        return self.issued_at + KEY_LIFETIME_S

    def forgotten_at(self) -> float:
        """Return the time after which nothing is known of the key, in seconds."""
        return self.issued_at + KEY_MEMORY_S


def parse(text: str) -> result.Result[Key, errors.Failure]:
    """Read the text of a key without judging it.

    Parameters
    ----------
    text : str
        Text as received.

    Returns
    -------
    result.Result
        The key, or `key_invalid`. A key in another format may come from an entry
        instance of another release and may have run, so it is `outcome_unknown`.
    """
    match = _KEY_PATTERN.fullmatch(text) if len(text) <= KEY_TEXT_MAX else None
    if match is not None:
        signed, issuer, incarnation, serial, issued_us, mac = match.groups()
        issued_at = int(issued_us) / _MICROSECONDS_PER_S
        return result.Ok(Key(issuer, incarnation, int(serial), issued_at, signed, mac))
    if not text.startswith("k1~") and _OTHER_FORMAT_PATTERN.fullmatch(text):
        return result.Err(
            errors.Failure(
                errors.ErrorKind.OUTCOME_UNKNOWN, "key format of another release"
            )
        )
    return result.Err(errors.Failure(errors.ErrorKind.KEY_INVALID, "malformed key"))


class KeyRing:
    """Issues and judges the keys of one incarnation.

    Parameters
    ----------
    issuer : str
        Identifier of this entry instance, at most 64 letters, digits and `_.:[]-`.
    incarnation : bytes
        16 random bytes made at process start.
    secret : bytes
        At least 32 random bytes made at process start.
    keys_max : int
        Keys that may be remembered at the same time.

    Raises
    ------
    ValueError
        If an argument does not have the stated form.
    """

    def __init__(
        self,
        issuer: str,
        incarnation: bytes,
        secret: bytes,
        keys_max: int = KEYS_MAX,
    ) -> None:
        if re.fullmatch(_ISSUER, issuer) is None:
            raise ValueError(f"issuer {issuer!r} cannot be part of a key")
        if len(incarnation) != INCARNATION_BYTES:
            raise ValueError(f"incarnation must have {INCARNATION_BYTES} bytes")
        if len(secret) < SECRET_BYTES_MIN:
            raise ValueError(f"secret must have at least {SECRET_BYTES_MIN} bytes")
        self.issuer = issuer
        self.incarnation = incarnation.hex()
        self._secret = secret
        self._keys_max = keys_max
        self._next_serial = 1
        self._issue_times: collections.deque[float] = collections.deque()

    def issue(self, now: float) -> result.Result[str, errors.Failure]:
        """Make a new key.

        The limit on remembered keys bounds the memory for keys that were refused:
        each of them must stay refused, or "not run" would become untrue.

        Parameters
        ----------
        now : float
            Time on the monotonic clock, in seconds, not negative.

        Returns
        -------
        result.Result
            Text of the key, or `overloaded` if too many keys are remembered.
        """
        while self._issue_times and self._issue_times[0] + KEY_MEMORY_S <= now:
            self._issue_times.popleft()
        if len(self._issue_times) >= self._keys_max:
            return result.Err(
                errors.Failure(errors.ErrorKind.OVERLOADED, "too many keys issued")
            )
        self._issue_times.append(now)
        serial, self._next_serial = self._next_serial, self._next_serial + 1
        issued_us = int(now * _MICROSECONDS_PER_S)
        signed = f"k1~{self.issuer}~{self.incarnation}~{serial}~{issued_us}"
        return result.Ok(f"{signed}~{self._sign(signed)}")

    def judge(self, now: float, key: Key) -> Verdict:
        """Say what a well-formed key is to this incarnation.

        Parameters
        ----------
        now : float
            Time on the monotonic clock, in seconds.
        key : Key
            Key as parsed.

        Returns
        -------
        Verdict
            Issuer and incarnation come before the MAC, since the MAC of another
            process cannot be checked here.
        """
        if key.issuer != self.issuer:
            return Verdict.WRONG_ISSUER
        if key.incarnation != self.incarnation:
            return Verdict.WRONG_INCARNATION
        if not hmac.compare_digest(self._sign(key.signed), key.mac):
            return Verdict.FORGED
        if now >= key.forgotten_at():
            return Verdict.FORGOTTEN
        if now >= key.expires_at():
            return Verdict.EXPIRED
        return Verdict.VALID

    def _sign(self, text: str) -> str:
        return hmac.new(self._secret, text.encode("ascii"), "sha256").hexdigest()

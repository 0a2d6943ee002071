"""Issuing and verification of idempotency keys.

The text of a key is `k1~issuer~incarnation~serial~issued_us~mac`. The MAC covers
the text before it, so that each key has exactly one valid text.
"""

import collections
import enum
import hmac
import re
import typing

import result

from acacialatch import errors

KEY_LIFETIME_S = 600.0

# Time since the issue for which the issuer keeps the state of a key. After its
# lifetime, an expired key is kept for as long again to tell whether it was used.
# Later, the answer "not run" could be false.
KEY_RETENTION_S = 2 * KEY_LIFETIME_S

# Maximum number of keys within their retention period. The fleet planned for in two
# years has 470 entry instances for 68,000 queries/s, 145 per second each; the limit
# allows one key for each query.
KEYS_MAX = 175_000

KEY_TEXT_MAX = 256
INCARNATION_BYTES = 16
SECRET_BYTES_MIN = 32

_MICROSECONDS_PER_S = 1_000_000
_ISSUER_PATTERN = r"[A-Za-z0-9_.:\[\]-]{1,64}"
_SIGNED_PATTERN = (
    rf"k1~({_ISSUER_PATTERN})~([0-9a-f]{{32}})~([0-9]{{1,20}})~([0-9]{{1,20}})"
)
_KEY_PATTERN = re.compile(rf"({_SIGNED_PATTERN})~([0-9a-f]{{64}})")
_OTHER_FORMAT_PATTERN = re.compile(r"k[0-9]{1,3}~[!-~]+")


class KeyStatus(enum.Enum):
    """Result of the verification of a key by an entry instance.

    `EXPIRED`: the lifetime has ended, but not the retention period. `FORGOTTEN`: the
    retention period has ended.
    """

    VALID = "valid"
    EXPIRED = "expired"
    FORGOTTEN = "forgotten"
    FORGED = "forged"
    WRONG_INCARNATION = "wrong_incarnation"
    WRONG_ISSUER = "wrong_issuer"


class Key(typing.NamedTuple):
    """A well-formed key that is not verified yet.

    Attributes
    ----------
    issuer : str
        Identifier of the issuing entry instance.
    incarnation : str
        Incarnation of the issuer, as 32 hexadecimal digits.
    serial : int
        Sequence number of the key within the incarnation.
    issued_at : float
        Time of issue on the issuer's monotonic clock, in seconds.
    signed_text : str
        Text that the MAC covers.
    mac : str
        HMAC-SHA-256, as 64 hexadecimal digits.
    """

    issuer: str
    incarnation: str
    serial: int
    issued_at: float
    signed_text: str
    mac: str

    def expires_at(self) -> float:
        """Return the end of the lifetime on the issuer's clock, in seconds."""
        return self.issued_at + KEY_LIFETIME_S

    def retained_until(self) -> float:
        """Return the end of the retention period on the issuer's clock, in seconds."""
        return self.issued_at + KEY_RETENTION_S


def parse(text: str) -> result.Result[Key, errors.Failure]:
    """Parse the text of a key without verifying it.

    Parameters
    ----------
    text : str
        Text as received.

    Returns
    -------
    result.Result
        The key, or `key_invalid`. A key in the format of another release gives
        `outcome_unknown`, since an entry instance of that release may have run it.
    """
    match = _KEY_PATTERN.fullmatch(text) if len(text) <= KEY_TEXT_MAX else None
    if match is not None:
        signed_text, issuer, incarnation, serial, issued_us, mac = match.groups()
        issued_at = int(issued_us) / _MICROSECONDS_PER_S
        return result.Ok(
            Key(issuer, incarnation, int(serial), issued_at, signed_text, mac)
        )
    if not text.startswith("k1~") and _OTHER_FORMAT_PATTERN.fullmatch(text):
        return result.Err(
            errors.Failure(
                errors.ErrorKind.OUTCOME_UNKNOWN, "key format of another release"
            )
        )
    return result.Err(errors.Failure(errors.ErrorKind.KEY_INVALID, "malformed key"))


class KeyIssuer:
    """Issues and verifies the keys of one incarnation of an entry instance.

    Parameters
    ----------
    issuer : str
        Identifier of this entry instance, at most 64 letters, digits and `_.:[]-`.
    incarnation : bytes
        16 random bytes generated at process start.
    secret : bytes
        At least 32 random bytes generated at process start.
    keys_max : int
        Maximum number of keys within their retention period.

    Raises
    ------
    ValueError
        If an argument does not have the stated format.
    """

    def __init__(
        self,
        issuer: str,
        incarnation: bytes,
        secret: bytes,
        keys_max: int = KEYS_MAX,
    ) -> None:
        if re.fullmatch(_ISSUER_PATTERN, issuer) is None:
            raise ValueError(f"issuer {issuer!r} cannot be part of a key")
        if len(incarnation) != INCARNATION_BYTES:
            raise ValueError(f"incarnation must have {INCARNATION_BYTES} bytes")
        if len(secret) < SECRET_BYTES_MIN:
            raise ValueError(f"secret must have at least {SECRET_BYTES_MIN} bytes")
        self._issuer = issuer
        self._incarnation = incarnation.hex()
        self._secret = secret
        self._keys_max = keys_max
        self._next_serial = 1
        self._issue_times: collections.deque[float] = collections.deque()

    def issue(self, now: float) -> result.Result[str, errors.Failure]:
        """Issue a new key.

        The limit on retained keys bounds the memory for keys that were refused as not
        run: each must stay refused, or that answer would become false.

        Parameters
        ----------
        now : float
            Time on the monotonic clock, in seconds, not negative.

        Returns
        -------
        result.Result
            Text of the key, or `overloaded` if too many keys are retained.
        """
        while self._issue_times and self._issue_times[0] + KEY_RETENTION_S <= now:
            self._issue_times.popleft()
        if len(self._issue_times) >= self._keys_max:
            return result.Err(
                errors.Failure(errors.ErrorKind.OVERLOADED, "too many keys issued")
            )
        self._issue_times.append(now)
        serial, self._next_serial = self._next_serial, self._next_serial + 1
        issued_us = int(now * _MICROSECONDS_PER_S)
        signed_text = f"k1~{self._issuer}~{self._incarnation}~{serial}~{issued_us}"
        return result.Ok(f"{signed_text}~{self._sign(signed_text)}")

    def verify(self, now: float, key: Key) -> KeyStatus:
        """Check issuer, incarnation, MAC and age of a key, in this order.

        The MAC comes after issuer and incarnation, since the MAC of another process
        cannot be checked here.

        Parameters
        ----------
        now : float
            Time on the monotonic clock, in seconds.
        key : Key
            Key as parsed.

        Returns
        -------
        KeyStatus
            Result of the first check that fails, or `VALID`.
        """
        if key.issuer != self._issuer:
            return KeyStatus.WRONG_ISSUER
        if key.incarnation != self._incarnation:
            return KeyStatus.WRONG_INCARNATION
        if not hmac.compare_digest(self._sign(key.signed_text), key.mac):
            return KeyStatus.FORGED
        if now >= key.retained_until():
            return KeyStatus.FORGOTTEN
        if now >= key.expires_at():
            return KeyStatus.EXPIRED
        return KeyStatus.VALID

    def _sign(self, text: str) -> str:
        return hmac.new(self._secret, text.encode("ascii"), "sha256").hexdigest()

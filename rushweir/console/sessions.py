"""Who may look: users with scrypt-hashed passwords, sessions, and a brake on guessing. No I/O, no clock.

A session is a random token in a cookie; here only its digest is kept, so that a look into this memory opens
nothing. Each session has a token against cross-site requests, which every form that does something carries.
"""

from __future__ import annotations

import base64
import hmac
import re
import secrets
from collections import OrderedDict
from dataclasses import dataclass
from hashlib import scrypt, sha256

# RFC 7914, 2: N, r and p. Some 50 ms and 16 MiB a try on one core here.
N, R, P = 2**14, 8, 1
NAME = re.compile(r"[A-Za-z0-9._@-]{1,64}\Z")
MOST_PASSWORD = 1024
MOST_SESSIONS = 1_000
MOST_GUESSERS = 1_000  # addresses remembered
GUESSES, GUESS_MS = 5, 60_000.0  # wrong passwords of one address or for one name, and in what time one is forgiven


class UsersError(ValueError):
    """A users file that is not taken; the text names the line."""


def hash_password(password: str, salt: bytes | None = None) -> str:
    """``scrypt$N$r$p$salt$hash``, as it stands in the users file."""
    salt = secrets.token_bytes(16) if salt is None else salt
    made = scrypt(password.encode(), salt=salt, n=N, r=R, p=P, maxmem=64 * 1024 * 1024)
    return f"scrypt${N}${R}${P}${base64.b64encode(salt).decode()}${base64.b64encode(made).decode()}"


def check_password(password: str, kept: str) -> bool:
    """Whether a password is the one. What is no hash of ours matches nothing, after the same work."""
    try:
        form, n, r, p, salt, digest = kept.split("$")
        if form != "scrypt" or int(n) > 2**17 or int(r) > 16 or int(p) > 4:
            raise ValueError
        made = scrypt(
            password[:MOST_PASSWORD].encode(), salt=base64.b64decode(salt), n=int(n), r=int(r), p=int(p),
            maxmem=256 * 1024 * 1024,
        )  # fmt: skip
        return hmac.compare_digest(made, base64.b64decode(digest))
    except ValueError:
        hash_password(password[:MOST_PASSWORD], b"\0" * 16)
        return False


def read_users(text: str) -> dict[str, str]:
    """``name:hash`` a line; empty lines and comments from ``#``. Raises UsersError."""
    users: dict[str, str] = {}
    for k, line in enumerate(text.splitlines(), 1):
        line = line.split("#", 1)[0].strip()
        if not line:
            continue
        name, colon, kept = line.partition(":")
        if not colon or not NAME.match(name) or not kept.startswith("scrypt$") or kept.count("$") != 5:
            raise UsersError(f"line {k}: name:scrypt$N$r$p$salt$hash is expected")
        if name in users:
            raise UsersError(f"line {k}: {name} stands twice")
        users[name] = kept
    return users


@dataclass(slots=True)
class Session:
    user: str
    csrf: str
    ends_ms: float


class Sessions:
    """Sessions by their token's digest; of too many the oldest goes."""

    def __init__(self, lifetime_ms: float) -> None:
        self.lifetime = lifetime_ms
        self.held: OrderedDict[bytes, Session] = OrderedDict()
        self.wrong: OrderedDict[str, tuple[float, float]] = OrderedDict()  # wrong passwords, and when it was so

    def begin(self, now: float, user: str) -> str:
        """A new session's token, for the cookie."""
        token = secrets.token_urlsafe(32)
        self.held[_digest(token)] = Session(user, secrets.token_urlsafe(24), now + self.lifetime)
        while len(self.held) > MOST_SESSIONS:
            self.held.popitem(last=False)
        return token

    def find(self, now: float, token: str) -> Session | None:
        found = self.held.get(_digest(token))
        if found is not None and found.ends_ms <= now:
            del self.held[_digest(token)]
            return None
        return found

    def end(self, token: str) -> None:
        self.held.pop(_digest(token), None)

    # --- guessing --------------------------------------------------------------------------------

    def may_try(self, now: float, *who: str) -> bool:
        """Whether a password may be tried from an address and for a name; both have a bucket of guesses."""
        return all(self._count(now, w) < GUESSES for w in who)

    def guessed(self, now: float, *who: str) -> None:
        for w in who:
            self.wrong[w] = (self._count(now, w) + 1, now)
            self.wrong.move_to_end(w)
        while len(self.wrong) > 2 * MOST_GUESSERS:
            self.wrong.popitem(last=False)

    def _count(self, now: float, who: str) -> float:
        count, at = self.wrong.get(who, (0.0, now))
        return max(0.0, count - (now - at) / GUESS_MS)


def _digest(token: str) -> bytes:
    return sha256(token.encode()).digest()

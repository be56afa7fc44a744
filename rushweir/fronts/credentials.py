"""Who a client is: bearer credentials (RFC 6750), kept as digests only. No I/O."""

from __future__ import annotations

import hmac
import re
import secrets
from dataclasses import dataclass
from hashlib import sha256

from rushweir.ingress.asks import Partner

# RFC 6750, 2.1: b64token = 1*( ALPHA / DIGIT / "-" / "." / "_" / "~" / "+" / "/" ) *"="
BEARER = re.compile(r"(?i:bearer) +([A-Za-z0-9\-._~+/]{1,512}=*)\s*\Z")
DIGEST = re.compile(r"sha256:([0-9a-f]{64})\Z")


def new_credential() -> str:
    """A fresh credential of 256 random bits: enough that a plain digest of it can't be searched back."""
    return secrets.token_urlsafe(32)


def digest(credential: str) -> str:
    """What the settings hold in place of a credential."""
    return "sha256:" + sha256(credential.encode()).hexdigest()


@dataclass(frozen=True, slots=True)
class Credentials:
    """The digests of all partners' credentials, and whose they are."""

    by_digest: dict[str, Partner]

    def partner(self, header: str | None) -> Partner | None:
        """The partner that an Authorization header proves; None where it proves none.

        The credential is looked up by its digest, and the digest found is compared in constant time: what a
        look-up's time could tell is a digest's first bytes, which a guesser can't steer."""
        found = BEARER.match(header or "")
        if found is None:
            return None
        given = digest(found[1])
        for kept in (given,) if given in self.by_digest else ():
            if hmac.compare_digest(kept, given):
                return self.by_digest[kept]
        return None

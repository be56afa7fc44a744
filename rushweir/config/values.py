"""Words of a settings file as values with a unit: times, rates, sizes, addresses. Each raises ValueError
that says what was expected."""

from __future__ import annotations

import re
from ipaddress import ip_address
from typing import Annotated, Any
from urllib.parse import urlsplit

from pydantic import BeforeValidator

from rushweir.costs import amounts
from rushweir.costs import decisions as costs
from rushweir.link.networks import parse_network

TIMES = {"ms": 1.0, "s": 1000.0, "m": 60_000.0, "h": 3_600_000.0}
SIZES = {"": 1, "k": 1024, "m": 1024**2, "g": 1024**3}


def duration(word: Any) -> float:
    """Milliseconds of ``800ms``, ``1.5s``, ``2m``, ``1h``."""
    found = re.fullmatch(r"(\d+(?:\.\d+)?)(ms|s|m|h)", str(word))
    if found is None:
        raise ValueError("a time such as 800ms, 3s or 2m")
    return float(found[1]) * TIMES[found[2]]


def rate(word: Any) -> float:
    """A second's worth of ``5/s``, ``300/m``."""
    found = re.fullmatch(r"(\d+(?:\.\d+)?)/(s|m|h)", str(word))
    if found is None:
        raise ValueError("a rate such as 5/s or 300/m")
    return float(found[1]) * 1000.0 / TIMES[found[2]]


def size(word: Any) -> int:
    """Bytes of ``64k``, ``1m``, ``4096``."""
    found = re.fullmatch(r"(\d+)([kmg]?)", str(word).lower())
    if found is None:
        raise ValueError("a size such as 4096, 64k or 1m")
    return int(found[1]) * SIZES[found[2]]


def switch(word: Any) -> bool:
    if str(word) not in ("on", "off"):
        raise ValueError("on or off")
    return word == "on"


def address(word: Any) -> tuple[str, int]:
    """Host and port of ``127.0.0.1:8080`` or ``[::1]:8080``; hosts are addresses, not names."""
    host, colon, port = str(word).rpartition(":")
    try:
        ip_address(host.strip("[]"))
    except ValueError:
        raise ValueError("an address such as 127.0.0.1:8080 or [::1]:8080") from None
    if not colon or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ValueError("an address with a port, such as 127.0.0.1:8080")
    return host.strip("[]"), int(port)


def web_address(word: Any) -> str:
    parts = urlsplit(str(word))
    if parts.scheme != "ws" or not parts.hostname or not parts.port:
        raise ValueError("an address such as ws://127.0.0.1:7000/list")
    return str(word)


def number(word: Any) -> float:
    if re.fullmatch(r"\d+(\.\d+)?", str(word)) is None:
        raise ValueError("a number such as 4 or 0.5")
    return float(word)


def whole(word: Any) -> int:
    if re.fullmatch(r"\d+", str(word)) is None:
        raise ValueError("a whole number")
    return int(word)


def own_number(word: Any) -> int:
    """A number of an ingress; -1 for ``auto``, which the fleet gives."""
    if str(word) == "auto":
        return -1
    try:
        return whole(word)
    except ValueError:
        raise ValueError("a whole number, or auto") from None


def amount(word: Any) -> amounts.Amount:
    """Thousandths of a unit of ``2``, ``0.25``."""
    return amounts.Amount(amounts.parse(str(word)))


def body_field(word: Any) -> str:
    """A field of a body, ``trip.stops``."""
    return ".".join(costs.parse_field(str(word)))


Duration = Annotated[float, BeforeValidator(duration)]
Rate = Annotated[float, BeforeValidator(rate)]
Size = Annotated[int, BeforeValidator(size)]
Switch = Annotated[bool, BeforeValidator(switch)]
Address = Annotated[tuple[str, int], BeforeValidator(address)]
WebAddress = Annotated[str, BeforeValidator(web_address)]
Number = Annotated[float, BeforeValidator(number)]
Whole = Annotated[int, BeforeValidator(whole)]
Net = Annotated[Any, BeforeValidator(parse_network)]
OwnNumber = Annotated[int, BeforeValidator(own_number)]
Amount = Annotated[Any, BeforeValidator(amount)]
BodyField = Annotated[str, BeforeValidator(body_field)]


def words(value: Any, read: Any) -> list[str]:
    """A value as the words that ``read``, one of the functions above, takes; None: text, or several values."""
    if read is duration:
        return [f"{value:.12g}ms"]
    if read is rate:
        return [f"{value:.12g}/s"]
    if read is own_number and value == -1:
        return ["auto"]
    if isinstance(value, amounts.Amount):
        return [amounts.to_text(value)]
    if isinstance(value, bool):
        return ["on" if value else "off"]
    if isinstance(value, float):
        return [f"{value:.12g}"]
    if isinstance(value, tuple):
        if len(value) == 2 and isinstance(value[0], str) and type(value[1]) is int:
            host, port = value
            return [f"[{host}]:{port}" if ":" in host else f"{host}:{port}"]
        return [w for v in value for w in words(v, None)]
    return [str(value)]

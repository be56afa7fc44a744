"""What the platform tells an ingress: EDGE_CONFIG, a JSON file, and EDGE_ variables for parts of it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from rushweir import interface as i
from rushweir.discovery.source import host_port
from rushweir.options import parse_settings

DIAL_MS = 250.0  # for a connection to a backend, where the settings do not tell
IDLE_MS = 15_000.0  # after which backends close an idle connection, where the settings do not tell
MOST_FILE = 16_777_216
MOST_PEERS = 20_000  # bounds what a broken file makes an ingress hold; a datagram names its sender by address alone
Address = tuple[str, int]


class ConfigError(ValueError):
    """A configuration that can't be used; the text names the file or variable, and the field."""


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    seed: int
    settings: i.Settings
    sockets: int
    memory_mb: float
    cores: float
    idle_ms: float
    dial_ms: float
    known: Any
    peer_listen: Address | None = None
    peers: tuple[Address, ...] = ()


def load(env: Mapping[str, str]) -> Config:
    """Read the configuration. Raises ConfigError."""
    path = env.get("EDGE_CONFIG", "")
    if not path:
        raise ConfigError("EDGE_CONFIG: the path of the configuration file")
    try:
        data = Path(path).read_bytes()
    except OSError as problem:
        raise ConfigError(f"{path}: {problem.strerror}") from None
    if len(data) > MOST_FILE:
        raise ConfigError(f"{path}: {MOST_FILE} bytes at most")
    try:
        page = orjson.loads(data)
    except orjson.JSONDecodeError as problem:
        raise ConfigError(f"{path}: line {problem.lineno}, column {problem.colno}: {problem.msg}") from None
    if not isinstance(page, dict):
        raise ConfigError(f"{path}: an object")
    try:
        return _config(page, env)
    except ConfigError as problem:
        raise ConfigError(f"{path}: {problem}") from None


def _config(page: dict[str, Any], env: Mapping[str, str]) -> Config:
    options = page.get("settings")
    if not isinstance(options, dict):
        raise ConfigError("settings: an object")
    try:
        made = parse_settings(options)
        idle, dial = made.limits.connection_idle_ms or IDLE_MS, made.limits.dial_timeout_ms or DIAL_MS
    except KeyError as missing:
        raise ConfigError(f"settings: {missing.args[0]!r} is missing or has a value that is not known") from None
    except (TypeError, ValueError, AttributeError) as problem:
        raise ConfigError(f"settings: {problem}") from None
    if not made.classes or not made.plans or not 0 <= made.gateway < made.gateways:
        raise ConfigError("settings: classes, contracts and a number 'me' below 'instances' are needed")
    limits = page.get("limits", {})
    if not isinstance(limits, dict):
        raise ConfigError("limits: an object")
    peers = page.get("peers") or []
    if not isinstance(peers, list) or len(peers) > MOST_PEERS:
        raise ConfigError(f"peers: an array of at most {MOST_PEERS} addresses, one for each ingress")
    try:
        seed = int(str(page.get("seed", "0")), 16)
    except ValueError:
        raise ConfigError("seed: hex digits") from None
    return Config(
        name=str(page.get("name") or env.get("EDGE_NAME", "")),
        listen=_address(page.get("listen") or env.get("EDGE_LISTEN"), "listen"),
        discovery=_address(page.get("discovery") or env.get("EDGE_DISCOVERY"), "discovery"),
        seed=seed,
        settings=made,
        sockets=int(_number(limits, "sockets", 1024)),
        memory_mb=_number(limits, "memory_mb", 192),
        cores=_number(limits, "cores", 1),
        idle_ms=idle,
        dial_ms=dial,
        known=page.get("known"),
        peer_listen=_address(page["peer_listen"], "peer_listen") if page.get("peer_listen") else None,
        peers=tuple(_address(a, f"peers[{k}]") for k, a in enumerate(peers)),
    )


def _address(value: Any, field: str) -> Address:
    host, port = host_port(value) if isinstance(value, str) else ("", 0)
    if not host:
        raise ConfigError(f"{field}: host:port, not {str(value)[:80]!r}")
    return host, port


def _number(limits: dict[str, Any], name: str, default: float) -> float:
    value = limits.get(name, default)
    if type(value) not in (int, float) or not 0 < value < 1e9:
        raise ConfigError(f"limits.{name}: a number above 0")
    return value

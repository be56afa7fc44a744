"""Reads the configuration of an ingress: the JSON file named by EDGE_CONFIG, and EDGE_ variables for some fields."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from rushweir import interface
from rushweir.discovery.source import split_host_port
from rushweir.options import parse_settings

DEFAULT_DIAL_TIMEOUT_MS = 250.0  # to connect to a backend, unless the settings have a value
DEFAULT_IDLE_MS = 15_000.0  # until a backend closes an idle connection, unless the settings have a value
MAX_FILE_BYTES = 16_777_216
MAX_PEERS = 20_000  # limits the memory that a wrong file can take; datagrams identify their sender by address
Address = tuple[str, int]


class ConfigError(ValueError):
    """An invalid configuration. The text names the file or variable, and the field."""


@dataclass(frozen=True, slots=True)
class Config:
    """One ingress's configuration, checked.

    ``sockets``, ``memory_mb`` and ``cores`` are the limits of the process; ``known_list`` is the server list that it
    last had, as the JSON of the file, or None; ``peers`` are the datagram addresses of all ingresses by number."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    settings: interface.Settings
    sockets: int
    memory_mb: float
    cores: float
    idle_ms: float
    dial_timeout_ms: float
    known_list: Any
    peer_listen: Address | None = None
    peers: tuple[Address, ...] = ()


def load(env: Mapping[str, str]) -> Config:
    """Returns the configuration. Raises ConfigError."""
    path = env.get("EDGE_CONFIG", "")
    if not path:
        raise ConfigError("EDGE_CONFIG: must be the path of the configuration file")
    try:
        data = Path(path).read_bytes()
    except OSError as problem:
        raise ConfigError(f"{path}: {problem.strerror}") from None
    if len(data) > MAX_FILE_BYTES:
        raise ConfigError(f"{path}: must have at most {MAX_FILE_BYTES} bytes")
    try:
        page = orjson.loads(data)
    except orjson.JSONDecodeError as problem:
        raise ConfigError(f"{path}: line {problem.lineno}, column {problem.colno}: {problem.msg}") from None
    if not isinstance(page, dict):
        raise ConfigError(f"{path}: must be an object")
    try:
        return _config(page, env)
    except ConfigError as problem:
        raise ConfigError(f"{path}: {problem}") from None


def _config(page: dict[str, Any], env: Mapping[str, str]) -> Config:
    options = page.get("settings")
    if not isinstance(options, dict):
        raise ConfigError("settings: must be an object")
    try:
        converted = parse_settings(options)
        idle_timeout = converted.limits.connection_idle_ms or DEFAULT_IDLE_MS
        dial_timeout = converted.limits.dial_timeout_ms or DEFAULT_DIAL_TIMEOUT_MS
    except KeyError as missing:
        raise ConfigError(f"settings: {missing.args[0]!r} is missing or has an unknown value") from None
    except (TypeError, ValueError, AttributeError) as problem:
        raise ConfigError(f"settings: {problem}") from None
    if not converted.classes or not converted.plans or not 0 <= converted.gateway < converted.gateways:
        raise ConfigError("settings: needs classes, contracts and a number 'me' below 'instances'")
    limits = page.get("limits", {})
    if not isinstance(limits, dict):
        raise ConfigError("limits: must be an object")
    peers = page.get("peers") or []
    if not isinstance(peers, list) or len(peers) > MAX_PEERS:
        raise ConfigError(f"peers: must be an array of at most {MAX_PEERS} addresses, one for each ingress")
    try:
        seed = int(str(page.get("seed", "0")), 16)
    except ValueError:
        raise ConfigError("seed: must be hex digits") from None
    return Config(
        name=str(page.get("name") or env.get("EDGE_NAME", "")),
        listen=_address(page.get("listen") or env.get("EDGE_LISTEN"), "listen"),
        discovery=_address(page.get("discovery") or env.get("EDGE_DISCOVERY"), "discovery"),
        seed=seed,
        settings=converted,
        sockets=int(_number(limits, "sockets", 1024)),
        memory_mb=_number(limits, "memory_mb", 192),
        cores=_number(limits, "cores", 1),
        idle_ms=idle_timeout,
        dial_timeout_ms=dial_timeout,
        known_list=page.get("known"),
        peer_listen=_address(page["peer_listen"], "peer_listen") if page.get("peer_listen") else None,
        peers=tuple(_address(address, f"peers[{index}]") for index, address in enumerate(peers)),
    )


def _address(value: Any, field: str) -> Address:
    host, port = split_host_port(value) if isinstance(value, str) else ("", 0)
    if not host:
        raise ConfigError(f"{field}: must be host:port, not {str(value)[:80]!r}")
    return host, port


def _number(limits: dict[str, Any], name: str, default: float) -> float:
    value = limits.get(name, default)
    if type(value) not in (int, float) or not 0 < value < 1e9:
        raise ConfigError(f"limits.{name}: must be a number above 0")
    return value

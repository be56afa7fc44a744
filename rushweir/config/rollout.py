"""``rollout``: where an ingress gets its shared settings from, instead of its file: the control processes.

    rollout {
        control 10.0.0.1:7400
        control 10.0.1.1:7400
        control 10.0.2.1:7400
        key-file /etc/rushweir/watch.key
    }

The block stands in the file itself, not in one that it includes; shared settings then stand with the control
processes alone. ``name`` is the ingress's own among all; without it ``ingress N`` is, or, where the fleet gives the
number, the machine's name and the state folder.
"""

from __future__ import annotations

import re
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

from pydantic import BaseModel, ConfigDict, Field

from rushweir.config.private import read_key
from rushweir.config.text import ConfigError, Problem, Spot
from rushweir.config.values import Address

if TYPE_CHECKING:
    from rushweir.config.load import Config

MOST_CONTROLS = 7
STANDS = re.compile(r"(?m)^[ \t]*rollout[ \t]*\{")


class RolloutBlock(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)

    control: Annotated[
        tuple[tuple[Address], ...],
        Field(json_schema_extra={"lines": "values"}, min_length=1, max_length=MOST_CONTROLS),
    ]
    key_file: Annotated[str, Field(min_length=1, max_length=1024)]
    name: Annotated[str, Field(max_length=128)] = ""


def own(path: Path) -> Config | None:
    """The settings of a machine alone, where the shared ones come from control processes; None: they are in the file.
    Raises ConfigError."""
    from rushweir.config.live import SHARED
    from rushweir.config.load import Config, text_of
    from rushweir.config.reading import Reading

    if not STANDS.search(text := text_of(path)):
        return None
    reading = Reading(text, str(path), path.parent, None, SHARED)
    if reading.problems or reading.file is None:
        raise reading.error()
    config = Config(reading.file.model_copy(update=reading.groups), path.parent, None, reading.spots, (path,))
    block, spot = config.file.rollout, config.spots.get(("rollout",), Spot(str(path), 1, 1))
    if block is None:
        return None
    if config.state is None:
        raise ConfigError([Problem(spot, "rollout: needs state, a folder to keep the settings in")])
    read_key(config.base / block.key_file, "key-file", config.spots.get(("rollout", "key_file"), spot))
    return config

"""Settings of an ingress: a line-based text in the manner of classic daemons, checked before anything runs."""

from rushweir.config.load import Config, load, load_text
from rushweir.config.text import ConfigError

__all__ = ["Config", "ConfigError", "load", "load_text"]

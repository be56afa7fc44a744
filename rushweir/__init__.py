"""rushweir: the decisions of a gateway that keeps each customer of a shared back end to its plan."""

from rushweir.policy import Policy

__all__ = ["Policy"]

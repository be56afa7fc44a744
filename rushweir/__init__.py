"""rushweir: the decisions of a gateway that keeps each customer of a shared back end to its plan."""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from rushweir.policy import Policy

__all__ = ["Policy"]


def __getattr__(name: str) -> Any:
    # Loaded when it is asked for (PEP 562): a process that serves has its signal handlers before its decisions.
    if name == "Policy":
        from rushweir.policy import Policy

        return Policy
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")

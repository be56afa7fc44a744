"""rushweir: the decisions of a gateway that keeps each customer of a shared back end to its plan."""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from rushweir.policy import Policy

__all__ = ["Policy"]


def __getattr__(name: str) -> Any:
    # Imported on first use (PEP 562), so that a process installs its signal handlers before it loads the policy.
    if name == "Policy":
        from rushweir.policy import Policy

        return Policy
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")

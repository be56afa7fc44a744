"""The decisions of a gateway: Popularity-based Bandwidth Prepartitioning with f2, and quotas by demand share.

Settings, events and actions are in rushweir/interface.py; docs/design.md has the reasons.
"""

from rushweir.policy.gateway_policy import Policy

__all__ = ["Policy"]

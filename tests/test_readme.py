"""The README's example runs as written."""

from __future__ import annotations

import re
from pathlib import Path

from rushweir import interface


def test_example_runs_as_written_and_sends_the_request():
    text = (Path(__file__).parent.parent / "README.md").read_text()
    (code,) = re.findall(r"```python\n(.*?)```", text, re.DOTALL)
    names: dict[str, object] = {}
    exec(code, names)
    sends = [action for action in names["actions"] if isinstance(action, interface.Send)]
    assert [(send.id, send.server) for send in sends] == [("id-1", "10.0.0.7:80")]

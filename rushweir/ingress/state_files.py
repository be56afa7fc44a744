"""Writes the files of the state folder in threads, so that the event loop does not wait for the disk."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

from rushweir.files import replace_file
from rushweir.ingress import commands
from rushweir.ingress.core import Core


class StateFiles:
    """The files that an ingress keeps between its runs. A file that can't be written is logged."""

    def __init__(
        self, core: Core, clock: Callable[[], float], folder: Path | None, carry_out: Callable[[], None]
    ) -> None:
        """``folder``: the state folder, if there is one; ``carry_out`` is called after each call of the core."""
        self.core = core
        self.clock = clock
        self.folder = folder
        self.carry_out = carry_out
        self.list_file = folder / "list.json" if folder is not None else None
        self.next_list: bytes | None = None  # the node list to write next
        self.list_task: asyncio.Task | None = None
        self.tasks: set[asyncio.Task] = set()  # of the other files

    def last_list(self) -> bytes | None:
        """Returns the node list of the last run, or None if there is none."""
        if self.list_file is None:
            return None
        try:
            return self.list_file.read_bytes()
        except FileNotFoundError:
            return None

    def save(self, command: commands.SaveFile) -> None:
        """Writes a file, then tells the core."""
        task = asyncio.get_running_loop().create_task(self._write(command))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _write(self, command: commands.SaveFile) -> None:
        assert self.folder is not None  # only components with a state folder save files
        try:
            await asyncio.to_thread(replace_file, self.folder / command.name, command.data)
        except OSError as problem:
            self.core.log(self.clock(), "error", "file_not_kept", file=command.name, why=str(problem))
        else:
            self.core.file_saved(self.clock(), command.serial)
        self.carry_out()

    def save_list(self, command: commands.SaveList) -> None:
        """Writes the node list; of several lists that come meanwhile only the last is written."""
        self.next_list = command.data
        if self.list_file is not None and self.list_task is None:
            self.list_task = asyncio.get_running_loop().create_task(self._write_lists())

    async def _write_lists(self) -> None:
        assert self.list_file is not None
        while (data := self.next_list) is not None:
            self.next_list = None
            try:
                await asyncio.to_thread(replace_file, self.list_file, data)
            except OSError as problem:
                # The ingress goes on; the next list is written, and a failure logged, again.
                self.core.log(self.clock(), "error", "list_not_kept", why=str(problem))
                self.carry_out()
        self.list_task = None

    async def close(self) -> None:
        """Gives up files that are being written; a node list that is being written is completed."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if self.list_task is not None:
            await self.list_task

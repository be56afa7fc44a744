"""``python -m rushweir.console``: the process that the daemon starts; its settings come by standard input."""

from rushweir.console.shell import main

main()

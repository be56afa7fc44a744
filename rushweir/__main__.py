"""``python -m rushweir``: the command line."""

from rushweir.cli.main import main

if __name__ == "__main__":
    main()

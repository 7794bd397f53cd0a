"""Entry point of the command line."""

from __future__ import annotations

from mangotally.commands import cli


def main() -> None:
    """Runs the command that the arguments name."""
    cli.main()


if __name__ == "__main__":
    main()

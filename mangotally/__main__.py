"""Entry point of the command-line interface."""

from __future__ import annotations

from mangotally.commands import cli


def main() -> None:
    """Runs the command given on the command line."""
    cli.main()


if __name__ == "__main__":
    main()

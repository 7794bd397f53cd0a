"""Runs an entry host, importing no more than that needs."""

from __future__ import annotations

from mangotally.entry import command


def main() -> None:
    """Runs the host that the arguments describe."""
    command.main()


if __name__ == "__main__":
    main()

"""Runs an entry host, importing no more than that needs."""

from __future__ import annotations

import os
import signal

# No TLS is spoken here. Without this, a library reads all certificate
# authorities of the machine at import, which costs time and memory.
os.environ.setdefault("SSL_CERT_FILE", os.devnull)
os.environ.setdefault("SSL_CERT_DIR", os.devnull)

# Settings are read after this; by default the signal would end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from mangotally.entry import command  # noqa: E402


def main() -> None:
    """Runs the host that the arguments describe."""
    command.main()


if __name__ == "__main__":
    main()

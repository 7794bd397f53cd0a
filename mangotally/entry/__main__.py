"""Entry point of an entry host; imports only what such a host needs."""

from __future__ import annotations

import gc
import os
import signal

# Entry hosts don't use TLS. Without these variables, a library loads all
# certificate authorities of the machine on import, which costs time and memory.
os.environ.setdefault("SSL_CERT_FILE", os.devnull)
os.environ.setdefault("SSL_CERT_DIR", os.devnull)

# Collections during the imports would take long and find next to nothing. They
# begin once the host serves.
gc.disable()

# The default action of SIGHUP (reload) would end the process if the signal
# arrived before the settings are read and the handler is installed.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from mangotally.entry import command  # noqa: E402


def main() -> None:
    """Runs an entry host; the arguments name its settings file."""
    command.main()


if __name__ == "__main__":
    main()

"""Messages between the hosts of the fleet."""

from __future__ import annotations

import os

# gRPC's native library would write lines of its own form to the logs.
os.environ.setdefault("GRPC_VERBOSITY", "ERROR")

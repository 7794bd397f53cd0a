"""Builds the single-file binary, runs it and measures the process.

python -m benches.binary dist/mangotally
"""

from __future__ import annotations

import compileall
import importlib
import importlib.metadata
import json
import os
import pathlib
import py_compile
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import zipfile
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parent.parent
ENTRY = "mangotally.__main__:main"
PYTHON = "/usr/bin/env python3.11"
START_TIMEOUT_S = 60
MB = 1_000_000
KIB = 1024
_SITE_PACKAGES = "site-packages"
# Needed only by tests or installers; never imported by mangotally itself.
_EXCLUDED_DISTRIBUTIONS = frozenset(
    {"cffi", "cryptography", "pbr", "pycparser", "setuptools"}
)
_EXCLUDED_SUFFIXES = frozenset(
    {".c", ".h", ".hash", ".pxd", ".pxi", ".pyi", ".pyx"}
)


def main(arguments: list[str]) -> int:
    """Builds and measures the binary; returns the exit code."""
    if len(arguments) != 1:
        print("usage: python -m benches.binary FILE", file=sys.stderr)
        return 2
    output = pathlib.Path(arguments[0]).resolve()
    output.parent.mkdir(parents=True, exist_ok=True)
    build(output)
    with tempfile.TemporaryDirectory() as directory:
        figures = measure(output, pathlib.Path(directory))
    print(json.dumps(figures, indent=2))
    return 1 if figures["children"] or figures["io_urings"] else 0


def build(output: pathlib.Path) -> None:
    """Builds the binary from the installed, pinned requirements."""
    with tempfile.TemporaryDirectory() as directory:
        stage = pathlib.Path(directory) / _SITE_PACKAGES
        stage.mkdir()
        for name in _requirements():
            _copy_distribution(name, stage)
        shutil.copytree(
            ROOT / "mangotally",
            stage / "mangotally",
            ignore=shutil.ignore_patterns("__pycache__"),
        )
        importlib.import_module("shiv.cli").main(
            [
                *("--site-packages", str(stage)),
                *("--entry-point", ENTRY),
                *("--output-file", str(output)),
                *("--python", PYTHON),
                *("--compressed", "--reproducible"),
            ],
            standalone_mode=False,
        )
        _add_bytecode(output, stage)


def measure(output: pathlib.Path, directory: pathlib.Path) -> dict[str, Any]:
    """Runs the binary twice; returns sizes, start times and process figures.

    The first run includes unpacking the archive.
    """
    root = directory / "root"
    environment = {**os.environ, "SHIV_ROOT": str(root)}
    first = _run(output, environment, directory / "first.json")
    second = _run(output, environment, directory / "again.json")
    unpacked = sum(
        item.stat().st_size for item in root.rglob("*") if item.is_file()
    )
    return {
        "file_mb": round(output.stat().st_size / MB, 1),
        "unpacked_mb": round(unpacked / MB, 1),
        "first_start_ms": first["start_ms"],
        "start_ms": second["start_ms"],
        "resident_mb": second["resident_mb"],
        "threads": second["threads"],
        "children": first["children"] + second["children"],
        "io_urings": first["io_urings"] + second["io_urings"],
    }


def _requirements() -> list[str]:
    lines = (ROOT / "requirements.txt").read_text().splitlines()
    names = [line.partition("==")[0] for line in lines if "==" in line]
    return [
        name for name in names if name.lower() not in _EXCLUDED_DISTRIBUTIONS
    ]


def _copy_distribution(name: str, stage: pathlib.Path) -> None:
    for file in importlib.metadata.distribution(name).files or ():
        parts = pathlib.PurePath(file).parts
        if ".." in parts or file.suffix in (".pyc", *_EXCLUDED_SUFFIXES):
            continue
        source = pathlib.Path(str(file.locate()))
        target = stage.joinpath(*parts)
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(source, target)


def _add_bytecode(output: pathlib.Path, stage: pathlib.Path) -> None:
    compileall.compile_dir(
        stage,
        quiet=2,
        workers=1,
        stripdir=str(stage),
        invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
    )
    with zipfile.ZipFile(
        output, "a", compression=zipfile.ZIP_DEFLATED
    ) as archive:
        for path in sorted(stage.rglob("*.pyc")):
            archive.write(path, f"{_SITE_PACKAGES}/{path.relative_to(stage)}")


def _run(
    output: pathlib.Path, environment: dict[str, str], ready: pathlib.Path
) -> dict[str, Any]:
    started_s = time.monotonic()
    process = subprocess.Popen(
        [str(output), "local", "--hosts", "1", "--ready-file", str(ready)],
        env=environment,
        stderr=subprocess.DEVNULL,
    )
    try:
        while not ready.exists():
            if process.poll() is not None:
                raise RuntimeError(
                    f"the binary exited with status {process.returncode}"
                )
            if time.monotonic() - started_s > START_TIMEOUT_S:
                raise RuntimeError("the binary did not start in time")
            time.sleep(0.01)
        elapsed_s = time.monotonic() - started_s
        return {
            "start_ms": round(elapsed_s * 1000),
            **_inspect_process(process.pid),
        }
    finally:
        process.send_signal(signal.SIGTERM)
        process.wait()


def _inspect_process(pid: int) -> dict[str, Any]:
    base = pathlib.Path(f"/proc/{pid}")
    status = dict(
        line.split(":", 1)
        for line in (base / "status").read_text().splitlines()
    )
    children = [
        text
        for task in (base / "task").iterdir()
        for text in (task / "children").read_text().split()
    ]
    links = [os.readlink(item) for item in (base / "fd").iterdir()]
    return {
        "resident_mb": round(int(status["VmRSS"].split()[0]) * KIB / MB, 1),
        "threads": int(status["Threads"]),
        "children": len(children),
        "io_urings": sum("io_uring" in link for link in links),
    }


if __name__ == "__main__":
    raise SystemExit(main(sys.argv[1:]))

"""Tests of the command-line interface."""

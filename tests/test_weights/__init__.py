"""Tests of the weight store client."""

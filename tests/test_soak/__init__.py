"""Tests of the soak, and a short soak."""

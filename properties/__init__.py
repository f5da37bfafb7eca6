"""Tests of properties over generated cases."""

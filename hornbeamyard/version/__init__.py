"""The controllers' replicated log and the configuration kept in it."""

"""Protocol buffers generated from proto/fleet.proto."""

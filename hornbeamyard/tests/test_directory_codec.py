"""Tests of the messages of the route directory."""

from __future__ import annotations

from hornbeamyard.connection.directory_codec import UsageDecoder, UsageEncoder
from hornbeamyard.pool.usage import AccountUsage, UpstreamLoad


class TestUsageCodec:
    """Only changes are sent, and the decoder restores the complete usage."""

    def test_encodes_changes_only(self) -> None:
        """Guards against control traffic for unchanged accounts."""
        encoder = UsageEncoder()
        accounts = {"a": AccountUsage(5, 3), "b": AccountUsage(7, 7)}
        upstreams = {"e1": UpstreamLoad(1, 2, 3)}
        encoder.encode(accounts, upstreams)
        # The caller continues to count in the same objects.
        accounts["a"].asked += 1
        changed, used = encoder.encode(accounts, upstreams)
        assert [a.client_account for a in changed] == ["a"]
        assert used == []

    def test_decoder_restores_usage(self) -> None:
        """Guards against a decoder whose usage differs from the encoder's."""
        encoder, decoder = UsageEncoder(), UsageDecoder()
        steps = [
            ({"a": AccountUsage(5, 3)}, {"e1": UpstreamLoad(1, 2, 3)}),
            (
                {"a": AccountUsage(5, 3), "b": AccountUsage(1, 0)},
                {"e1": UpstreamLoad(2, 0, 3), "e2": UpstreamLoad(1, 1, 1)},
            ),
            ({"a": AccountUsage(0, 4)}, {"e2": UpstreamLoad(1, 1, 1)}),
            ({}, {}),
        ]
        for accounts, upstreams in steps:
            messages = encoder.encode(accounts, upstreams)
            assert decoder.decode(*messages) == (accounts, upstreams)

    def test_decoded_objects_are_copies(self) -> None:
        """Guards against an earlier result that changes with a later one.

        The difference of two results, the growth, would then be zero.
        """
        encoder, decoder = UsageEncoder(), UsageDecoder()
        before, _ = decoder.decode(*encoder.encode({"a": AccountUsage(5)}, {}))
        decoder.decode(*encoder.encode({"a": AccountUsage(9)}, {}))
        assert before == {"a": AccountUsage(5)}
